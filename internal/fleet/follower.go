package fleet

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/ragwortdoor/ragwortdoor/internal/retry"
)

// Source reads the platform's configuration and list of upstreams.
type Source interface {
	// Config returns the configuration if it changed after the version; with
	// version 0 it returns what there is. It waits up to wait for a change. A
	// nil Config means that nothing changed.
	Config(ctx context.Context, after int64, wait time.Duration) (ConfigUpdate, error)
	// Upstreams returns the entries that changed after the version, or the
	// whole list for version 0.
	Upstreams(ctx context.Context, after int64, wait time.Duration) (UpstreamUpdate, error)
}

// ConfigUpdate is an answer of Source.Config.
type ConfigUpdate struct {
	Config *Config
	// Version is where the next call goes on. 0 asks for a whole read.
	Version int64
}

// UpstreamUpdate is an answer of Source.Upstreams.
type UpstreamUpdate struct {
	Registrations []Registration
	Complete      bool
	Version       int64
}

const (
	// configWait is how long one read waits for a change. It bounds how long a
	// connection that went silent delays a configuration.
	configWait = 600 * time.Millisecond
	// configTimeout is the time after which such a connection is given up.
	configTimeout = configWait + 400*time.Millisecond
	// upstreamPeriod is the pace of reads of the upstream list. Twice this plus
	// a call must stay below the time in which a leaving upstream is avoided.
	upstreamPeriod  = 500 * time.Millisecond
	upstreamTimeout = 900 * time.Millisecond
	// peerPoll is the pace at which a router with a fresh peer looks whether
	// that is still so.
	peerPoll   = 50 * time.Millisecond
	firstRetry = 50 * time.Millisecond
	maxRetry   = 500 * time.Millisecond
	// lapseAfter is how long the list must be away before missing entries are
	// taken for lapsed ones.
	lapseAfter = 2 * time.Second
	// lapseGrace is how long lapsed entries may take to come back.
	lapseGrace = 2 * time.Second
)

// FollowerOptions configure a Follower.
type FollowerOptions struct {
	Source    Source
	Directory *Directory
	// OnChange is called after the directory changed.
	OnChange func()
	// Observer is told what changed, for logs; all its methods must be fast.
	Observer Observer
	// Peer tells what another router knows; nil means that there is none.
	Peer Peer
}

// Peer is a router that reads the platform's lists and passes them on.
type Peer interface {
	// Fresh reports whether the peer's list of upstreams and configuration are
	// recent, and the version of its configuration.
	Fresh() (configVersion int64, ok bool)
}

// Observer is told what a Follower learns.
type Observer interface {
	ConfigInForce(version int64)
	UpstreamsChanged(ids []string, known int)
	RegistrationInvalid(id string, err error)
	SourceLost(what string, err error)
	SourceRegained(what string, away time.Duration)
}

// Follower keeps a Directory up to date.
type Follower struct {
	opts FollowerOptions
}

// NewFollower makes a follower; call Run.
func NewFollower(opts FollowerOptions) *Follower {
	return &Follower{opts: opts}
}

// RunConfig follows the configuration until ctx ends.
func (f *Follower) RunConfig(ctx context.Context) {
	var version int64
	outage := outageTracker{what: "configuration", observer: f.opts.Observer}
	for ctx.Err() == nil {
		if f.isTold(true) {
			retry.Sleep(ctx, peerPoll)
			continue
		}
		callCtx, cancel := context.WithTimeout(ctx, configTimeout)
		update, err := f.opts.Source.Config(callCtx, version, configWait)
		cancel()
		if err != nil {
			if ctx.Err() == nil {
				retry.Sleep(ctx, outage.failed(err))
			}
			continue
		}
		outage.succeeded()
		noteRead(&f.opts.Directory.configRead, time.Now())
		version = update.Version
		if update.Config != nil && f.opts.Directory.SetConfig(update.Config) {
			f.opts.Observer.ConfigInForce(update.Config.Version)
			f.opts.OnChange()
		}
		if version == 0 {
			retry.Sleep(ctx, firstRetry) // nothing published yet
		}
	}
}

// RunUpstreams follows the list of upstreams until ctx ends.
func (f *Follower) RunUpstreams(ctx context.Context) {
	var version int64
	var graceUntil time.Time
	outage := outageTracker{what: "upstream list", observer: f.opts.Observer}
	for ctx.Err() == nil {
		if f.isTold(false) {
			retry.Sleep(ctx, peerPoll)
			continue
		}
		began := time.Now()
		callCtx, cancel := context.WithTimeout(ctx, upstreamTimeout)
		update, err := f.opts.Source.Upstreams(callCtx, version, 0)
		cancel()
		if err != nil {
			if ctx.Err() == nil {
				retry.Sleep(ctx, outage.failed(err))
			}
			continue
		}
		if outage.succeeded() > lapseAfter {
			graceUntil = time.Now().Add(lapseGrace)
		}
		version = update.Version
		noteRead(&f.opts.Directory.listRead, time.Now())
		f.merge(update, time.Until(graceUntil))
		retry.Sleep(ctx, upstreamPeriod-time.Since(began))
	}
}

// isTold reports whether a peer makes a read needless.
func (f *Follower) isTold(config bool) bool {
	if f.opts.Peer == nil {
		return false
	}
	version, ok := f.opts.Peer.Fresh()
	if !ok {
		return false
	}
	snapshot := f.opts.Directory.Load()
	if config {
		return snapshot.Config != nil && snapshot.Config.Version >= version
	}
	return snapshot.UpstreamListKnown
}

func (f *Follower) merge(update UpstreamUpdate, grace time.Duration) {
	for _, entry := range update.Registrations {
		if entry.Err != nil {
			f.opts.Observer.RegistrationInvalid(entry.ID, entry.Err)
		}
	}
	if len(update.Registrations) == 0 && !update.Complete && !f.opts.Directory.HasRetained() {
		return
	}
	changed := f.opts.Directory.Merge(time.Now(), Change{Registrations: update.Registrations, Complete: update.Complete, ExpiryGrace: max(0, grace)})
	if len(changed) == 0 && !update.Complete {
		return
	}
	f.opts.Observer.UpstreamsChanged(changed, len(f.opts.Directory.Load().Upstreams))
	f.opts.OnChange()
}

// outageTracker backs off while a source fails and reports its loss and return.
type outageTracker struct {
	what     string
	observer Observer
	since    time.Time
	failures int
}

// failed notes a failure and returns the time to wait.
func (o *outageTracker) failed(err error) time.Duration {
	if o.failures == 0 {
		o.since = time.Now()
		o.observer.SourceLost(o.what, err)
	}
	wait := min(maxRetry, firstRetry<<min(o.failures, 4))
	o.failures++
	return wait/2 + rand.N(wait/2+1)
}

// succeeded returns how long the source was away.
func (o *outageTracker) succeeded() time.Duration {
	if o.failures == 0 {
		return 0
	}
	away := time.Since(o.since)
	o.failures = 0
	o.observer.SourceRegained(o.what, away)
	return away
}
