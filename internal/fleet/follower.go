package fleet

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/ragwortdoor/ragwortdoor/internal/era"
	"github.com/ragwortdoor/ragwortdoor/internal/retry"
)

// Source reads the platform's configuration and upstream list. Its methods return early if
// the platform does not respond; they finish a response that keeps arriving, until ctx is
// done.
type Source interface {
	// Config returns the configuration if it changed after version after, or the
	// current one if after is 0. It waits up to wait for a change. A nil Config in
	// the update means that nothing changed.
	Config(ctx context.Context, after int64, wait time.Duration) (ConfigUpdate, error)
	// Upstreams returns the registrations that changed after version after, or the
	// complete list if after is 0. It returns ErrHistoryGone if the changes are no
	// longer known.
	Upstreams(ctx context.Context, after int64, wait time.Duration) (UpstreamUpdate, error)
}

// ErrHistoryGone means that the platform no longer retains the changes since a version,
// so that the complete list has to be read.
var ErrHistoryGone = errors.New("the platform no longer retains the changes since this version")

// ConfigUpdate is the result of Source.Config.
type ConfigUpdate struct {
	Config *Config
	// Version is the after argument of the next call; 0 requests a complete read.
	Version int64
}

// UpstreamUpdate is the result of Source.Upstreams. Complete and Version are as
// in Change and ConfigUpdate.
type UpstreamUpdate struct {
	Registrations []Registration
	Complete      bool
	Version       int64
	// ListVersion is as Change.Version.
	ListVersion int64
}

const (
	// configWait is how long one read waits for a change. It limits how long an
	// unresponsive connection delays a new configuration.
	configWait = 600 * time.Millisecond
	// upstreamPollInterval is the interval between reads of the upstream list. Twice
	// this plus one call must stay below the time within which routers have to stop
	// sending new requests to a draining upstream.
	upstreamPollInterval = 500 * time.Millisecond
	// Routers that lose their scheduler wait for a random time before they read the list
	// themselves, so that their reads together fit into the platform's link: up to
	// catchUpDelayPerUpstream for each upstream, and maxCatchUpDelay.
	catchUpDelayPerUpstream = 330 * time.Microsecond
	maxCatchUpDelay         = time.Second
	// readTimeout is when a read is abandoned although data still arrives: a read that is
	// begun anew starts at its first byte, with more to transfer than before.
	readTimeout = 15 * time.Second
	// peerPollInterval is how often a router whose peer is fresh checks that it
	// still is.
	peerPollInterval = 50 * time.Millisecond
	firstRetryDelay  = 50 * time.Millisecond
	maxRetryDelay    = 500 * time.Millisecond
	// outageLogInterval is the time between two reports of the same outage.
	outageLogInterval = time.Second
	// expiryOutage is how long the list must have been unavailable for missing
	// registrations to count as expired rather than removed.
	expiryOutage = 2 * time.Second
	// expiryGrace is how long after such an outage, or after a restore of the list from an
	// older copy, missing registrations are retained, so that their upstreams can renew
	// them.
	expiryGrace = 2 * time.Second
)

// FollowerOptions configure a Follower.
type FollowerOptions struct {
	Source    Source
	Directory *Directory
	// OnChange is called after each change of the directory.
	OnChange func()
	// Observer is notified of changes, for logs; its methods must return quickly.
	Observer Observer
	// Peer saves reads of the Source while another router relays its updates; may
	// be nil.
	Peer Peer
}

// Peer is another router that reads the platform's lists and relays them.
type Peer interface {
	// Fresh reports whether the peer's upstream list and configuration are recent,
	// and returns the version of its configuration.
	Fresh() (configVersion int64, ok bool)
	// Schedules reports whether this router schedules itself, so that the others
	// depend on what it reads.
	Schedules() bool
}

// Observer is notified of what a Follower reads and of outages of its Source.
type Observer interface {
	// ConfigInForce is called with what was left out of the configuration because it is not
	// valid.
	ConfigInForce(version int64, leftOut []error)
	UpstreamsChanged(ids []string, known int)
	RegistrationInvalid(id string, err error)
	// SourceRead is called after each read, with its result.
	SourceRead(what string, result ReadResult, took time.Duration)
	// SourceLost is called when an outage begins, SourceStillLost at intervals while it
	// lasts; failures counts the reads that have failed.
	SourceLost(what string, err error)
	SourceStillLost(what string, failures int, outage time.Duration, err error)
	SourceRegained(what string, outage time.Duration)
}

// ReadResult is how a read of a Source ended.
type ReadResult string

// Values of ReadResult.
const (
	ReadOK ReadResult = "ok"
	// ReadOutdated is a read that another router's relayed list has overtaken.
	ReadOutdated    ReadResult = "outdated"
	ReadTimedOut    ReadResult = "timeout"
	ReadHistoryGone ReadResult = "history gone"
	ReadFailed      ReadResult = "failed"
)

func readResult(err error) ReadResult {
	switch {
	case err == nil:
		return ReadOK
	case errors.Is(err, ErrHistoryGone):
		return ReadHistoryGone
	case errors.Is(err, context.DeadlineExceeded):
		return ReadTimedOut
	}
	return ReadFailed
}

// Follower keeps a Directory up to date.
type Follower struct {
	opts FollowerOptions
}

// NewFollower returns a follower; call RunConfig and RunUpstreams.
func NewFollower(opts FollowerOptions) *Follower {
	return &Follower{opts: opts}
}

// RunConfig follows the configuration until ctx is done.
func (f *Follower) RunConfig(ctx context.Context) {
	var version int64
	outage := outageTracker{what: "configuration", observer: f.opts.Observer}
	for ctx.Err() == nil {
		if f.canSkipRead(true) {
			retry.Sleep(ctx, peerPollInterval)
			continue
		}
		started := time.Now()
		callCtx, cancel := context.WithTimeout(ctx, readTimeout)
		update, err := f.opts.Source.Config(callCtx, version, configWait)
		cancel()
		f.opts.Observer.SourceRead(outage.what, readResult(err), time.Since(started))
		if err != nil {
			// The next read is of the configuration as it is, which costs the same however
			// many changes were missed.
			version = 0
			if ctx.Err() == nil {
				retry.Sleep(ctx, outage.failed(err))
			}
			continue
		}
		outage.succeeded()
		recordRead(&f.opts.Directory.configRead, time.Now())
		version = update.Version
		if update.Config != nil && f.opts.Directory.SetConfig(update.Config) {
			f.opts.Observer.ConfigInForce(update.Config.Version, update.Config.LeftOut)
			f.opts.OnChange()
		}
		if version == 0 {
			retry.Sleep(ctx, firstRetryDelay) // nothing published yet
		}
	}
}

// RunUpstreams follows the upstream list until ctx is done.
func (f *Follower) RunUpstreams(ctx context.Context) {
	var version int64
	var graceUntil time.Time
	outage := outageTracker{what: "upstream list", observer: f.opts.Observer}
	relayed := false
	for ctx.Err() == nil {
		if f.canSkipRead(false) && !f.opts.Directory.awaitsRenewals() {
			relayed = true
			outage.succeeded() // the list is known, though it was not read here
			f.releaseQuarantined()
			retry.Sleep(ctx, peerPollInterval)
			continue
		}
		if relayed && f.waitToCatchUp(ctx) {
			continue
		}
		if version > 0 {
			version = max(version, f.opts.Directory.Load().ListVersion)
		}
		started := time.Now()
		callCtx, cancel := context.WithTimeout(ctx, readTimeout)
		update, err := f.opts.Source.Upstreams(callCtx, version, 0)
		cancel()
		result := readResult(err)
		if result == ReadOK && update.ListVersion < f.opts.Directory.Load().ListVersion {
			result = ReadOutdated
		}
		f.opts.Observer.SourceRead(outage.what, result, time.Since(started))
		relayed = false
		if errors.Is(err, ErrHistoryGone) && version > 0 {
			version = 0
			continue
		}
		if err != nil {
			if ctx.Err() == nil {
				retry.Sleep(ctx, outage.failed(err))
			}
			continue
		}
		if outage.succeeded() > expiryOutage {
			graceUntil = time.Now().Add(expiryGrace)
		}
		if known := f.opts.Directory.Load().ListVersion; known > 0 && era.Of(update.ListVersion) > era.Of(known) {
			// What registered in the time that the restored list lacks registers again.
			graceUntil = time.Now().Add(expiryGrace)
		}
		version = update.Version
		recordRead(&f.opts.Directory.listReadBegan, started)
		recordRead(&f.opts.Directory.listRead, time.Now())
		f.merge(update, started, time.Until(graceUntil))
		retry.Sleep(ctx, upstreamPollInterval-time.Since(started))
	}
}

// waitToCatchUp waits before the first read without a peer. It reports true if a fresh
// peer has made the read unnecessary meanwhile.
func (f *Follower) waitToCatchUp(ctx context.Context) bool {
	until := time.Now().Add(rand.N(catchUpDelay(len(f.opts.Directory.Load().Upstreams)) + 1))
	for !f.canSkipRead(false) {
		if ctx.Err() != nil || f.opts.Peer.Schedules() || !time.Now().Before(until) {
			return false
		}
		retry.Sleep(ctx, min(peerPollInterval, time.Until(until)))
	}
	return true
}

// catchUpDelay is the longest wait before the first read without a peer.
func catchUpDelay(upstreams int) time.Duration {
	return min(maxCatchUpDelay, time.Duration(upstreams)*catchUpDelayPerUpstream)
}

// canSkipRead reports whether a fresh peer makes a read of the configuration, or
// else of the upstream list, unnecessary: its updates have arrived here.
func (f *Follower) canSkipRead(config bool) bool {
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

// releaseQuarantined lets upstreams out of quarantine while no list is read.
func (f *Follower) releaseQuarantined() {
	if released := f.opts.Directory.ReleaseQuarantined(time.Now()); len(released) > 0 {
		f.opts.Observer.UpstreamsChanged(released, len(f.opts.Directory.Load().Upstreams))
		f.opts.OnChange()
	}
}

// merge applies the result of a read that was begun at started.
func (f *Follower) merge(update UpstreamUpdate, started time.Time, grace time.Duration) {
	for _, registration := range update.Registrations {
		if registration.Err != nil {
			f.opts.Observer.RegistrationInvalid(registration.ID, registration.Err)
		}
	}
	if len(update.Registrations) == 0 && !update.Complete && !f.opts.Directory.HasRetained() {
		return
	}
	changed := f.opts.Directory.Merge(time.Now(), Change{Registrations: update.Registrations, Complete: update.Complete, Began: started, ExpiryGrace: max(0, grace), Version: update.ListVersion})
	if len(changed) == 0 && !update.Complete {
		return
	}
	f.opts.Observer.UpstreamsChanged(changed, len(f.opts.Directory.Load().Upstreams))
	f.opts.OnChange()
}

// outageTracker computes retry delays while a source fails and notifies the
// observer when the outage begins and ends.
type outageTracker struct {
	what     string
	observer Observer
	since    time.Time // of the first failure
	reported time.Time
	failures int
}

// failed records a failure and returns the retry delay.
func (o *outageTracker) failed(err error) time.Duration {
	now := time.Now()
	switch {
	case o.failures == 0:
		o.since, o.reported = now, now
		o.observer.SourceLost(o.what, err)
	case now.Sub(o.reported) >= outageLogInterval:
		o.reported = now
		o.observer.SourceStillLost(o.what, o.failures+1, now.Sub(o.since), err)
	}
	delay := min(maxRetryDelay, firstRetryDelay<<min(o.failures, 4))
	o.failures++
	return delay/2 + rand.N(delay/2+1)
}

// succeeded records a success and returns the duration of the outage that it
// ends; 0 if there was none.
func (o *outageTracker) succeeded() time.Duration {
	if o.failures == 0 {
		return 0
	}
	outage := time.Since(o.since)
	o.failures = 0
	o.observer.SourceRegained(o.what, outage)
	return outage
}
