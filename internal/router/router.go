// Package router takes the requests of callers and ends each one in exactly one
// outcome: served, not run or unknown.
//
// A request for a model waits in the model's queue until a replica has room,
// is sent to the replica's sidecar, and its tokens are passed on in order. A
// call of a plain service goes to one of the service's hosts; unless it is
// idempotent it is sent at most once.
package router

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"golang.org/x/sync/errgroup"

	apiv1 "github.com/ragwortdoor/ragwortdoor/api/ragwortdoor/v1"
	"github.com/ragwortdoor/ragwortdoor/internal/claim"
	"github.com/ragwortdoor/ragwortdoor/internal/requestid"
	"github.com/ragwortdoor/ragwortdoor/internal/transport"
	"github.com/ragwortdoor/ragwortdoor/internal/view"
)

// Recorder keeps the wait records of ended requests. Record must not block.
type Recorder interface {
	Record(record *apiv1.WaitRecord)
}

// Options configure a Router.
type Options struct {
	// Host is the id of this host in the platform's list.
	Host          string
	FailureDomain string
	View          *view.Store
	Pool          *transport.Pool
	Claims        *claim.Store
	// Records receives one record for each ended request; nil drops them.
	Records Recorder
	// Refresh asks the session manager to read the table and to hand a host
	// its slots now. It must not block; nil does nothing.
	Refresh func(host string)
	// MaxBodyBytes bounds a request body. Default 1 MiB.
	MaxBodyBytes int64
	// RetryBudget is the number of retries allowed as a share of requests.
	// Default 0.2.
	RetryBudget float64
	// NoAffinity chooses among ready replicas by load alone, without regard to
	// the prompt.
	NoAffinity bool
	// Now tells the time; nil takes time.Now.
	Now func() time.Time
	Log *log.Logger
}

const (
	defaultMaxBodyBytes = 1 << 20
	defaultRetryBudget  = 0.2

	// dispatchPeriod is how often queues that hold requests are looked at without
	// an event: load reports and the end of pauses give none.
	dispatchPeriod = 20 * time.Millisecond
	drainPoll      = 10 * time.Millisecond

	// claimFlushTimeout bounds the wait for outcomes of claimed calls at a stop.
	claimFlushTimeout = 10 * time.Second
)

func (o Options) withDefaults() Options {
	if o.Refresh == nil {
		o.Refresh = func(string) {}
	}
	if o.MaxBodyBytes <= 0 {
		o.MaxBodyBytes = defaultMaxBodyBytes
	}
	if o.RetryBudget <= 0 {
		o.RetryBudget = defaultRetryBudget
	}
	if o.Now == nil {
		o.Now = time.Now
	}
	if o.Log == nil {
		o.Log = log.Default()
	}
	return o
}

// Router serves callers.
type Router struct {
	opts     Options
	ids      *requestid.Generator
	counters *counters
	budget   *retryBudget
	hosts    *hostHealth
	services *serviceIndex
	stalls   stalls
	draining atomic.Bool

	models sync.Map // name -> *model
	// waiting holds the models with queued requests, for the dispatch ticks.
	waitingMu sync.Mutex
	waiting   map[*model]struct{}
	// queued holds a value after a model entered waiting.
	queued chan struct{}

	// cleanup tracks goroutines that outlive their request: those that send a
	// Cancel frame.
	cleanup sync.WaitGroup
}

// New makes a router. Run must run for queues to move.
func New(opts Options) *Router {
	opts = opts.withDefaults()
	return &Router{
		opts:     opts,
		ids:      requestid.NewGenerator(opts.Host),
		counters: newCounters(),
		budget:   newRetryBudget(opts.RetryBudget),
		hosts:    newHostHealth(),
		services: &serviceIndex{},
		waiting:  make(map[*model]struct{}),
		queued:   make(chan struct{}, 1),
	}
}

// Handler serves callers over HTTP.
func (r *Router) Handler() http.Handler { return http.HandlerFunc(r.serveHTTP) }

// Run moves the queues and probes silent hosts until ctx is done.
func (r *Router) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return r.runDispatch(ctx) })
	group.Go(func() error { return r.runStalls(ctx) })
	return group.Wait()
}

// runDispatch sleeps while nothing is queued. A model that is queued after the
// last look leaves a value in queued, so that none is missed.
func (r *Router) runDispatch(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-r.queued:
			r.dispatchQueued(ctx)
		}
	}
}

// dispatchQueued moves the queues until all are empty.
func (r *Router) dispatchQueued(ctx context.Context) {
	ticker := time.NewTicker(dispatchPeriod)
	defer ticker.Stop()
	for r.tick() {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// Drain refuses new work; running requests go on.
func (r *Router) Drain() { r.draining.Store(true) }

// Wait returns when no request runs, or with an error when ctx is done. It gives
// the outcomes of claimed calls some time to be stored: those that are not leave
// their claims open, and repeats are answered as unknown.
func (r *Router) Wait(ctx context.Context) error {
	if err := pollUntil(ctx, func() bool { return r.counters.inFlight() == 0 }); err != nil {
		return err
	}
	r.cleanup.Wait() // bounded by cancelTimeout
	if r.opts.Claims == nil {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, claimFlushTimeout)
	defer cancel()
	if err := pollUntil(ctx, func() bool { return r.opts.Claims.Pending() == 0 }); err != nil {
		r.opts.Log.Warn("outcomes of claimed calls are not stored", "count", r.opts.Claims.Pending())
	}
	return nil
}

// pollUntil returns when done reports true, or with an error when ctx is done.
func pollUntil(ctx context.Context, done func() bool) error {
	ticker := time.NewTicker(drainPoll)
	defer ticker.Stop()
	for !done() {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
	return nil
}
