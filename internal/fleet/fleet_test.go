package fleet

import (
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/ragwortdoor/ragwortdoor/internal/era"
)

func TestMatchTakesTheLongestPrefix(t *testing.T) {
	config := NewConfig(1, []Route{
		{Name: "root", Host: "a.example", Prefix: "/"},
		{Name: "long", Host: "a.example", Prefix: "/x/y/"},
		{Name: "other", Host: "b.example", Prefix: "/x/"},
	}, nil, Limits{})
	for _, tc := range []struct{ host, path, want string }{
		{"a.example", "/x/y/z", "long"},
		{"a.example", "/x/y", "root"},
		{"A.EXAMPLE:8080", "/x/y/", "long"},
		{"b.example", "/x/1", "other"},
		{"b.example", "/y/1", ""},
		{"c.example", "/", ""},
	} {
		t.Run(tc.host+tc.path, func(t *testing.T) {
			is := is.New(t)
			got := ""
			if route := config.Match(tc.host, tc.path); route != nil {
				got = route.Name
			}
			is.Equal(got, tc.want)
		})
	}
}

func TestPickTargetFollowsWeights(t *testing.T) {
	is := is.New(t)
	route := Route{Targets: []Target{{"a", 90}, {"b", 10}}}
	is.Equal(route.PickTarget(0), "a")
	is.Equal(route.PickTarget(0.89), "a")
	is.Equal(route.PickTarget(0.91), "b")
	is.Equal((&Route{}).PickTarget(0.5), "")
}

func TestConfigVersionNeverDecreases(t *testing.T) {
	is := is.New(t)
	d := NewDirectory()
	is.True(d.SetConfig(NewConfig(7, nil, nil, Limits{})))
	is.True(!d.SetConfig(NewConfig(3, nil, nil, Limits{})))
	is.True(!d.SetConfig(NewConfig(7, nil, nil, Limits{})))
	is.Equal(d.Load().Config.Version, int64(7))
}

func registration(id string, startedMs, sequence int64, draining bool) Registration {
	return Registration{ID: id, Upstream: &Upstream{ID: id, Service: "s", StartedMs: startedMs, Sequence: sequence, Draining: draining}}
}

func TestMerge(t *testing.T) {
	now := time.Unix(100, 0)
	for _, tc := range []struct {
		name          string
		registrations []Registration
		usable        bool
		known         bool
	}{
		{"new", []Registration{registration("a", 1, 1, false)}, true, true},
		{"draining", []Registration{registration("a", 1, 1, false), registration("a", 1, 2, true)}, false, true},
		{"late copy of an earlier heartbeat", []Registration{registration("a", 1, 5, true), registration("a", 1, 4, false)}, false, true},
		{"ready again in the same incarnation", []Registration{registration("a", 1, 5, true), registration("a", 1, 6, false)}, false, true},
		{"a new incarnation is ready", []Registration{registration("a", 1, 5, true), registration("a", 2, 0, false)}, true, true},
		{"late registration of the previous incarnation", []Registration{registration("a", 2, 0, false), registration("a", 1, 9, true)}, true, true},
		{"invalid registration keeps the last valid one", []Registration{registration("a", 1, 1, false), {ID: "a", Err: errors.New("truncated")}}, true, true},
		{"invalid registration of an unknown id", []Registration{{ID: "a", Err: errors.New("truncated")}}, false, false},
		{"removed", []Registration{registration("a", 1, 1, false), {ID: "a"}}, false, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			d := NewDirectory()
			for _, r := range tc.registrations {
				d.Merge(now, Change{Registrations: []Registration{r}})
			}
			_, usable := d.Load().Usable("a")
			is.Equal(usable, tc.usable)
			is.Equal(d.Load().Upstreams["a"] != nil, tc.known)
		})
	}
}

// Guards against requests that are sent to a removed upstream: a scheduler that can't
// reach the store may still grant it.
func TestRemovedUpstreamIsRemembered(t *testing.T) {
	is := is.New(t)
	now := time.Unix(100, 0)
	d := NewDirectory()
	d.Merge(now, Change{Registrations: []Registration{registration("a", 1, 1, false), registration("b", 1, 1, true)}})
	is.True(!d.Load().KnownUnusable("a"))
	is.True(d.Load().KnownUnusable("b"))        // draining
	is.True(!d.Load().KnownUnusable("unknown")) // the scheduler may know it before this router
	d.Merge(now, Change{Registrations: []Registration{{ID: "a"}}})
	is.True(d.Load().KnownUnusable("a"))
	d.Merge(now.Add(time.Second), Change{Registrations: []Registration{registration("a", 2, 0, false)}})
	is.True(!d.Load().KnownUnusable("a")) // a new incarnation
	d.Merge(now, Change{Registrations: []Registration{{ID: "a"}}})
	d.Merge(now.Add(2*removedTTL), Change{})
	is.True(!d.Load().KnownUnusable("a"))
}

// Guards against the removal of running upstreams after an outage of the store, during
// which they could not renew their registrations.
func TestExpiredRegistrationsAreRetainedDuringTheGrace(t *testing.T) {
	is := is.New(t)
	now := time.Unix(100, 0)
	d := NewDirectory()
	d.Merge(now, Change{Registrations: []Registration{registration("a", 1, 1, false), registration("b", 1, 1, false)}})
	d.Merge(now, Change{Complete: true, ExpiryGrace: 2 * time.Second})
	is.Equal(len(d.Load().Upstreams), 2)
	is.True(d.HasRetained())
	d.Merge(now.Add(time.Second), Change{Registrations: []Registration{registration("a", 1, 2, false)}})
	removed := d.Merge(now.Add(2*time.Second), Change{})
	is.Equal(removed, []string{"b"}) // not renewed
	is.True(d.Load().Upstreams["a"] != nil)
	is.True(!d.HasRetained())
}

// A router restarts while its scheduler can't reach the platform. The scheduler relays a
// list with an upstream that has left since; the router has read a later list itself.
func TestRelayedListDoesNotBringBackRemovedUpstreams(t *testing.T) {
	for name, versions := range map[string]struct{ own, old, next int64 }{
		"platform with list versions": {20, 15, 21},
		"platform without":            {0, 0, 0},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			now := time.Unix(100, 0)
			d := NewDirectory()
			d.Merge(now, Change{Complete: true, Registrations: []Registration{registration("stays", 1, 5, false)}, Version: versions.own})
			recordRead(&d.listReadBegan, now)
			now = now.Add(time.Second)
			d.Merge(now, Change{
				Complete: true, Age: 3 * time.Second, Version: versions.old,
				Registrations: []Registration{registration("left", 1, 5, false), registration("stays", 1, 4, false)},
			})
			is.Equal(len(d.Load().Upstreams), 1)
			_, usable := d.Load().Usable("left")
			is.True(!usable)

			// Once the scheduler reads the platform again, its list counts.
			d.Merge(now, Change{Registrations: []Registration{registration("new", 1, 1, false)}, Age: 10 * time.Millisecond, Version: versions.next})
			_, usable = d.Load().Usable("new")
			is.True(usable)
		})
	}
}

// On a weak host a read of a large list lasts seconds. The scheduler reads and relays a
// drain meanwhile, which the read does not contain.
func TestChangeRelayedDuringAReadIsNotLost(t *testing.T) {
	for name, versions := range map[string]struct{ own, relayed int64 }{
		"platform with list versions": {20, 21},
		"platform without":            {0, 0},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			began := time.Unix(100, 0)
			ended := began.Add(2 * time.Second)
			d := NewDirectory()
			recordRead(&d.listReadBegan, began)
			recordRead(&d.listRead, ended)
			d.Merge(ended, Change{Complete: true, Registrations: []Registration{registration("a", 1, 5, false)}, Version: versions.own})
			d.Merge(ended.Add(100*time.Millisecond), Change{Registrations: []Registration{registration("a", 1, 6, true)}, Age: time.Second, Version: versions.relayed})
			_, usable := d.Load().Usable("a")
			is.True(!usable)
		})
	}
}

// The list is restored from a copy that is older than the removal of an upstream. It must
// not be used again because the copy names it, unless it turns out to be alive.
func TestRemovedUpstreamStaysInQuarantine(t *testing.T) {
	restored := era.Version(1, 3)
	for name, tc := range map[string]struct {
		later  []Registration // after the restored list
		after  time.Duration
		usable bool
	}{
		"only the copy names it":         {nil, time.Second, false},
		"the copy's row again":           {[]Registration{registration("left", 1, 4, false)}, time.Second, false},
		"a heartbeat follows":            {[]Registration{registration("left", 1, 7, false)}, time.Second, true},
		"a new incarnation":              {[]Registration{registration("left", 2, 0, false)}, time.Second, true},
		"its registration expires":       {[]Registration{{ID: "left"}}, 2 * quarantineTime, false},
		"still listed after the time":    {nil, 2 * quarantineTime, true},
		"it drains, and is removed then": {[]Registration{registration("left", 1, 9, true), {ID: "left"}}, time.Second, false},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			now := time.Unix(100, 0)
			d := NewDirectory()
			d.Merge(now, Change{Complete: true, Version: 5, Registrations: []Registration{registration("left", 1, 5, false)}})
			d.Merge(now, Change{Version: 6, Registrations: []Registration{{ID: "left"}}})
			d.Merge(now, Change{Complete: true, Version: restored, Registrations: []Registration{registration("left", 1, 4, false)}})
			is.True(d.HasRetained())
			for _, r := range tc.later {
				d.Merge(now.Add(time.Second), Change{Version: restored, Registrations: []Registration{r}})
			}
			d.Merge(now.Add(tc.after), Change{Version: restored})
			_, usable := d.Load().Usable("left")
			is.Equal(usable, tc.usable)
		})
	}
}

// An upstream said in a response that it leaves. The lists that still call it ready must
// not bring it back, and its next incarnation must not be excluded.
func TestLeavingUpstreamStaysDraining(t *testing.T) {
	is := is.New(t)
	now := time.Unix(100, 0)
	d := NewDirectory()
	d.Merge(now, Change{Complete: true, Version: 5, Registrations: []Registration{registration("a", 1, 1, false)}})
	_, changed := d.MarkLeaving(now, "a", 7)
	is.True(!changed) // another incarnation
	up, changed := d.MarkLeaving(now, "a", 0)
	is.True(changed)
	is.True(up.Draining)
	_, changed = d.MarkLeaving(now, "a", 1)
	is.True(!changed) // known
	d.Merge(now, Change{Version: 6, Registrations: []Registration{registration("a", 1, 2, false)}})
	d.Merge(now, Change{Complete: true, Version: 7, Registrations: []Registration{registration("a", 1, 3, false)}})
	is.True(d.Load().KnownUnusable("a"))
	is.Equal(d.Load().ListVersion, int64(7))
	d.Merge(now, Change{Version: 8, Registrations: []Registration{registration("a", 2, 0, false)}})
	is.True(!d.Load().KnownUnusable("a"))

	// Its registration expires while the store is out of reach, and is renewed as ready.
	d.MarkLeaving(now, "a", 2)
	d.Merge(now, Change{Version: 9, Registrations: []Registration{{ID: "a"}}})
	d.Merge(now, Change{Version: 10, Registrations: []Registration{registration("a", 2, 1, false)}})
	is.True(d.Load().KnownUnusable("a"))

	// Granted by a scheduler that knew it first.
	_, changed = d.MarkLeaving(now, "unlisted", 0)
	is.True(changed)
	is.True(d.Load().KnownUnusable("unlisted"))
	d.Merge(now, Change{Version: 11, Registrations: []Registration{registration("unlisted", now.Add(-time.Hour).UnixMilli(), 1, false)}})
	is.True(d.Load().KnownUnusable("unlisted"))
	d.Merge(now, Change{Version: 12, Registrations: []Registration{registration("unlisted", now.Add(time.Hour).UnixMilli(), 1, false)}})
	is.True(!d.Load().KnownUnusable("unlisted"))
}

// A router reads the list itself right after an outage of the store, and retains what has
// expired. Then its scheduler is back, which relays no mere heartbeats: a registration that
// was renewed does not arrive. Only the scheduler may remove it.
func TestRetainedUpstreamIsLeftToTheScheduler(t *testing.T) {
	is := is.New(t)
	now := time.Unix(100, 0)
	d := NewDirectory()
	d.Merge(now, Change{Complete: true, Version: 5, Registrations: []Registration{registration("renewed", 1, 1, false), registration("gone", 1, 1, false)}})
	d.Merge(now, Change{Complete: true, Version: 8, ExpiryGrace: expiryGrace})
	relay := func(version int64, r Registration) {
		now = now.Add(expiryGrace)
		d.Merge(now, Change{Registrations: []Registration{r}, Version: version, Age: time.Millisecond})
	}
	relay(9, registration("other", 1, 1, false))
	_, usable := d.Load().Usable("renewed")
	is.True(usable)
	relay(10, Registration{ID: "gone"})
	is.True(d.Load().KnownUnusable("gone"))
	is.True(!d.Load().KnownUnusable("renewed"))
}
