package fleet

import (
	"context"
	"errors"
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/ragwortdoor/ragwortdoor/internal/era"
	"github.com/ragwortdoor/ragwortdoor/internal/retry"
)

// slowSource takes readTime for a complete list and has lost the history of older
// versions.
type slowSource struct {
	readTime time.Duration
	version  int64
	calls    chan int64 // the after argument of each call
}

func (s *slowSource) Config(ctx context.Context, _ int64, _ time.Duration) (ConfigUpdate, error) {
	<-ctx.Done()
	return ConfigUpdate{}, ctx.Err()
}

func (s *slowSource) Upstreams(ctx context.Context, after int64, _ time.Duration) (UpstreamUpdate, error) {
	select {
	case s.calls <- after:
	case <-ctx.Done():
		return UpstreamUpdate{}, ctx.Err()
	}
	if after > 0 && after < s.version {
		return UpstreamUpdate{}, ErrHistoryGone
	}
	if after > 0 {
		return UpstreamUpdate{Version: s.version}, nil
	}
	select {
	case <-time.After(s.readTime):
		return UpstreamUpdate{Complete: true, Version: 5, ListVersion: 5}, nil
	case <-ctx.Done():
		return UpstreamUpdate{}, ctx.Err()
	}
}

type quietObserver struct{}

func (quietObserver) ConfigInForce(int64, []error)                      {}
func (quietObserver) UpstreamsChanged([]string, int)                    {}
func (quietObserver) RegistrationInvalid(string, error)                 {}
func (quietObserver) SourceRead(string, ReadResult, time.Duration)      {}
func (quietObserver) SourceLost(string, error)                          {}
func (quietObserver) SourceStillLost(string, int, time.Duration, error) {}
func (quietObserver) SourceRegained(string, time.Duration)              {}

// All routers of a large fleet start at once: reading the list takes each of them longer
// than reading its changes may. It must not be begun again and again. The changes since
// are no longer known after that, so it is read a second time.
func TestSlowReadOfALargeListIsFinished(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	source := &slowSource{readTime: 1200 * time.Millisecond, version: 9, calls: make(chan int64)}
	directory := NewDirectory()
	follower := NewFollower(FollowerOptions{Source: source, Directory: directory, OnChange: func() {}, Observer: quietObserver{}})
	go follower.RunUpstreams(ctx)
	for _, after := range []int64{0, 5, 0} {
		is.Equal(<-source.calls, after)
	}
	is.True(directory.Load().UpstreamListKnown)
	is.Equal(directory.Load().ListVersion, int64(5))
}

// stubPeer is a scheduler that relays the list until it is lost.
type stubPeer struct{ lost, schedules atomic.Bool }

func (p *stubPeer) Fresh() (int64, bool) { return 0, !p.lost.Load() }
func (p *stubPeer) Schedules() bool      { return p.schedules.Load() }

// The scheduler of a large fleet is lost. Its routers read on from the version of the
// list that it relayed last, not from the one that they read themselves at their start.
func TestReadsContinueFromTheRelayedList(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	source := &slowSource{version: 5, calls: make(chan int64)}
	directory := NewDirectory()
	peer := &stubPeer{}
	peer.lost.Store(true)
	follower := NewFollower(FollowerOptions{Source: source, Directory: directory, OnChange: func() {}, Observer: quietObserver{}, Peer: peer})
	go follower.RunUpstreams(ctx)
	is.Equal(<-source.calls, int64(0))
	is.Equal(<-source.calls, int64(5))
	peer.lost.Store(false)
	directory.Merge(time.Now(), Change{Registrations: []Registration{registration("a", 1, 1, false)}, Age: time.Millisecond, Version: 50})
	time.Sleep(2 * upstreamPollInterval) // the follower notices the peer
	peer.lost.Store(true)
	is.Equal(<-source.calls, int64(50))
}

// Routers that lose their scheduler at the same time don't read all at once; one that
// schedules itself does not wait.
func TestRoutersWithoutSchedulerSpreadTheirReads(t *testing.T) {
	is := is.New(t)
	is.Equal(catchUpDelay(3000), 990*time.Millisecond)
	is.Equal(catchUpDelay(11_000), time.Second)
	is.True(catchUpDelay(59) < 20*time.Millisecond)
	directory := NewDirectory()
	change := Change{Complete: true}
	for i := range 11_000 {
		change.Registrations = append(change.Registrations, registration(fmt.Sprint(i), 1, 1, false))
	}
	directory.Merge(time.Now(), change)
	peer := &stubPeer{}
	peer.lost.Store(true)
	peer.schedules.Store(true)
	follower := NewFollower(FollowerOptions{Directory: directory, Peer: peer})
	is.True(!follower.waitToCatchUp(context.Background()))
	peer.schedules.Store(false)
	peer.lost.Store(false)
	is.True(follower.waitToCatchUp(context.Background())) // a fresh peer is back
}

// cutOffSource stands for a store with a slow link behind it: it was out of reach while
// the configuration changed often. Reading each change since takes too long; reading the
// configuration as it is now does not.
type cutOffSource struct{ cut atomic.Bool }

func (s *cutOffSource) Config(ctx context.Context, after int64, _ time.Duration) (ConfigUpdate, error) {
	if s.cut.Load() && after == 0 {
		return ConfigUpdate{Config: NewConfig(90, nil, nil, Limits{}), Version: 90}, nil
	}
	if !s.cut.Load() && after == 0 {
		s.cut.Store(true)
		return ConfigUpdate{Config: NewConfig(1, nil, nil, Limits{}), Version: 1}, nil
	}
	retry.Sleep(ctx, configWait) // a read that does not finish
	return ConfigUpdate{}, context.DeadlineExceeded
}

func (s *cutOffSource) Upstreams(ctx context.Context, _ int64, _ time.Duration) (UpstreamUpdate, error) {
	<-ctx.Done()
	return UpstreamUpdate{}, ctx.Err()
}

// Guards against a router that is stuck with an old configuration after a cut: it read
// all changes that it had missed, could not finish in time, and began anew with more.
func TestConfigurationIsReadAsItIsAfterAnOutage(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	directory := NewDirectory()
	changed := make(chan struct{}, 2)
	follower := NewFollower(FollowerOptions{Source: &cutOffSource{}, Directory: directory, OnChange: func() { changed <- struct{}{} }, Observer: quietObserver{}})
	go follower.RunConfig(ctx)
	<-changed
	is.Equal(directory.Load().Config.Version, int64(1))
	select {
	case <-changed:
	case <-time.After(stuckAfter):
	}
	is.Equal(directory.Load().Config.Version, int64(90))
}

// stuckAfter is when a test gives up on a follower that makes no progress.
const stuckAfter = 20 * time.Second

// The scheduler relays an upstream again that was removed before the store was restored,
// and nothing after that. The router must use it once its quarantine is over.
func TestQuarantineEndsWithoutFurtherChanges(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	directory := NewDirectory()
	directory.Merge(time.Now(), Change{Complete: true, Version: 5, Registrations: []Registration{registration("back", 1, 5, false)}})
	directory.Merge(time.Now(), Change{Version: 6, Registrations: []Registration{{ID: "back"}}})
	directory.Merge(time.Now(), Change{Version: era.Version(1, 4), Age: time.Millisecond, Registrations: []Registration{registration("back", 1, 7, false)}})
	_, usable := directory.Load().Usable("back")
	is.True(!usable)
	follower := NewFollower(FollowerOptions{Directory: directory, OnChange: func() {}, Observer: quietObserver{}, Peer: &stubPeer{}})
	go follower.RunUpstreams(ctx)
	for giveUp := time.Now().Add(stuckAfter); !usable && time.Now().Before(giveUp); time.Sleep(10 * time.Millisecond) {
		_, usable = directory.Load().Usable("back")
	}
	is.True(usable)
}

// A scheduler that started after an outage has never known the upstreams that this router
// retains since then, and relays neither their renewal nor their removal. The router must
// read on until it knows which of them are gone.
func TestRetainedUpstreamsAreReadToTheEnd(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	directory := NewDirectory()
	directory.Merge(time.Now(), Change{Complete: true, Version: 5, Registrations: []Registration{registration("gone", 1, 1, false)}})
	directory.Merge(time.Now(), Change{Complete: true, Version: 5, ExpiryGrace: time.Second})
	is.True(directory.Load().Upstreams["gone"] != nil)
	source := &slowSource{version: 5, calls: make(chan int64, 100)}
	follower := NewFollower(FollowerOptions{Source: source, Directory: directory, OnChange: func() {}, Observer: quietObserver{}, Peer: &stubPeer{}})
	go follower.RunUpstreams(ctx)
	for giveUp := time.Now().Add(stuckAfter); directory.Load().Upstreams["gone"] != nil && time.Now().Before(giveUp); {
		time.Sleep(10 * time.Millisecond)
	}
	is.True(directory.Load().KnownUnusable("gone"))
	time.Sleep(2 * upstreamPollInterval)
	reads := len(source.calls)
	time.Sleep(2 * upstreamPollInterval)
	is.Equal(len(source.calls), reads) // the scheduler's list is enough again
}

// failingSource is a source that fails until it is healed; then it lists no upstream.
type failingSource struct {
	cutOffSource
	healed atomic.Bool
}

func (s *failingSource) Upstreams(context.Context, int64, time.Duration) (UpstreamUpdate, error) {
	if !s.healed.Load() {
		return UpstreamUpdate{}, errors.New("turned away")
	}
	return UpstreamUpdate{Complete: true, Version: 9, ListVersion: 9}, nil
}

// The store turns a router away for a moment; a scheduler relays its lists from then on, until it is
// lost. Guards against the whole time in between counting as an outage of the list, after which
// upstreams that were removed are kept for a while: they may be draining.
func TestRelayedListsEndAnOutage(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	directory := NewDirectory()
	directory.Merge(time.Now(), Change{Complete: true, Version: 5, Registrations: []Registration{registration("gone", 1, 5, false)}})
	source, peer := &failingSource{}, &stubPeer{}
	peer.lost.Store(true)
	follower := NewFollower(FollowerOptions{Source: source, Directory: directory, OnChange: func() {}, Observer: quietObserver{}, Peer: peer})
	go follower.RunUpstreams(ctx)
	time.Sleep(200 * time.Millisecond)
	peer.lost.Store(false)
	time.Sleep(expiryOutage + 200*time.Millisecond)
	source.healed.Store(true)
	peer.lost.Store(true)
	for giveUp := time.Now().Add(expiryGrace - 500*time.Millisecond); directory.Load().Upstreams["gone"] != nil && time.Now().Before(giveUp); {
		time.Sleep(10 * time.Millisecond)
	}
	is.True(directory.Load().KnownUnusable("gone"))
}
