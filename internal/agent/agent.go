// Package agent is the sidecar of one upstream host: the only way to the
// host's model engine or plain service. It keeps the accelerator memory
// ledger, loads and unloads replicas of the slots that routers hand to it, and
// forwards requests.
package agent

import (
	"context"
	"io"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"

	apiv1 "github.com/ragwortdoor/ragwortdoor/api/ragwortdoor/v1"
	"github.com/ragwortdoor/ragwortdoor/internal/platform"
	"github.com/ragwortdoor/ragwortdoor/internal/transport"
)

// Options configure an Agent.
type Options struct {
	// Host is the id of this host in the platform's list.
	Host string
	// Engine is nil when the host runs no model engine.
	Engine platform.Engine
	// Service is nil when the host runs no plain service.
	Service platform.Service
	// ServiceName is the name under which callers reach Service.
	ServiceName string
	// EngineFences is true when the engine refuses orders with an old fencing
	// number.
	EngineFences bool
	// PermitTimeout is the wait for a weight-store permit before the fallback.
	// 0 selects 500 ms.
	PermitTimeout time.Duration
	// Clock tells the time; nil selects the system's clock.
	Clock platform.Clock
	// Log receives one line for each placement decision; nil discards them.
	Log *log.Logger
	// Seed starts the random source of jitter; 0 selects a random seed.
	Seed uint64
}

// Agent is the sidecar of one host. Its methods may be called from several
// goroutines.
type Agent struct {
	opts    Options
	drained atomic.Bool
}

// Stats are the counters of an Agent.
type Stats struct {
	// Loads counts the models that finished loading.
	Loads uint64 `json:"loads"`
}

// New makes an agent. It admits nothing before Run has read the engine's
// inventory and a router has assigned slots.
func New(opts Options) *Agent {
	if opts.Log == nil {
		opts.Log = log.New(io.Discard)
	}
	return &Agent{opts: opts}
}

// Run takes over what the engine holds and then works until ctx is done.
func (a *Agent) Run(ctx context.Context) error {
	<-ctx.Done()
	return nil
}

// Handle serves one stream of a router. It is a transport.Handler.
func (a *Agent) Handle(_ context.Context, stream *transport.Stream) {
	defer func() { _ = stream.Close() }()
	in := &apiv1.RouterFrame{}
	if err := stream.Recv(in); err != nil {
		return
	}
	if in.GetHello() != nil {
		reply := &apiv1.HelloReply{Host: a.opts.Host}
		_ = stream.Send(&apiv1.SidecarFrame{Body: &apiv1.SidecarFrame_Hello{Hello: reply}})
	}
}

// SetLeaving tells whether the platform's list says that this host is leaving.
// A leaving host takes no new work.
func (a *Agent) SetLeaving(leaving bool) { a.drained.Store(leaving) }

// Drain stops new work for good; running requests go on.
func (a *Agent) Drain() { a.drained.Store(true) }

// Wait returns when the running requests have ended, or ctx is done.
func (a *Agent) Wait(_ context.Context) error { return nil }

// Stats returns the counters.
func (a *Agent) Stats() Stats { return Stats{} }
