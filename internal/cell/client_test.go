package cell

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"

	apiv1 "github.com/ragwortdoor/ragwortdoor/api/ragwortdoor/v1"
	"github.com/ragwortdoor/ragwortdoor/internal/blocklist"
	"github.com/ragwortdoor/ragwortdoor/internal/fleet"
	"github.com/ragwortdoor/ragwortdoor/internal/pace"
	"github.com/ragwortdoor/ragwortdoor/internal/scheduler"
	"github.com/ragwortdoor/ragwortdoor/internal/transport"
)

type noopLog struct{}

func (noopLog) Granted(string, string, scheduler.Grant)                                      {}
func (noopLog) Refused(string, scheduler.Refusal)                                            {}
func (noopLog) Ordered(string, scheduler.OrderCall, fleet.OrderResult, time.Duration, error) {}
func (noopLog) Inspected(string, fleet.Inventory, error)                                     {}

func (noopLog) HandedOver(string, int64) {}

func (noopLog) EngineCrashed(string, scheduler.CrashedEngine) {}
func (noopLog) PromptBlocked(string, blocklist.Entry)         {}
func (noopLog) PromptSuspended(string, blocklist.Entry)       {}
func (noopLog) PromptUnblocked(string, blocklist.Entry)       {}
func (noopLog) LimitGranted(string, pace.Decision)            {}
func (noopLog) LimitRefused(string, pace.Decision)            {}

func newClient(host, bootID string) *Client {
	return NewClient(ClientOptions{
		Host: host, BootID: bootID, Address: host + ":1", Cores: 1, Observer: noopObserver{},
		ListVersion: func() int64 { return 0 }, OnUpstreamList: func(fleet.Change) {}, OnHandover: func(Handover) {},
	})
}

type stubEngines struct{}

func (stubEngines) Order(context.Context, *fleet.Upstream, fleet.Order) (fleet.OrderResult, error) {
	return fleet.OrderConflict, nil
}

func (stubEngines) Inspect(context.Context, *fleet.Upstream) (fleet.Inventory, error) {
	return fleet.Inventory{StartedMs: 1, Models: []fleet.LoadedModel{{Name: "m"}}}, nil
}

// newScheduler runs an active scheduler with one engine that has loaded model m.
func newScheduler(t *testing.T, ctx context.Context) (*Scheduler, string) {
	t.Helper()
	return newSchedulerWith(t, ctx, func(string, int64) {})
}

func newSchedulerWith(t *testing.T, ctx context.Context, onSuperseded func(string, int64)) (*Scheduler, string) {
	t.Helper()
	directory := fleet.NewDirectory()
	spec := &fleet.EngineSpec{Slots: 1, KVTokens: 1000, MemoryMB: 10, Models: map[string]fleet.Model{"m": {Name: "m", MemoryMB: 10}}}
	directory.SetConfig(fleet.NewConfig(1, nil, map[string]fleet.Service{"s": {Name: "s", Engine: spec}}, fleet.Limits{}))
	directory.Merge(time.Now(), fleet.Change{Complete: true, Registrations: []fleet.Registration{{ID: "e", Upstream: &fleet.Upstream{
		ID: "e", Service: "s", Addr: "127.0.0.1:1", Slots: 1, StartedMs: 1, Models: []fleet.LoadedModel{{Name: "m"}},
	}}}})
	s := NewScheduler(SchedulerOptions{
		Directory: directory, Engines: stubEngines{}, Host: "h",
		MayOrder: func() bool { return true }, RenewedAgo: func() time.Duration { return 0 }, LeaseVersion: func() int64 { return 1 }, OnFenced: func() {}, OnSuperseded: onSuperseded, Log: noopLog{},
	})
	go s.Run(ctx)
	s.Start(LeaseTerm{Fence: 1})
	server, err := transport.Listen("127.0.0.1:0", transport.Credentials{}, nil, s.Serve)
	if err != nil {
		t.Fatal(err)
	}
	go server.Serve(ctx)
	return s, server.Addr()
}

func placementRequest() *apiv1.PlacementAsk {
	return &apiv1.PlacementAsk{RequestId: "r", Service: "s", Model: "m", PromptTokens: 10, ObjectiveUs: 1e6, GiveUpUs: 20e6}
}

// mustPlace repeats the placement request until a scheduler decides: on a busy host
// a confirmation may arrive too late.
func mustPlace(t *testing.T, ctx context.Context, client *Client) Placement {
	t.Helper()
	for {
		placement, err := client.Place(ctx, placementRequest())
		if err == nil {
			return placement
		}
		if !errors.Is(err, ErrNoScheduler) || client.WaitLinked(ctx) != nil {
			t.Fatal(err)
		}
	}
}

func TestPlacementOverLinkAndAfterItsLoss(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	schedulerCtx, stopScheduler := context.WithCancel(ctx)
	_, addr := newScheduler(t, schedulerCtx)
	client := newClient("r1", "boot")
	go client.Run(ctx)
	_, err := client.Place(ctx, placementRequest())
	is.True(errors.Is(err, ErrNoScheduler)) // at once, so that the router can choose an engine itself
	client.Follow(addr, 1)
	is.NoErr(client.WaitLinked(ctx))
	is.True(client.HasActiveScheduler())
	placement := mustPlace(t, ctx, client)
	is.Equal(placement.UpstreamID, "e")

	// The engine has one slot: the next request waits until the link is lost.
	waiting := make(chan error, 1)
	go func() { _, err := client.Place(ctx, placementRequest()); waiting <- err }()
	time.Sleep(50 * time.Millisecond)
	stopScheduler()
	is.True(errors.Is(<-waiting, ErrNoScheduler))

	// A new holder is informed of the running request.
	next, addr := newScheduler(t, ctx)
	client.Follow(addr, 1)
	is.NoErr(client.WaitLinked(ctx))
	runs := make(chan int, 1)
	next.post(func() { runs <- next.cells["s"].Running() })
	is.Equal(<-runs, 1)
	client.ReportOutcome(placement.Number, apiv1.PlacementOutcome_PLACEMENT_OUTCOME_FINISHED, 0)
	mustPlace(t, ctx, client)
}

// The scheduler's process is suspended while its kernel still accepts connections: a
// link without heartbeats must not count as an active scheduler.
func TestUnresponsiveSchedulerIsNotActive(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	server, err := transport.Listen("127.0.0.1:0", transport.Credentials{}, nil, func(ctx context.Context, _ *transport.Stream) { <-ctx.Done() })
	is.NoErr(err)
	go server.Serve(ctx)
	client := newClient("r1", "boot")
	go client.Run(ctx)
	client.Follow(server.Addr(), 1)
	time.Sleep(400 * time.Millisecond)
	is.True(!client.HasActiveScheduler())
	_, err = client.Place(ctx, placementRequest())
	is.True(errors.Is(err, ErrNoScheduler))
}

// The first request of a router that has just become ready arrives before the event by
// which the scheduler learns of the directory's change.
func TestRequestOvertakesDirectoryChange(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	s, addr := newScheduler(t, ctx)
	client := newClient("r1", "boot")
	go client.Run(ctx)
	client.Follow(addr, 1)
	is.NoErr(client.WaitLinked(ctx))
	services := map[string]fleet.Service{"added": s.opts.Directory.Load().Config.Services["s"]}
	s.opts.Directory.SetConfig(fleet.NewConfig(2, nil, services, fleet.Limits{}))
	s.opts.Directory.Merge(time.Now(), fleet.Change{Registrations: []fleet.Registration{{ID: "e2", Upstream: &fleet.Upstream{
		ID: "e2", Service: "added", Addr: "127.0.0.1:1", Slots: 1, StartedMs: 1, Models: []fleet.LoadedModel{{Name: "m"}},
	}}}})
	for {
		req := placementRequest()
		req.Service = "added"
		placement, err := client.Place(ctx, req)
		if errors.Is(err, ErrNoScheduler) { // a busy host confirms late
			is.NoErr(client.WaitLinked(ctx))
			continue
		}
		is.NoErr(err)
		is.Equal(placement.UpstreamID, "e2")
		return
	}
}

func TestWithdrawnRequestIsRemoved(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	s, addr := newScheduler(t, ctx)
	client := newClient("r1", "boot")
	go client.Run(ctx)
	client.Follow(addr, 1)
	is.NoErr(client.WaitLinked(ctx))
	first := mustPlace(t, ctx, client)
	shortCtx, cancelShort := context.WithTimeout(ctx, 30*time.Millisecond)
	defer cancelShort()
	_, err := client.Place(shortCtx, placementRequest())
	is.True(errors.Is(err, context.DeadlineExceeded))
	client.ReportOutcome(first.Number, apiv1.PlacementOutcome_PLACEMENT_OUTCOME_FINISHED, 0)
	counts := make(chan [2]int, 1)
	deadline := time.Now().Add(10 * time.Second)
	for {
		s.post(func() { counts <- [2]int{s.cells["s"].Running(), s.cells["s"].Waiting()} })
		if got := <-counts; got == [2]int{} {
			return
		}
		if time.Now().After(deadline) {
			t.Fatal("the scheduler still has a request after its withdrawal")
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// A router loses its connection while its request runs. The request must count as
// running until the router reconnects and lists its requests.
func TestRequestsOfDisconnectedRouterStillCount(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	s, addr := newScheduler(t, ctx)
	routerCtx, stopRouter := context.WithCancel(ctx)
	client := newClient("r1", "boot")
	go client.Run(routerCtx)
	client.Follow(addr, 1)
	is.NoErr(client.WaitLinked(ctx))
	mustPlace(t, ctx, client)
	stopRouter()
	counts := make(chan [2]int, 1)
	count := func() [2]int {
		s.post(func() { counts <- [2]int{len(s.sessions), s.cells["s"].Running()} })
		return <-counts
	}
	deadline := time.Now().Add(10 * time.Second)
	for count()[0] > 0 && time.Now().Before(deadline) {
		time.Sleep(5 * time.Millisecond)
	}
	is.Equal(count(), [2]int{0, 1}) // the engine may still run it
	restarted := newClient("r1", "boot-2")
	go restarted.Run(ctx)
	restarted.Follow(addr, 1)
	is.NoErr(restarted.WaitLinked(ctx))
	is.Equal(count(), [2]int{1, 0}) // the restarted router lists none
}

// A holder that keeps running must hand the lease over to the strongest router that
// reaches the store and is not stopping; the others must be redirected to it.
func TestHandoverGoesToStrongestRouter(t *testing.T) {
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
		c.Follow(addr, 1)
		is.NoErr(c.WaitLinked(ctx))
		if host == "leaving" {
			c.ReportDraining()
		}
		clients = append(clients, c)
	}
	time.Sleep(50 * time.Millisecond)
	is.True(!s.HandOver(Handover{Fence: 6, WaitLeaseTime: true})) // none has reported that it reaches the store
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
				t.Fatal("a router was not redirected to the new scheduler")
			}
			time.Sleep(time.Millisecond)
		}
	}
	is.True(!s.HandOver(Handover{Fence: 8})) // no router is left
}

// A holder that can't reach the store does not notice its successor, so a router that
// follows the successor must report it to the previous holder.
func TestPreviousHolderIsNotifiedOfSuccessor(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	reported := make(chan string, 1)
	versions := make(chan int64, 1)
	_, addr := newSchedulerWith(t, ctx, func(address string, version int64) { reported <- address; versions <- version })
	client := newClient("r1", "boot")
	go client.Run(ctx)
	client.Follow(addr, 1)
	is.NoErr(client.WaitLinked(ctx))
	client.Follow("127.0.0.1:1", 7)
	is.Equal(<-reported, "127.0.0.1:1")
	is.Equal(<-versions, int64(7))
}

// A stopping router that connects to the next scheduler must not be offered the lease.
func TestStoppingRouterIsNotOfferedTheLeaseByTheNextScheduler(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	client := newClient("leaving", "boot")
	client.opts.OnHandover = func(Handover) { t.Error("a stopping router was offered the lease") }
	go client.Run(ctx)
	_, addr := newScheduler(t, ctx)
	client.Follow(addr, 1)
	is.NoErr(client.WaitLinked(ctx))
	client.ReportDraining()
	next, addr := newScheduler(t, ctx)
	client.Follow(addr, 2)
	is.NoErr(client.WaitLinked(ctx))
	for draining := make(chan bool, 1); ; {
		next.post(func() {
			known := false
			for _, session := range next.sessions {
				known = known || session.router == "leaving"
			}
			draining <- known
		})
		if <-draining {
			break
		}
	}
	is.True(!next.HandOver(Handover{Fence: 7}))
}

// After a handover the row still names the previous holder. A router that reads it
// before it is connected to the successor must not turn back.
func TestRowFromBeforeTheHandoverIsNotFollowed(t *testing.T) {
	is := is.New(t)
	client := newClient("r1", "boot")
	client.Follow("previous:1", 4)
	link := &recordingLink{}
	is.True(client.install("previous:1", link))
	client.handleReply(link, &apiv1.SchedulerReply{Body: &apiv1.SchedulerReply_Moved{Moved: &apiv1.SchedulerMoved{Address: "successor:1", LeaseVersion: 5}}})
	is.Equal(client.target, "successor:1")
	next := &recordingLink{}
	is.True(client.install("successor:1", next))
	client.Follow("previous:1", 5)
	is.Equal(client.target, "successor:1")
	is.Equal(len(next.calls), 1) // the hello: the successor is not told that it was superseded
	client.Follow("third:1", 6)
	is.Equal(client.target, "third:1")
	is.Equal(next.calls[1].GetSuperseded().GetLeaseVersion(), int64(6))
}

// recordingLink records the calls to a scheduler.
type recordingLink struct{ calls []*apiv1.SchedulerCall }

func (l *recordingLink) send(call *apiv1.SchedulerCall) error {
	l.calls = append(l.calls, call)
	return nil
}

func (l *recordingLink) close() {}

// Guards against a handover in the moment between a stopping router's hello and its next
// message: the hello itself says that it is stopping.
func TestHelloOfAStoppingRouterSaysSo(t *testing.T) {
	is := is.New(t)
	client := newClient("stopping", "boot")
	client.ReportDraining()
	client.Follow("scheduler:1", 1)
	link := &recordingLink{}
	is.True(client.install("scheduler:1", link))
	hello := link.calls[0].GetHello()
	s := NewScheduler(SchedulerOptions{Directory: fleet.NewDirectory(), RenewedAgo: func() time.Duration { return 0 }, LeaseVersion: func() int64 { return 1 }, Log: noopLog{}})
	s.active = true
	s.sessions[1] = &session{owner: s, number: 1, reply: func(*apiv1.SchedulerReply) {}, serviceByKey: make(map[uint64]string)}
	s.handleHello(time.Now(), s.sessions[1], hello)
	is.True(!s.handOver(Handover{Fence: 7}))
}
