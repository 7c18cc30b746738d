package router

import (
	"context"
	"net/http"
	"sync"
	"time"

	apiv1 "github.com/ragwortdoor/ragwortdoor/api/ragwortdoor/v1"
	"github.com/ragwortdoor/ragwortdoor/internal/route"
	"github.com/ragwortdoor/ragwortdoor/internal/view"
)

const defaultMaxQueue = 256 // requests, when Model.max_queue is 0

// model is the queue of one model and what this router has sent to its
// replicas.
type model struct {
	name string

	mu       sync.Mutex
	queue    *route.Queue[*ticket]
	replicas map[replicaKey]*replica
	hold     route.Mean // dispatch to the end of a request
	first    route.Mean // dispatch to the first token, on a ready replica
	buf      []route.Candidate
	// waiting is true while the model is in Router.waiting.
	waiting bool
}

// ticket is one request that waits for a replica.
type ticket struct {
	x       *exchange
	adapter string
	wish    route.Wish
	attempt uint32
	// admitted receives one value: a grant or the Error that ends the wait.
	admitted chan admission
}

type admission struct {
	grant *grant
	err   *Error
}

// grant is the right to send one request to one replica. End it with release.
type grant struct {
	model   *model
	replica *replica
	slot    view.Slot
	host    string
	address string
	cold    bool
	at      time.Time

	reason       route.Reason
	alternatives string // for the log
}

func (r *Router) model(name string) *model {
	if v, known := r.models.Load(name); known {
		return v.(*model)
	}
	fresh := &model{
		name:     name,
		queue:    route.NewQueue[*ticket](defaultMaxQueue),
		replicas: make(map[replicaKey]*replica),
	}
	v, _ := r.models.LoadOrStore(name, fresh)
	return v.(*model)
}

// acquire waits for a replica. The wait counts from the request's arrival, also
// for a later try, so that a retried request keeps its place.
func (r *Router) acquire(ctx context.Context, m *model, t *ticket) (*grant, *Error) {
	start := r.opts.Now()
	w := &route.Waiter[*ticket]{Class: t.x.class, Arrived: t.x.arrived, Value: t}
	cause, err := r.enqueue(m, w, start)
	if err != nil {
		return nil, err
	}
	r.counters.queued.Add(1)
	defer r.counters.queued.Add(-1)
	select {
	case a := <-t.admitted:
		t.x.phase(apiv1.PhaseKind_PHASE_KIND_QUEUE, start, cause, "")
		if a.err != nil {
			return nil, a.err
		}
		r.logRoute(t, a.grant)
		return a.grant, nil
	case <-ctx.Done():
	}
	t.x.phase(apiv1.PhaseKind_PHASE_KIND_QUEUE, start, cause, "")
	m.mu.Lock()
	waiting := m.queue.Remove(w)
	m.mu.Unlock()
	if waiting {
		return nil, t.x.expired(false)
	}
	a := <-t.admitted
	if a.err != nil {
		return nil, a.err
	}
	r.release(a.grant)
	return nil, t.x.expired(false)
}

// enqueue admits a request to the queue or refuses it, and lets the queue move.
// It returns the cause of the wait.
func (r *Router) enqueue(m *model, w *route.Waiter[*ticket], now time.Time) (string, *Error) {
	snap := r.opts.View.Load()
	m.mu.Lock()
	defer m.mu.Unlock()
	c := r.capacity(m, snap, w.Value.adapter, now)
	if w.Value.attempt > 1 {
		m.queue.Return(w)
	} else if err := r.push(m, snap, w, c, now); err != nil {
		return "", err
	}
	r.dispatch(m, snap, now)
	r.setWaiting(m)
	return c.cause(m.queue.Len()), nil
}

// push admits a new request.
func (r *Router) push(m *model, snap *view.Snapshot, w *route.Waiter[*ticket], c capacity, now time.Time) *Error {
	if err := c.refusal(w, m.queue.Ahead(w.Class, now), now); err != nil {
		return err
	}
	m.queue.SetLimit(maxQueue(snap, m.name))
	evicted, ok := m.queue.Push(w)
	if !ok {
		return queueFull(KindQueueFull, c, m.queue.Len())
	}
	if evicted != nil {
		evicted.Value.admitted <- admission{err: queueFull(KindShed, c, m.queue.Len())}
	}
	return nil
}

func maxQueue(snap *view.Snapshot, name string) int {
	if n := snap.Config.Model(name).GetMaxQueue(); n > 0 {
		return int(n)
	}
	return defaultMaxQueue
}

func queueFull(kind Kind, c capacity, length int) *Error {
	message := "the queue of the model is full"
	if kind == KindShed {
		message = "a request of a higher priority class took the place in the full queue"
	}
	err := notRun(kind, http.StatusServiceUnavailable, remedyRetry, "%s", message)
	return err.after(max(c.estimate(length).Backlog(), time.Second))
}

// dispatch sends waiting requests on while replicas have room; the caller holds
// m.mu.
func (r *Router) dispatch(m *model, snap *view.Snapshot, now time.Time) {
	for {
		w := m.queue.Peek(now)
		if w == nil {
			return
		}
		g := r.pick(m, snap, w.Value, now)
		if g == nil {
			return
		}
		m.queue.Remove(w)
		w.Value.admitted <- admission{grant: g}
	}
}

// release ends a grant and lets the queue move.
func (r *Router) release(g *grant) {
	m := g.model
	now := r.opts.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	g.replica.inFlight--
	r.dispatch(m, r.opts.View.Load(), now)
	r.setWaiting(m)
}

// served learns from a whole answer.
func (r *Router) served(g *grant, firstToken, end time.Time) {
	g.model.mu.Lock()
	defer g.model.mu.Unlock()
	g.replica.warmUntil = end.Add(warmFor)
	if g.cold {
		return
	}
	g.model.hold.Add(end.Sub(g.at), end)
	g.model.first.Add(firstToken.Sub(g.at), end)
}

// setWaiting keeps the set of models with queued requests; the caller holds
// m.mu. The lock of the set is taken only when the model enters or leaves it.
func (r *Router) setWaiting(m *model) {
	waiting := m.queue.Len() > 0
	if waiting == m.waiting {
		return
	}
	m.waiting = waiting
	r.waitingMu.Lock()
	defer r.waitingMu.Unlock()
	if !waiting {
		delete(r.waiting, m)
		return
	}
	r.waiting[m] = struct{}{}
	select {
	case r.queued <- struct{}{}:
	default: // runDispatch is due already
	}
}

func (r *Router) waitingModels() []*model {
	r.waitingMu.Lock()
	defer r.waitingMu.Unlock()
	models := make([]*model, 0, len(r.waiting))
	for m := range r.waiting {
		models = append(models, m)
	}
	return models
}

// tick moves the queues and refuses the waiters whose deadline can no longer be
// met. It reports whether there were any.
func (r *Router) tick() bool {
	snap := r.opts.View.Load()
	models := r.waitingModels()
	for _, m := range models {
		now := r.opts.Now()
		m.mu.Lock()
		r.dispatch(m, snap, now)
		r.refuseLate(m, snap, now)
		r.setWaiting(m)
		m.mu.Unlock()
	}
	return len(models) > 0
}

// refuseLate ends the wait of requests that will not make it; the caller holds
// m.mu. The time to load an adapter is left out, so that one look at the
// replicas serves all waiters.
func (r *Router) refuseLate(m *model, snap *view.Snapshot, now time.Time) {
	if m.queue.Len() == 0 {
		return
	}
	c := r.capacity(m, snap, "", now)
	ahead := 0
	for _, w := range m.queue.Ordered(now) {
		t := w.Value
		if t.attempt > 1 {
			ahead++
			continue // admitted before; its deadline ends it
		}
		err := c.refusal(w, ahead, now)
		if err == nil {
			ahead++
			continue
		}
		m.queue.Remove(w)
		t.admitted <- admission{err: err}
	}
}
