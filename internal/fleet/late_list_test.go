package fleet

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against an upstream that has left and is used again: a router that starts gets the
// list that it reads after a later one that was relayed to it meanwhile.
func TestListThatArrivesAfterARelayedOne(t *testing.T) {
	for name, versions := range map[string]struct{ own, relayed, next int64 }{
		"platform with list versions": {20, 21, 22},
		"platform without":            {0, 0, 0},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			began := time.Unix(100, 0)
			now := began.Add(time.Second)
			d := NewDirectory()
			d.Merge(now, Change{
				Complete: true, Age: 10 * time.Millisecond, Version: versions.relayed,
				Registrations: []Registration{registration("stays", 1, 5, false), registration("new", 1, 1, false)},
			})
			changed := d.Merge(now, Change{
				Complete: true, Began: began, Version: versions.own,
				Registrations: []Registration{registration("left", 1, 5, false), registration("stays", 1, 4, false)},
			})
			is.Equal(len(changed), 0)
			is.Equal(d.Load().ListVersion, versions.relayed)
			_, usable := d.Load().Usable("left")
			is.True(!usable)
			_, usable = d.Load().Usable("new")
			is.True(usable)

			// A read that was begun later counts.
			d.Merge(now.Add(time.Second), Change{Complete: true, Began: now, Version: versions.next, Registrations: []Registration{registration("stays", 1, 6, false)}})
			is.True(d.Load().KnownUnusable("new"))
		})
	}
}

// A late list still shows that an expired registration was renewed: relayed lists lack mere
// heartbeats.
func TestLateListRenewsRetainedRegistrations(t *testing.T) {
	is := is.New(t)
	now := time.Unix(100, 0)
	d := NewDirectory()
	d.Merge(now, Change{Complete: true, Version: 5, Registrations: []Registration{registration("renewed", 1, 1, false), registration("expired", 1, 1, false)}})
	d.Merge(now, Change{Complete: true, Version: 8, ExpiryGrace: expiryGrace})
	d.Merge(now, Change{Age: time.Millisecond, Version: 12, Registrations: []Registration{registration("other", 1, 1, false)}})
	d.Merge(now, Change{Version: 10, Registrations: []Registration{registration("renewed", 1, 2, false)}})
	d.Merge(now.Add(expiryGrace), Change{Version: 13})
	is.True(d.Load().Upstreams["renewed"] != nil)
	is.True(d.Load().Upstreams["expired"] == nil)
}

// lateSource answers a read of the complete list with a version that is old by then.
type lateSource struct {
	slowSource
	onRead func()
}

func (s *lateSource) Upstreams(_ context.Context, after int64, _ time.Duration) (UpstreamUpdate, error) {
	if after > 0 {
		return UpstreamUpdate{Version: after, ListVersion: after}, nil
	}
	s.onRead()
	return UpstreamUpdate{Complete: true, Version: 20, ListVersion: 20, Registrations: []Registration{registration("left", 1, 5, false)}}, nil
}

// The same, through a follower whose read lasts while a later list is relayed.
func TestFollowerReadsOnFromTheRelayedListAfterALateOne(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithCancel(context.Background())
	directory := NewDirectory()
	source := &lateSource{onRead: func() {
		directory.Merge(time.Now(), Change{Complete: true, Age: time.Millisecond, Version: 21})
	}}
	ended := make(chan struct{})
	follower := NewFollower(FollowerOptions{Source: source, Directory: directory, OnChange: cancel, Observer: quietObserver{}})
	go func() { follower.RunUpstreams(ctx); close(ended) }()
	<-ended
	is.Equal(directory.Load().ListVersion, int64(21))
	is.Equal(len(directory.Load().Upstreams), 0)
}
