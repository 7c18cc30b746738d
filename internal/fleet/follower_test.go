package fleet

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"
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

func (quietObserver) ConfigInForce(int64)                  {}
func (quietObserver) UpstreamsChanged([]string, int)       {}
func (quietObserver) RegistrationInvalid(string, error)    {}
func (quietObserver) SourceLost(string, error)             {}
func (quietObserver) SourceRegained(string, time.Duration) {}

// All routers of a large fleet start at once: reading the list takes each of them longer
// than reading its changes may. It must not be begun again and again. The changes since
// are no longer known after that, so it is read a second time.
func TestSlowReadOfALargeListIsFinished(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	source := &slowSource{readTime: upstreamTimeout + 300*time.Millisecond, version: 9, calls: make(chan int64)}
	directory := NewDirectory()
	follower := NewFollower(FollowerOptions{Source: source, Directory: directory, OnChange: func() {}, Observer: quietObserver{}})
	go follower.RunUpstreams(ctx)
	for _, after := range []int64{0, 5, 0} {
		is.Equal(<-source.calls, after)
	}
	is.True(directory.Load().UpstreamListKnown)
	is.Equal(directory.Load().ListVersion, int64(5))
}
