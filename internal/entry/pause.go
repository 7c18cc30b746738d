package entry

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/ragwortdoor/ragwortdoor/internal/fleet"
)

const (
	// maxPause limits the pause that an upstream may ask for.
	maxPause = 5 * time.Minute
	// pauseSpread is the fraction of the time to the end of a pause over which refused
	// callers are spread, so that they don't return together.
	pauseSpread = 0.5
)

// errPaused means that a call was not sent, because the engine asked for a pause.
var errPaused = fmt.Errorf("%w: it asked for a pause", fleet.ErrNotAsked)

// pauses has the upstreams that asked for a pause. Reads don't block: each change replaces
// the map. It is empty nearly always.
type pauses struct {
	mu    sync.Mutex // serializes writers
	until atomic.Pointer[map[string]time.Time]
	// ramps let requests in by degrees after a pause.
	ramps ramps
}

// add keeps requests from an upstream that asked for it. It is not a failure.
func (p *pauses) add(id string, pause time.Duration) {
	end := time.Now().Add(pause)
	p.replace(func(until map[string]time.Time) {
		if until[id].Before(end) {
			until[id] = end
		}
	})
	p.ramps.start(id, end)
}

// prune drops the pauses and ramps that are over.
func (p *pauses) prune() {
	p.ramps.prune()
	if p.until.Load() != nil {
		p.replace(func(map[string]time.Time) {})
	}
}

// replace changes a copy of the pauses that are not over.
func (p *pauses) replace(change func(until map[string]time.Time)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	next := make(map[string]time.Time)
	if current := p.until.Load(); current != nil {
		for id, until := range *current {
			if now.Before(until) {
				next[id] = until
			}
		}
	}
	change(next)
	if len(next) == 0 {
		p.until.Store(nil)
		return
	}
	p.until.Store(&next)
}

// left returns how long an upstream is still to be left alone.
func (p *pauses) left(id string) time.Duration {
	current := p.until.Load()
	if current == nil {
		return 0
	}
	return max(0, time.Until((*current)[id]))
}

// ids returns the upstreams in a pause.
func (p *pauses) ids() []string {
	current := p.until.Load()
	if current == nil {
		return nil
	}
	now := time.Now()
	var ids []string
	for id, until := range *current {
		if now.Before(until) {
			ids = append(ids, id)
		}
	}
	return ids
}

// untilFirstReturn returns when the first of the upstreams that take work ends its pause; 0
// if one of them is in none, or if there are none.
func (p *pauses) untilFirstReturn(upstreams []*fleet.Upstream) time.Duration {
	var first time.Duration
	for _, up := range upstreams {
		if !up.TakesWork() {
			continue
		}
		left := p.left(up.ID)
		if left == 0 {
			return 0
		}
		if first == 0 || left < first {
			first = left
		}
	}
	return first
}

// retryDelay returns the Retry-After of a refusal for lack of an upstream: delay, or if all
// upstreams of the service are in a pause, a time after the first one has ended.
func (cr *callerRequest) retryDelay(delay time.Duration) time.Duration {
	upstreams := cr.handler.directory.Load().ByService[cr.service.Name]
	first := cr.handler.pauses.untilFirstReturn(upstreams)
	if first == 0 {
		return delay
	}
	return max(delay, first+time.Duration(rand.Float64()*pauseSpread*float64(first)))
}
