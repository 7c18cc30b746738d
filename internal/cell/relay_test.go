package cell

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	apiv1 "github.com/ragwortdoor/ragwortdoor/api/ragwortdoor/v1"
	"github.com/ragwortdoor/ragwortdoor/internal/fleet"
)

// A new holder that has not read the upstream list yet must not relay an empty one: its
// routers would count as ready without an upstream.
func TestUnknownListIsNotRelayed(t *testing.T) {
	is := is.New(t)
	s := NewScheduler(SchedulerOptions{
		Directory: fleet.NewDirectory(), Engines: stubEngines{}, Host: "h", MayOrder: func() bool { return true },
		RenewedAgo: func() time.Duration { return 0 }, LeaseVersion: func() int64 { return 1 }, Log: noopLog{},
	})
	s.active = true
	var replies []*apiv1.SchedulerReply
	session := &session{owner: s, reply: func(r *apiv1.SchedulerReply) { replies = append(replies, r) }, serviceByKey: make(map[uint64]string)}
	s.sessions[1] = session
	s.handleHello(time.Now(), session, &apiv1.SchedulerHello{Router: "r1"})
	for _, r := range replies {
		is.True(r.GetList() == nil)
	}
	s.opts.Directory.Merge(time.Now(), fleet.Change{Complete: true})
	s.relayList(s.opts.Directory.Load())
	lists := 0
	for _, r := range replies {
		if r.GetList().GetWhole() {
			lists++
		}
	}
	is.Equal(lists, 1)
}

// All routers connect at once when the holder changes. One that has read the list itself
// must be sent only what changed since, removals included.
func TestRouterIsSentWhatItsListLacks(t *testing.T) {
	is := is.New(t)
	directory := fleet.NewDirectory()
	s := NewScheduler(SchedulerOptions{Directory: directory, RenewedAgo: func() time.Duration { return 0 }, LeaseVersion: func() int64 { return 1 }})
	s.active = true
	merge := func(version int64, registrations ...fleet.Registration) {
		directory.Merge(time.Now(), fleet.Change{Registrations: registrations, Version: version})
		s.relayList(directory.Load())
	}
	registration := func(id string, draining bool) fleet.Registration {
		return fleet.Registration{ID: id, Upstream: &fleet.Upstream{ID: id, Service: "s", Draining: draining, StartedMs: 1}}
	}
	merge(5, registration("a", false), registration("b", false), registration("c", false))
	merge(7, registration("b", true))
	merge(9, fleet.Registration{ID: "c"})
	for _, tc := range []struct {
		version int64
		whole   bool
		ids     string
	}{
		{0, true, "ab"},  // a router without a list
		{4, true, "ab"},  // from before the term
		{5, false, "bc"}, // lacks the drain and the removal
		{7, false, "c"},
		{8, false, "c"},
		{9, false, ""},
		{12, false, ""}, // has read later than the scheduler
	} {
		list := s.relayed.lackedBy(tc.version)
		is.Equal(list.GetWhole(), tc.whole)
		var ids []string
		for _, up := range list.GetUpstreams() {
			is.Equal(up.GetRemoved(), up.GetId() == "c")
			ids = append(ids, up.GetId())
		}
		slices.Sort(ids)
		is.Equal(strings.Join(ids, ""), tc.ids)
	}
}

// Routers connect to a new holder before it has read the upstream list, and an upstream is
// removed meanwhile. The holder's first list must tell them, and must not rest on what it
// relayed in an earlier term.
func TestFirstListOfATermReachesRoutersThatConnectedBefore(t *testing.T) {
	is := is.New(t)
	directory := fleet.NewDirectory()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	s := NewScheduler(SchedulerOptions{Directory: directory, Engines: stubEngines{}, RenewedAgo: func() time.Duration { return 0 }, LeaseVersion: func() int64 { return 1 }, Log: noopLog{}})
	s.ctx = ctx
	runEvents := func() {
		for len(s.events) > 0 {
			(<-s.events)()
		}
		s.refreshIfDue()
	}
	directory.SetConfig(fleet.NewConfig(1, nil, nil, fleet.Limits{}))
	upstream := func(id string) fleet.Registration {
		return fleet.Registration{ID: id, Upstream: &fleet.Upstream{ID: id, Service: "s", StartedMs: 1}}
	}
	s.Start(LeaseTerm{Fence: 1})
	directory.Merge(time.Now(), fleet.Change{Complete: true, Version: 5, Registrations: []fleet.Registration{upstream("stays"), upstream("leaves")}})
	s.Refresh()
	runEvents()
	s.Stop()
	runEvents()

	s.opts.Directory = fleet.NewDirectory() // as after a restart
	s.opts.Directory.SetConfig(fleet.NewConfig(1, nil, nil, fleet.Limits{}))
	s.Start(LeaseTerm{Fence: 2})
	runEvents()
	lists := make(map[string][]*apiv1.UpstreamList)
	for number, hello := range []*apiv1.SchedulerHello{{Router: "has version 7", ListVersion: 7}, {Router: "has version 9", ListVersion: 9}, {Router: "has none"}} {
		session := &session{owner: s, number: uint64(number + 1), serviceByKey: make(map[uint64]string), reply: func(r *apiv1.SchedulerReply) {
			if r.GetList() != nil {
				lists[hello.GetRouter()] = append(lists[hello.GetRouter()], r.GetList())
			}
		}}
		s.sessions[session.number] = session
		s.handleHello(time.Now(), session, hello)
	}
	is.Equal(len(lists), 0)
	s.opts.Directory.Merge(time.Now(), fleet.Change{Complete: true, Version: 8, Registrations: []fleet.Registration{upstream("stays")}})
	s.Refresh()
	runEvents()
	for router, whole := range map[string]bool{"has version 7": true, "has version 9": false, "has none": true} {
		is.Equal(len(lists[router]), 1)
		is.Equal(lists[router][0].GetWhole(), whole)
		is.Equal(lists[router][0].GetVersion(), int64(8))
		is.Equal(len(lists[router][0].GetUpstreams()) == 1, whole)
	}
}

// largeFleet is a list of n engines that describe themselves in about 400 bytes each.
func largeFleet(n int) fleet.Change {
	change := fleet.Change{Complete: true, Version: 5}
	for i := range n {
		up := &fleet.Upstream{ID: fmt.Sprintf("engine-%08d", i), Service: "pool", Addr: fmt.Sprintf("10.0.%d.%d:8000", i/250, i%250), FailureDomain: "domain-1", Slots: 64, StartedMs: 1_700_000_000_000}
		for m := range 3 {
			model := fleet.LoadedModel{Name: fmt.Sprintf("model-%08d", m), Version: 1}
			for a := range 6 {
				model.Adapters = append(model.Adapters, fmt.Sprintf("adapter-%06d", a))
			}
			up.Models = append(up.Models, model)
		}
		change.Registrations = append(change.Registrations, fleet.Registration{ID: up.ID, Upstream: up})
	}
	return change
}

// Guards against a router that never gets the list of a large fleet: in one message it
// exceeds what a frame may hold, and over a slow link it takes longer than the heartbeat
// timeout, after which the router connects again and is sent all of it again.
func TestListOfALargeFleetReachesARouter(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	s, addr := newScheduler(t, ctx)
	const engines = 11_000
	s.opts.Directory.Merge(time.Now(), largeFleet(engines))
	s.Refresh()
	lists := make(chan fleet.Change, 1000)
	client := newClient("r1", "boot")
	client.opts.OnUpstreamList = func(change fleet.Change) {
		select {
		case lists <- change:
		case <-ctx.Done():
		}
	}
	go client.Run(ctx)
	client.Follow(addr, 1)
	select {
	case list := <-lists:
		is.True(list.Complete)
		is.Equal(len(list.Registrations), engines)
		is.Equal(list.Version, int64(5))
	case <-ctx.Done():
		t.Fatal("the list did not arrive")
	}
}

// One router learns from a response that an upstream leaves. The scheduler must grant it to
// nobody, and the other routers must hear of it.
func TestLeavingUpstreamIsRelayed(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	s, addr := newScheduler(t, ctx)
	lists := make(chan fleet.Change, 100)
	reporter, other := newClient("r1", "boot-1"), newClient("r2", "boot-2")
	other.opts.OnUpstreamList = func(change fleet.Change) { lists <- change }
	for _, client := range []*Client{reporter, other} {
		go client.Run(ctx)
		client.Follow(addr, 1)
		is.NoErr(client.WaitLinked(ctx))
	}
	is.True(!(<-lists).Registrations[0].Upstream.Draining)
	reporter.ReportUpstreamLeaving("e", 1)
	select {
	case change := <-lists:
		is.True(change.Registrations[0].Upstream.Draining)
	case <-ctx.Done():
		t.Fatal("the other router did not hear of it")
	}
	_, usable := s.opts.Directory.Load().Usable("e")
	is.True(!usable)
}
