package cell

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"

	apiv1 "github.com/ragwortdoor/ragwortdoor/api/ragwortdoor/v1"
	"github.com/ragwortdoor/ragwortdoor/internal/fleet"
	"github.com/ragwortdoor/ragwortdoor/internal/scheduler"
	"github.com/ragwortdoor/ragwortdoor/internal/transport"
)

type quietLog struct{}

func (quietLog) Granted(string, string, scheduler.Grant)                                      {}
func (quietLog) Refused(string, scheduler.Refusal)                                            {}
func (quietLog) Ordered(string, scheduler.OrderCall, fleet.OrderResult, time.Duration, error) {}
func (quietLog) Inspected(string, fleet.Inventory, error)                                     {}

func (quietLog) HandedOver(string, int64) {}

func newClient(host, bootID string) *Client {
	return NewClient(ClientOptions{
		Host: host, BootID: bootID, Address: host + ":1", Cores: 1, Observer: quietObserver{},
		OnUpstreamList: func(fleet.Change) {}, OnHandover: func(Handover) {},
	})
}

type holdingEngines struct{}

func (holdingEngines) Order(context.Context, *fleet.Upstream, fleet.Order) (fleet.OrderResult, error) {
	return fleet.OrderConflict, nil
}

func (holdingEngines) Inspect(context.Context, *fleet.Upstream) (fleet.Inventory, error) {
	return fleet.Inventory{StartedMs: 1, Models: []fleet.LoadedModel{{Name: "m"}}}, nil
}

// newScheduler runs an active scheduler with one engine that holds model m.
func newScheduler(t *testing.T, ctx context.Context) (*Scheduler, string) {
	t.Helper()
	return newSchedulerWith(t, ctx, func(string) {})
}

func newSchedulerWith(t *testing.T, ctx context.Context, onSuperseded func(string)) (*Scheduler, string) {
	t.Helper()
	directory := fleet.NewDirectory()
	spec := &fleet.EngineSpec{Slots: 1, KVTokens: 1000, MemoryMB: 10, Models: map[string]fleet.Model{"m": {Name: "m", MemoryMB: 10}}}
	directory.SetConfig(fleet.NewConfig(1, nil, map[string]fleet.Service{"s": {Name: "s", Engine: spec}}, fleet.Limits{}))
	directory.Merge(time.Now(), fleet.Change{Complete: true, Registrations: []fleet.Registration{{ID: "e", Upstream: &fleet.Upstream{
		ID: "e", Service: "s", Addr: "127.0.0.1:1", Slots: 1, StartedMs: 1, Models: []fleet.LoadedModel{{Name: "m"}},
	}}}})
	s := NewScheduler(SchedulerOptions{
		Directory: directory, Engines: holdingEngines{}, Host: "h",
		MayOrder: func() bool { return true }, RenewedAgo: func() time.Duration { return 0 }, LeaseVersion: func() int64 { return 1 }, OnFenced: func() {}, OnSuperseded: onSuperseded, Log: quietLog{},
	})
	go s.Run(ctx)
	s.Start(LeaseTerm{Fence: 1, OrdersAllowedFrom: time.Now()})
	server, err := transport.Listen("127.0.0.1:0", transport.Credentials{}, s.Serve)
	if err != nil {
		t.Fatal(err)
	}
	go server.Serve(ctx)
	return s, server.Addr()
}

func ask() *apiv1.PlacementAsk {
	return &apiv1.PlacementAsk{RequestId: "r", Service: "s", Model: "m", PromptTokens: 10, ObjectiveUs: 1e6, GiveUpUs: 20e6}
}

// placed asks until a scheduler decides: on a busy machine a confirmation may
// come too late.
func placed(t *testing.T, ctx context.Context, client *Client) Placement {
	t.Helper()
	for {
		place, err := client.Place(ctx, ask())
		if err == nil {
			return place
		}
		if !errors.Is(err, ErrNoScheduler) || client.WaitLinked(ctx) != nil {
			t.Fatal(err)
		}
	}
}

func TestPlaceOverALinkAndAfterItsLoss(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	schedulerCtx, endScheduler := context.WithCancel(ctx)
	_, addr := newScheduler(t, schedulerCtx)
	client := newClient("r1", "boot")
	go client.Run(ctx)
	_, err := client.Place(ctx, ask())
	is.True(errors.Is(err, ErrNoScheduler)) // told at once, so that the router can choose alone
	client.Follow(addr)
	is.NoErr(client.WaitLinked(ctx))
	is.True(client.HasActiveScheduler())
	place := placed(t, ctx, client)
	is.Equal(place.UpstreamID, "e")

	// The engine has one slot: the next ask waits, and is told of the loss.
	waiting := make(chan error, 1)
	go func() { _, err := client.Place(ctx, ask()); waiting <- err }()
	time.Sleep(50 * time.Millisecond)
	endScheduler()
	is.True(errors.Is(<-waiting, ErrNoScheduler))

	// A new holder learns of the request under way.
	next, addr := newScheduler(t, ctx)
	client.Follow(addr)
	is.NoErr(client.WaitLinked(ctx))
	runs := make(chan int, 1)
	next.post(func() { runs <- next.cells["s"].Running() })
	is.Equal(<-runs, 1)
	client.ReportOutcome(place.Number, apiv1.PlacementOutcome_PLACEMENT_OUTCOME_FINISHED)
	placed(t, ctx, client)
}

// Pattern: the scheduler's host stands still while its kernel still accepts
// connections.
func TestFrozenSchedulerDoesNotCountAsServing(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	server, err := transport.Listen("127.0.0.1:0", transport.Credentials{}, func(ctx context.Context, _ *transport.Stream) { <-ctx.Done() })
	is.NoErr(err)
	go server.Serve(ctx)
	client := newClient("r1", "boot")
	go client.Run(ctx)
	client.Follow(server.Addr())
	time.Sleep(400 * time.Millisecond)
	is.True(!client.HasActiveScheduler())
	_, err = client.Place(ctx, ask())
	is.True(errors.Is(err, ErrNoScheduler))
}

func TestWithdrawnAskLeavesNothingBehind(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	s, addr := newScheduler(t, ctx)
	client := newClient("r1", "boot")
	go client.Run(ctx)
	client.Follow(addr)
	is.NoErr(client.WaitLinked(ctx))
	first := placed(t, ctx, client)
	short, end := context.WithTimeout(ctx, 30*time.Millisecond)
	defer end()
	_, err := client.Place(short, ask())
	is.True(errors.Is(err, context.DeadlineExceeded))
	client.ReportOutcome(first.Number, apiv1.PlacementOutcome_PLACEMENT_OUTCOME_FINISHED)
	counts := make(chan [2]int, 1)
	deadline := time.Now().Add(10 * time.Second)
	for {
		s.post(func() { counts <- [2]int{s.cells["s"].Running(), s.cells["s"].Waiting()} })
		if got := <-counts; got == [2]int{} {
			return
		}
		if time.Now().After(deadline) {
			t.Fatal("an ask was left behind")
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// Pattern: a router loses its connection for a moment while its request runs.
func TestRequestsOfALostRouterStillCount(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	s, addr := newScheduler(t, ctx)
	routerCtx, endRouter := context.WithCancel(ctx)
	client := newClient("r1", "boot")
	go client.Run(routerCtx)
	client.Follow(addr)
	is.NoErr(client.WaitLinked(ctx))
	placed(t, ctx, client)
	endRouter()
	counts := make(chan [2]int, 1)
	count := func() [2]int {
		s.post(func() { counts <- [2]int{len(s.sessions), s.cells["s"].Running()} })
		return <-counts
	}
	deadline := time.Now().Add(10 * time.Second)
	for count()[0] > 0 && time.Now().Before(deadline) {
		time.Sleep(5 * time.Millisecond)
	}
	is.Equal(count(), [2]int{0, 1}) // its engine may still run it
	again := newClient("r1", "boot-2")
	go again.Run(ctx)
	again.Follow(addr)
	is.NoErr(again.WaitLinked(ctx))
	is.Equal(count(), [2]int{1, 0}) // the router knows of none
}

// Pattern: a planned stop of the scheduler, with or without the store.
func TestHandoverReachesTheStrongestRouter(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	s, addr := newScheduler(t, ctx)
	offers := make(chan string, 4)
	var clients []*Client
	for host, cores := range map[string]float64{"weak": 0.1, "strong": 0.8, "leaving": 2} {
		c := newClient(host, "boot-"+host)
		c.opts.Cores = cores
		c.opts.OnHandover = func(h Handover) { offers <- host }
		go c.Run(ctx)
		c.Follow(addr)
		is.NoErr(c.WaitLinked(ctx))
		if host == "leaving" {
			c.ReportDraining()
		}
		clients = append(clients, c)
	}
	time.Sleep(50 * time.Millisecond)
	is.True(!s.HandOver(Handover{Fence: 6, WaitLeaseTime: true})) // none has shown that it reaches the store
	for _, c := range clients {
		if c.opts.Host == "strong" {
			c.ReportStoreReachable()
		}
	}
	for s.StrongestPeerCores() != 0.8 {
		time.Sleep(time.Millisecond)
	}
	is.True(s.HandOver(Handover{Fence: 7, WaitLeaseTime: true}))
	is.Equal(<-offers, "strong")
	deadline := time.Now().Add(10 * time.Second)
	for _, c := range clients {
		if c.opts.Host == "strong" {
			continue
		}
		for moved := false; !moved; {
			c.mu.Lock()
			moved = c.target == "strong:1"
			c.mu.Unlock()
			if time.Now().After(deadline) {
				t.Fatal("a router was not told where the scheduler is")
			}
			time.Sleep(time.Millisecond)
		}
	}
	is.True(!s.HandOver(Handover{Fence: 8})) // nobody is left
}

// Pattern: the holder is cut off from the store, and routers find its successor.
func TestFormerHolderIsToldOfItsSuccessor(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	told := make(chan string, 1)
	_, addr := newSchedulerWith(t, ctx, func(address string) { told <- address })
	client := newClient("r1", "boot")
	go client.Run(ctx)
	client.Follow(addr)
	is.NoErr(client.WaitLinked(ctx))
	client.Follow("127.0.0.1:1")
	is.Equal(<-told, "127.0.0.1:1")
}
