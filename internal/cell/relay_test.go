package cell

import (
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
	s.handleHello(time.Now(), session, &apiv1.SchedulerHello{Router: "r1"})
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
	s.relayed = make(map[string]relayedUpstream)
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
		list := s.relayedList(tc.version)
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
