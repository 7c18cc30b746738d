// Package keepalive decides how long an idle replica stays loaded. The learned
// policy weighs the delay of a cold start against the time that accelerators
// are held idle, by each model's own history of idle gaps. The package has no
// clock of its own.
package keepalive

import "time"

// Forever is a keep-alive that never ends in practice.
const Forever = 365 * 24 * time.Hour

// Cost are the weights of a decision for one model.
type Cost struct {
	// ColdStart is the cost of one second of cold-start delay.
	ColdStart float64
	// Idle is the cost of one second of an idle replica.
	Idle float64
	// Load is the expected time of loading the replica again.
	Load time.Duration
}

// BreakEven is the idle time that costs as much as one cold start. Keeping a
// replica for it costs at most twice as much as knowing the gap in advance.
func (c Cost) BreakEven() time.Duration {
	if c.Idle <= 0 {
		return Forever
	}
	return min(Forever, time.Duration(c.ColdStart/c.Idle*float64(c.Load)))
}

// Policy decides keep-alives. Implementations are not safe for concurrent use.
type Policy interface {
	// Observe records an idle gap of a model: the time from the end of its last
	// request to the arrival of the next.
	Observe(model string, gap time.Duration)
	// KeepAlive returns how long an idle replica of the model stays loaded.
	KeepAlive(model string, cost Cost) time.Duration
	// NextUse returns the expected time until the next request of a model that
	// has been idle for some time.
	NextUse(model string, idle time.Duration) time.Duration
}

// Fixed keeps every replica for the same time.
type Fixed time.Duration

// Observe implements Policy; it learns nothing.
func (Fixed) Observe(string, time.Duration) {}

// KeepAlive implements Policy.
func (f Fixed) KeepAlive(string, Cost) time.Duration { return time.Duration(f) }

// NextUse implements Policy. The longest idle replica counts as needed last.
func (Fixed) NextUse(_ string, idle time.Duration) time.Duration { return idle + time.Second }

// BreakEven keeps every replica for the break-even time of its model. It learns
// nothing.
type BreakEven struct{ Fixed }

// KeepAlive implements Policy.
func (BreakEven) KeepAlive(_ string, cost Cost) time.Duration { return cost.BreakEven() }

// AtOnce unloads a replica as soon as it is idle.
const AtOnce = Fixed(0)
