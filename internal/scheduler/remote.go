package scheduler

import "time"

const (
	firstRemoteLimit = 2
	maxRemoteLimit   = 8
	// onTimeRatio and overdueRatio are the ratios of actual to configured load time
	// at which the limit on concurrent loads is raised or lowered.
	onTimeRatio  = 1.25
	overdueRatio = 1.5
)

// remoteLoads limits the loads from the weight store. If the number that can run
// concurrently at full speed is not configured, it is estimated from the load
// times.
type remoteLoads struct {
	limit   int
	active  map[string]remoteLoad // by engine and model
	started []time.Time
	window  time.Duration
	// configured is set when the limit is configured and is not estimated.
	configured bool
	// perWindow is how many loads may start in a window; 0 while it is unknown.
	perWindow int
}

type remoteLoad struct {
	since time.Time
	// concurrent is the highest number of loads, this one included, that were active
	// during it.
	concurrent int
}

func newRemoteLoads(opts Options) remoteLoads {
	return remoteLoads{limit: firstRemoteLimit, active: make(map[string]remoteLoad), window: opts.LoadWindow}
}

// setRate sets the configured rate, in loads per second.
func (l *remoteLoads) setRate(perSecond float64) {
	l.perWindow = max(1, int(perSecond*l.window.Seconds()))
}

// setConcurrency sets the configured limit on concurrent loads; 0 estimates it.
func (l *remoteLoads) setConcurrency(limit int) {
	l.configured = limit > 0
	if l.configured {
		l.limit = limit
	}
}

func (l *remoteLoads) tick(now time.Time) {
	kept := l.started[:0]
	for _, at := range l.started {
		if now.Sub(at) < l.window {
			kept = append(kept, at)
		}
	}
	l.started = kept
}

func (l *remoteLoads) mayStart(now time.Time) bool {
	l.tick(now)
	return len(l.active) < l.limit && (l.perWindow == 0 || len(l.started) < l.perWindow)
}

func (l *remoteLoads) start(now time.Time, key string) {
	l.active[key] = remoteLoad{since: now}
	l.started = append(l.started, now)
	for k, load := range l.active {
		load.concurrent = max(load.concurrent, len(l.active))
		l.active[k] = load
	}
}

// finish records a complete load and adjusts an estimated limit.
func (l *remoteLoads) finish(now time.Time, key string, expected time.Duration) {
	load, ok := l.active[key]
	if !ok {
		return
	}
	delete(l.active, key)
	if expected <= 0 || l.configured {
		return
	}
	ratio := float64(now.Sub(load.since)) / float64(expected)
	switch {
	case ratio <= onTimeRatio && load.concurrent >= l.limit:
		l.limit = min(maxRemoteLimit, l.limit+1)
	case ratio >= overdueRatio:
		l.limit = max(1, l.limit-1)
	}
}

func (l *remoteLoads) abandon(key string) { delete(l.active, key) }
