package cell

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	apiv1 "github.com/ragwortdoor/ragwortdoor/api/ragwortdoor/v1"
	"github.com/ragwortdoor/ragwortdoor/internal/fleet"
)

// All routers of a large fleet connect at once, and the scheduler has thousands of events to
// handle. That an upstream drains must not wait behind them: meanwhile its heartbeats say that
// the list was just read, so that no router reads it by itself.
func TestRemovalIsRelayedBeforeQueuedEvents(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	directory := fleet.NewDirectory()
	directory.SetConfig(fleet.NewConfig(1, nil, map[string]fleet.Service{"s": {Name: "s"}}, fleet.Limits{}))
	list := func(sequence int64, draining bool) fleet.Change {
		up := &fleet.Upstream{ID: "e", Service: "s", Addr: "127.0.0.1:1", StartedMs: 1, Sequence: sequence, Draining: draining}
		return fleet.Change{Complete: true, Version: sequence, Registrations: []fleet.Registration{{ID: "e", Upstream: up}}}
	}
	directory.Merge(time.Now(), list(1, false))
	s := NewScheduler(SchedulerOptions{
		Directory: directory, Engines: stubEngines{}, Host: "h", RenewedAgo: func() time.Duration { return 0 }, LeaseVersion: func() int64 { return 1 }, Log: noopLog{},
	})
	go s.Run(ctx)
	s.Start(LeaseTerm{Fence: 1})
	var handled atomic.Int32
	relayed := make(chan int32, 1)
	session := s.attach(func(reply *apiv1.SchedulerReply) {
		for _, up := range reply.GetList().GetUpstreams() {
			if up.GetDraining() {
				relayed <- handled.Load()
			}
		}
	}, func() {})
	synced := make(chan struct{})
	s.post(func() { s.handleHello(time.Now(), session, &apiv1.SchedulerHello{Router: "r"}); close(synced) })
	<-synced
	for range 2000 {
		s.post(func() { time.Sleep(100 * time.Microsecond); handled.Add(1) })
	}
	directory.Merge(time.Now(), list(2, true))
	s.Refresh()
	is.True(<-relayed < 1000)
}
