package scheduler

import "time"

const (
	firstRemoteLimit = 2
	maxRemoteLimit   = 8
	// onTime and overdue are the ratios of a load's time to its stated time at
	// which the limit on loads at once is raised or lowered.
	onTime  = 1.25
	overdue = 1.5
)

// remoteLoads limits the loads from the weight store. The number that run at
// once at full speed is not published, so it is learned from the load times.
type remoteLoads struct {
	limit  int
	active map[string]remoteLoad // by engine and model
	begun  []time.Time
	window time.Duration
	// known is set when the limit is configured and need not be learned.
	known bool
	// perWindow is how many loads may begin in a window; 0 until it is known.
	perWindow int
}

type remoteLoad struct {
	since time.Time
	// atOnce is the highest number of loads that ran beside it.
	atOnce int
}

func newRemoteLoads(opts Options) remoteLoads {
	return remoteLoads{limit: firstRemoteLimit, active: make(map[string]remoteLoad), window: opts.LoadWindow}
}

// setRate takes over the rate of the configuration, in loads a second.
func (l *remoteLoads) setRate(perSecond float64) {
	l.perWindow = max(1, int(perSecond*l.window.Seconds()))
}

// setAtOnce takes over the configured limit on loads at once; 0 learns it.
func (l *remoteLoads) setAtOnce(limit int) {
	l.known = limit > 0
	if l.known {
		l.limit = limit
	}
}

func (l *remoteLoads) tick(now time.Time) {
	kept := l.begun[:0]
	for _, at := range l.begun {
		if now.Sub(at) < l.window {
			kept = append(kept, at)
		}
	}
	l.begun = kept
}

func (l *remoteLoads) mayStart(now time.Time) bool {
	l.tick(now)
	return len(l.active) < l.limit && (l.perWindow == 0 || len(l.begun) < l.perWindow)
}

func (l *remoteLoads) start(now time.Time, key string) {
	l.active[key] = remoteLoad{since: now}
	l.begun = append(l.begun, now)
	for k, load := range l.active {
		load.atOnce = max(load.atOnce, len(l.active))
		l.active[k] = load
	}
}

// finish learns from a load that is complete.
func (l *remoteLoads) finish(now time.Time, key string, stated time.Duration) {
	load, ok := l.active[key]
	if !ok {
		return
	}
	delete(l.active, key)
	if stated <= 0 || l.known {
		return
	}
	ratio := float64(now.Sub(load.since)) / float64(stated)
	switch {
	case ratio <= onTime && load.atOnce >= l.limit:
		l.limit = min(maxRemoteLimit, l.limit+1)
	case ratio >= overdue:
		l.limit = max(1, l.limit-1)
	}
}

func (l *remoteLoads) abandon(key string) { delete(l.active, key) }
