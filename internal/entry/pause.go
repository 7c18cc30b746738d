package entry

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/ragwortdoor/ragwortdoor/internal/exchange"
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

// notices are what upstreams say about themselves in responses to requests, orders and
// reads of inventories.
type notices struct {
	pauses *pauses
	// onLeaving is called when an upstream says that it is about to leave. It marks the
	// upstream as draining before it returns.
	onLeaving func(upstreamID, requestID string)
	log       *Log
}

// take takes in the head of a response. requestID names the request in logs.
func (n *notices) take(upstreamID, requestID string, info ResponseInfo) {
	if info.Leaving {
		n.onLeaving(upstreamID, requestID)
	}
	if info.Pause > 0 {
		pause := min(info.Pause, maxPause)
		n.pauses.add(upstreamID, pause)
		n.log.UpstreamPaused(upstreamID, requestID, pause, info.Pause)
	}
}

// considerateEngines sends nothing to engines in a pause, and takes in what engines say
// about themselves.
type considerateEngines struct {
	fleet.Engines
	dialect Dialect
	notices *notices
}

// Names of calls in logs, in place of a request's id.
const (
	orderCall  = "order"
	reportCall = "report"
)

// Order implements fleet.Engines. An order that is not sent counts as one that conflicts.
func (e considerateEngines) Order(ctx context.Context, up *fleet.Upstream, order fleet.Order) (fleet.OrderResult, error) {
	if e.notices.pauses.left(up.ID) > 0 {
		return fleet.OrderConflict, nil
	}
	return e.Engines.Order(e.observe(ctx, up, orderCall), up, order)
}

// Inspect implements fleet.Engines.
func (e considerateEngines) Inspect(ctx context.Context, up *fleet.Upstream) (fleet.Inventory, error) {
	if e.notices.pauses.left(up.ID) > 0 {
		return fleet.Inventory{}, errPaused
	}
	inventory, err := e.Engines.Inspect(e.observe(ctx, up, reportCall), up)
	if err != nil && e.notices.pauses.left(up.ID) > 0 {
		err = errPaused // that was its answer
	}
	return inventory, err
}

func (e considerateEngines) observe(ctx context.Context, up *fleet.Upstream, call string) context.Context {
	return exchange.WithObserver(ctx, func(status int, header http.Header) {
		e.notices.take(up.ID, call, e.dialect.ReadResponse(status, header))
	})
}
