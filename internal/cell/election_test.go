package cell

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/ragwortdoor/ragwortdoor/internal/external"
	"github.com/ragwortdoor/ragwortdoor/internal/tabletest"
)

type noopObserver struct{}

func (noopObserver) LeaseRead(string, int64)     {}
func (noopObserver) LeaseFailed(string, error)   {}
func (noopObserver) SchedulerLinked(string)      {}
func (noopObserver) SchedulerLost(string, error) {}

// contender is an election in simulated time.
type contender struct {
	*Election
	host         string
	terms        []LeaseTerm
	ordersFrom   []time.Time // of each term
	lost         int         // calls of OnLost
	holder       string      // as last passed to OnHolder
	hasScheduler bool
}

// simulation runs elections that share a clock and a store.
type simulation struct {
	now        time.Time
	table      *tabletest.Table
	contenders []*contender
}

func newSimulation(fenced bool, hosts ...string) *simulation {
	sim := &simulation{now: time.Unix(1000, 0), table: tabletest.New()}
	for _, host := range hosts {
		c := &contender{host: host}
		c.Election = NewElection(ElectionOptions{
			Table: sim.table, Host: host, BootID: "boot-" + host, Address: host + ":1",
			LeaseTime: 3 * time.Second, EnginesCheckFence: fenced,
			HasActiveScheduler: func() bool { return c.hasScheduler },
			OnElected: func(t LeaseTerm) {
				c.terms = append(c.terms, t)
				c.ordersFrom = append(c.ordersFrom, sim.now.Add(t.OrdersHeldBack))
			},
			OnLost:   func(string) { c.lost++ },
			OnHolder: func(host, _ string, _ int64) { c.holder = host },
			Observer: noopObserver{},
			Now:      func() time.Time { return sim.now },
		})
		sim.contenders = append(sim.contenders, c)
	}
	return sim
}

// run advances the time by d, with a step of each contender per tick except for the
// suspended ones.
func (sim *simulation) run(d time.Duration, suspended ...*contender) {
	for end := sim.now.Add(d); sim.now.Before(end); sim.now = sim.now.Add(electionTickInterval) {
	next:
		for _, c := range sim.contenders {
			for _, s := range suspended {
				if s == c {
					continue next
				}
			}
			c.step(context.Background())
		}
	}
}

func (c *contender) holdsLease() bool { return c.fence != 0 }

func TestOneRouterTakesVacantLease(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(true, "a", "b", "c")
	sim.run(2 * time.Second)
	holders := 0
	for _, c := range sim.contenders {
		if c.holdsLease() {
			holders++
			is.True(c.MayOrder())
		} else {
			is.True(c.holder != "")
		}
	}
	is.Equal(holders, 1)
}

// newSimulationWithHolder returns a simulation with two contenders, of which the
// first holds the lease.
func newSimulationWithHolder(t *testing.T, fenced bool) (*simulation, *contender, *contender) {
	t.Helper()
	sim := newSimulation(fenced, "a", "b")
	first, second := sim.contenders[0], sim.contenders[1]
	sim.run(time.Second, second)
	if !first.holdsLease() {
		t.Fatal("the only contender did not take the lease")
	}
	return sim, first, second
}

// The holder is suspended while the reply to its renewal is in flight, and resumes
// after another router has taken over. It must send no orders on the strength of that
// old renewal.
func TestResumedHolderSendsNoOrders(t *testing.T) {
	is := is.New(t)
	sim, first, second := newSimulationWithHolder(t, true)
	sim.run(6*time.Second, first)
	is.True(second.holdsLease())
	is.True(!first.MayOrder()) // its last renewal is too old
	first.step(context.Background())
	is.Equal(first.lost, 1)
	is.Equal(first.holder, "b")
}

func TestSuspendedHolderRenewsBeforeOrdering(t *testing.T) {
	is := is.New(t)
	sim, first, _ := newSimulationWithHolder(t, true)
	sim.now = sim.now.Add(2 * time.Second) // suspended, but nobody took over
	sim.table.SetFault(tabletest.Down)
	first.step(context.Background())
	is.True(!first.MayOrder())
	sim.table.SetFault(tabletest.None)
	sim.run(time.Second, sim.contenders[1])
	is.True(first.holdsLease())
	is.True(first.MayOrder())
}

func TestHolderContinuesWhileStoreIsUnreachable(t *testing.T) {
	for _, fenced := range []bool{true, false} {
		is := is.New(t)
		sim, first, second := newSimulationWithHolder(t, fenced)
		sim.table.SetFault(tabletest.Down)
		sim.run(10 * time.Second)
		is.True(first.holdsLease())
		is.True(!second.holdsLease())
		is.Equal(first.MayOrder(), fenced) // only where engines check fences
		sim.table.SetFault(tabletest.None)
		sim.run(2 * time.Second)
		is.True(first.holdsLease()) // an old row justifies no takeover
		is.True(first.MayOrder())
	}
}

func TestLostStoreReplies(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(true, "a", "b")
	first := sim.contenders[0]
	sim.table.SetFault(tabletest.LostReply)
	sim.run(time.Second, sim.contenders[1])
	sim.table.SetFault(tabletest.None)
	sim.run(2 * time.Second)
	is.True(first.holdsLease()) // its takeover was committed
	sim.table.SetFault(tabletest.LostReply)
	sim.run(time.Second)
	sim.table.SetFault(tabletest.None)
	sim.run(time.Second)
	is.True(first.holdsLease()) // and so were its renewals
	is.Equal(first.lost, 0)
	is.Equal(len(first.terms), 1)
}

func TestFencedHolderStepsDown(t *testing.T) {
	is := is.New(t)
	_, first, _ := newSimulationWithHolder(t, true)
	first.ReportFenced()
	is.True(!first.MayOrder())
	first.step(context.Background())
	is.Equal(first.lost, 1)
}

// In a rolling restart, a stopping holder must release the lease at once, follow
// the next holder and never take the lease again.
func TestStoppingRouterFindsTheNextScheduler(t *testing.T) {
	is := is.New(t)
	sim, first, second := newSimulationWithHolder(t, true)
	first.Resign()
	sim.run(time.Second)
	is.True(!first.holdsLease())
	is.True(second.holdsLease()) // at once, without waiting for the lease to expire
	is.Equal(first.holder, "b")
	sim.run(10*time.Second, second)
	is.True(!first.holdsLease()) // it takes no lease any more
}

// After a restart of all routers, a weak host may be the first to take the lease. It
// must hand it over once a much stronger router is connected.
func TestWeakHolderYieldsToAStrongHost(t *testing.T) {
	is := is.New(t)
	sim, first, second := newSimulationWithHolder(t, true)
	first.opts.Cores = 0.144
	first.opts.StrongestPeerCores = func() float64 { return 0.8 }
	second.opts.Cores = 0.8
	sim.run(time.Second)
	is.True(first.holdsLease()) // there is no router to hand over to
	first.opts.HandOver = func(offer Handover) bool { second.Accept(offer); return true }
	before := sim.now
	sim.run(4 * time.Second)
	is.True(!first.holdsLease())
	is.True(second.holdsLease())
	is.Equal(first.holder, "b")
	is.Equal(len(second.terms), 1)
	// Both keep running, so their orders are the lease time apart.
	is.True(second.ordersFrom[0].Sub(before) > 3*time.Second)
}

// The holder is stopped while the store is unreachable: the handover must work
// without it, and later terms must have higher fences.
func TestHandoverWithoutTheStore(t *testing.T) {
	is := is.New(t)
	sim, first, second := newSimulationWithHolder(t, true)
	first.opts.HandOver = func(offer Handover) bool { second.Accept(offer); return true }
	sim.table.SetFault(tabletest.Down)
	first.Resign()
	sim.run(time.Second)
	is.True(!first.holdsLease())
	is.True(second.holdsLease())
	is.True(second.MayOrder())
	is.True(second.terms[0].Fence > first.terms[0].Fence)
	sim.table.SetFault(tabletest.None)
	sim.run(10*time.Second, first)
	is.True(second.holdsLease()) // it has written the row since
	is.Equal(second.lost, 0)
	third := sim.contenders[0]
	third.resigned.Store(false)
	sim.run(8*time.Second, second) // second's process ends
	is.True(third.holdsLease())
	is.True(third.terms[1].Fence > second.terms[0].Fence) // no fence is used twice
}

// A renewal of the previous holder is committed although its reply was lost, so the
// successor's first renewal meets a newer row. It must not give up the lease for that.
func TestHandoverSurvivesLateRenewal(t *testing.T) {
	is := is.New(t)
	sim, first, second := newSimulationWithHolder(t, true)
	first.opts.HandOver = func(offer Handover) bool { second.Accept(offer); return true }
	sim.table.SetFault(tabletest.LostReply)
	sim.run(700*time.Millisecond, second)
	sim.table.SetFault(tabletest.None)
	first.Resign()
	sim.run(3 * time.Second)
	is.True(second.holdsLease())
	is.Equal(second.lost, 0)
}

func TestSupersededHolderStepsDown(t *testing.T) {
	is := is.New(t)
	sim, first, second := newSimulationWithHolder(t, true)
	sim.run(6*time.Second, first)
	is.True(second.holdsLease())
	first.ReportSuperseded("b:1", second.LeaseVersion())
	is.True(!first.MayOrder())
	first.step(context.Background())
	is.Equal(first.lost, 1)
	first.ReportSuperseded("b:1", second.LeaseVersion()) // repeated report
	first.step(context.Background())
	is.Equal(first.lost, 1)
}

// A router that still sees the row from before a handover reports its holder to the
// successor. The successor must not give up the lease for that.
func TestReportOfAnOldRowDoesNotEndTheTerm(t *testing.T) {
	is := is.New(t)
	sim, first, second := newSimulationWithHolder(t, true)
	sim.table.SetFault(tabletest.Down)
	first.opts.HandOver = func(offer Handover) bool { second.Accept(offer); return true }
	first.Resign()
	sim.run(time.Second)
	is.True(second.holdsLease())
	second.ReportSuperseded("a:1", first.LeaseVersion())
	is.True(second.MayOrder())
	second.step(context.Background())
	is.True(second.holdsLease())
	is.Equal(second.lost, 0)
}

// The lease is handed over to a router that has begun to stop in the same moment. The
// others must not wait until its lease has run out.
func TestStoppingRouterDeclinesTheLease(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(false, "a", "b", "c")
	first, second, third := sim.contenders[0], sim.contenders[1], sim.contenders[2]
	sim.run(time.Second, second, third)
	is.True(first.holdsLease())
	first.opts.HandOver = func(offer Handover) bool { second.Accept(offer); return true }
	second.Resign()
	first.Resign()
	sim.run(1200 * time.Millisecond)
	is.True(third.holdsLease())
}

// After a handover without the store, the row still names the previous holder. A
// router that is connected to the successor must not follow that row.
func TestPreviousHoldersRowIsNotFollowed(t *testing.T) {
	is := is.New(t)
	sim, first, second := newSimulationWithHolder(t, true)
	sim.run(time.Second)
	is.Equal(second.holder, "a")
	second.holder = ""
	second.opts.SchedulerLeaseVersion = func() int64 { return first.LeaseVersion() }
	sim.run(time.Second, first)
	is.Equal(second.holder, "") // the row is not newer than its scheduler's term
	sim.run(400*time.Millisecond, second)
	second.opts.SchedulerLeaseVersion = func() int64 { return 0 }
	sim.run(time.Second)
	is.Equal(second.holder, "a")
}

// blockingTable returns from Get only when the context ends, and records the cause.
type blockingTable struct {
	external.TableService
	cause error
}

func (s *blockingTable) Get(ctx context.Context, _ string) (external.Row, error) {
	<-ctx.Done()
	s.cause = ctx.Err()
	return external.Row{}, ctx.Err()
}

// A lease is handed over while the successor waits for a store that does not
// respond. The handover must not wait for that call's timeout.
func TestHandoverInterruptsStoreCall(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(true, "a")
	successor := sim.contenders[0]
	blocking := &blockingTable{TableService: sim.table}
	successor.opts.Table = blocking
	done := make(chan struct{})
	go func() { defer close(done); successor.step(context.Background()) }()
	for successor.cancelStoreCall.Load() == nil {
		time.Sleep(time.Millisecond)
	}
	successor.Accept(Handover{Fence: 7, Version: 3, BootID: "other"})
	<-done
	is.True(errors.Is(blocking.cause, context.Canceled)) // not its timeout
	successor.opts.Table = sim.table
	successor.step(context.Background())
	is.True(successor.holdsLease())
}

// refusingTable rejects all calls of one host.
type refusingTable struct{ external.TableService }

func (refusingTable) Get(context.Context, string) (external.Row, error) {
	return external.Row{}, &external.Error{Kind: external.KindOverloaded, Op: "get"}
}

func (refusingTable) Commit(context.Context, external.Txn) (external.TxnResult, error) {
	return external.TxnResult{}, &external.Error{Kind: external.KindOverloaded, Op: "commit"}
}

// If the store rejects the calls of the strongest host, that host must not report the
// store as reachable: it could not renew a lease that is handed over to it.
func TestOnlyHostsThatReachTheStoreReportIt(t *testing.T) {
	is := is.New(t)
	sim, first, second := newSimulationWithHolder(t, true)
	first.opts.Cores, second.opts.Cores = 0.144, 0.8
	reports := 0
	second.hasScheduler = true
	second.opts.SchedulerCores = func() float64 { return 0.144 }
	second.opts.OnStoreReachable = func() { reports++ }
	workingTable := second.opts.Table
	second.opts.Table = refusingTable{workingTable}
	sim.run(4 * time.Second)
	is.Equal(reports, 0)
	second.opts.Table = workingTable
	sim.run(4 * time.Second)
	is.True(reports >= 2)
	is.True(reports <= 9) // at most one read per half second
	second.opts.SchedulerCores = func() float64 { return 0.8 }
	before := reports
	sim.run(4 * time.Second)
	is.Equal(reports, before) // no reads while a handover is not possible
}

// The lease is handed over to a host that never renews it, so the row still names the
// previous holder. That router must not take the row for a takeover of its own whose
// reply was lost before the cooldown has passed.
func TestYieldedLeaseIsNotTakenBackAtOnce(t *testing.T) {
	is := is.New(t)
	sim, first, second := newSimulationWithHolder(t, true)
	first.opts.Cores, second.opts.Cores = 0.144, 0.8
	first.opts.StrongestPeerCores = func() float64 { return 0.8 }
	first.opts.HandOver = func(offer Handover) bool { second.Accept(offer); return true }
	second.opts.Table = refusingTable{second.opts.Table}
	for first.holdsLease() {
		sim.run(electionTickInterval)
	}
	terms := len(first.terms)
	sim.run(yieldCooldown - 2*electionTickInterval)
	is.Equal(len(first.terms), terms)
	sim.run(time.Second)
	is.Equal(len(first.terms), terms+1) // nobody renews it
}
