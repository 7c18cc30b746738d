package balance

import "time"

const (
	// speedDecay is the time constant with which the last figure turns into the usual one. Slow
	// phases of a host last some 100 ms to a second.
	speedDecay = 250 * time.Millisecond
	// speedWeight is the weight of a new figure in the usual slowdown.
	speedWeight = 0.1
	// minSlowdown and maxSlowdown bound what a figure can say.
	minSlowdown = 0.1
	maxSlowdown = 20
)

// Speed is what is known of how long work takes on a host, as a multiple of the usual time. Hosts
// differ for good, and each is slower for a moment when it has other work. The zero value counts
// as 1.
type Speed struct {
	last, usual float64
	at          time.Time
}

// Observe takes in a figure.
func (s *Speed) Observe(now time.Time, slowdown float64) {
	slowdown = min(maxSlowdown, max(minSlowdown, slowdown))
	if s.usual == 0 {
		s.usual = slowdown
	}
	s.usual += speedWeight * (slowdown - s.usual)
	s.last, s.at = slowdown, now
}

// Slowdown estimates the slowdown now: the last figure, and with its age what is usual there.
func (s *Speed) Slowdown(now time.Time) float64 {
	if s.usual == 0 {
		return 1
	}
	return s.usual + decayed(now.Sub(s.at), speedDecay)*(s.last-s.usual)
}
