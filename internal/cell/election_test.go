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

type quietObserver struct{}

func (quietObserver) LeaseRead(string, int64)     {}
func (quietObserver) LeaseFailed(string, error)   {}
func (quietObserver) SchedulerLinked(string)      {}
func (quietObserver) SchedulerLost(string, error) {}

// contender is an election in simulated time.
type contender struct {
	*Election
	host    string
	tenures []LeaseTerm
	lost    int
	holder  string // as announced
	served  bool
}

type arena struct {
	now        time.Time
	table      *tabletest.Table
	contenders []*contender
}

func newArena(fenced bool, hosts ...string) *arena {
	a := &arena{now: time.Unix(1000, 0), table: tabletest.New()}
	for _, host := range hosts {
		c := &contender{host: host}
		c.Election = NewElection(ElectionOptions{
			Table: a.table, Host: host, BootID: "boot-" + host, Address: host + ":1",
			LeaseTime: 3 * time.Second, EnginesCheckFence: fenced,
			HasActiveScheduler: func() bool { return c.served },
			OnElected:          func(t LeaseTerm) { c.tenures = append(c.tenures, t) },
			OnLost:             func(string) { c.lost++ },
			OnHolder:           func(host, _ string) { c.holder = host },
			Observer:           quietObserver{},
			Now:                func() time.Time { return a.now },
		})
		a.contenders = append(a.contenders, c)
	}
	return a
}

// run steps the contenders for a time; the stopped ones stand still.
func (a *arena) run(d time.Duration, stopped ...*contender) {
	for end := a.now.Add(d); a.now.Before(end); a.now = a.now.Add(electionTick) {
	next:
		for _, c := range a.contenders {
			for _, s := range stopped {
				if s == c {
					continue next
				}
			}
			c.step(context.Background())
		}
	}
}

func (c *contender) holds() bool { return c.fence != 0 }

func TestOneTakesAVacantLease(t *testing.T) {
	is := is.New(t)
	a := newArena(true, "a", "b", "c")
	a.run(2 * time.Second)
	holders := 0
	for _, c := range a.contenders {
		if c.holds() {
			holders++
			is.True(c.MayOrder())
		} else {
			is.True(c.holder != "")
		}
	}
	is.Equal(holders, 1)
}

// holderOf makes the first contender the holder and returns it with the other.
func holderOf(t *testing.T, fenced bool) (*arena, *contender, *contender) {
	t.Helper()
	a := newArena(fenced, "a", "b")
	first, second := a.contenders[0], a.contenders[1]
	a.run(time.Second, second)
	if !first.holds() {
		t.Fatal("the only contender did not take the lease")
	}
	return a, first, second
}

func TestSilentHolderIsReplacedWithAHigherFence(t *testing.T) {
	for _, fenced := range []bool{true, false} {
		is := is.New(t)
		a, first, second := holderOf(t, fenced)
		before := a.now
		a.run(8*time.Second, first)
		is.True(second.holds())
		is.True(second.tenures[0].Fence > first.tenures[0].Fence)
		if !fenced {
			// No order of two holders within the lease time.
			is.True(second.tenures[0].OrdersAllowedFrom.Sub(before) > 3*time.Second)
		}
	}
}

// Pattern: the holder is frozen as the answer to its renewal is on its way.
func TestThawedHolderOrdersNothing(t *testing.T) {
	is := is.New(t)
	a, first, second := holderOf(t, true)
	a.run(6*time.Second, first)
	is.True(second.holds())
	is.True(!first.MayOrder()) // its last renewal is too old
	first.step(context.Background())
	is.Equal(first.lost, 1)
	is.Equal(first.holder, "b")
}

func TestPausedHolderRenewsBeforeItOrders(t *testing.T) {
	is := is.New(t)
	a, first, _ := holderOf(t, true)
	a.now = a.now.Add(2 * time.Second) // a pause in which nobody took over
	a.table.SetFault(tabletest.Down)
	first.step(context.Background())
	is.True(!first.MayOrder())
	a.table.SetFault(tabletest.None)
	a.run(time.Second, a.contenders[1])
	is.True(first.holds())
	is.True(first.MayOrder())
}

func TestHolderGoesOnWhileTheStoreIsAway(t *testing.T) {
	for _, fenced := range []bool{true, false} {
		is := is.New(t)
		a, first, second := holderOf(t, fenced)
		a.table.SetFault(tabletest.Down)
		a.run(10 * time.Second)
		is.True(first.holds())
		is.True(!second.holds())
		is.Equal(first.MayOrder(), fenced) // only where engines check fences
		a.table.SetFault(tabletest.None)
		a.run(2 * time.Second)
		is.True(first.holds()) // no takeover on the strength of an old row
		is.True(first.MayOrder())
	}
}

func TestLostAnswers(t *testing.T) {
	is := is.New(t)
	a := newArena(true, "a", "b")
	first := a.contenders[0]
	a.table.SetFault(tabletest.LostAnswer)
	a.run(time.Second, a.contenders[1])
	a.table.SetFault(tabletest.None)
	a.run(2 * time.Second)
	is.True(first.holds()) // its takeover came through
	a.table.SetFault(tabletest.LostAnswer)
	a.run(time.Second)
	a.table.SetFault(tabletest.None)
	a.run(time.Second)
	is.True(first.holds()) // and so did its renewals
	is.Equal(first.lost, 0)
	is.Equal(len(first.tenures), 1)
}

func TestFencedHolderStepsDown(t *testing.T) {
	is := is.New(t)
	_, first, _ := holderOf(t, true)
	first.ReportFenced()
	is.True(!first.MayOrder())
	first.step(context.Background())
	is.Equal(first.lost, 1)
}

// Pattern: routers are stopped one after the other.
func TestStoppingRouterFindsTheNextScheduler(t *testing.T) {
	is := is.New(t)
	a, first, second := holderOf(t, true)
	first.Resign()
	a.run(time.Second)
	is.True(!first.holds())
	is.True(second.holds()) // at once, without waiting for the lease's end
	is.Equal(first.holder, "b")
	a.run(10*time.Second, second)
	is.True(!first.holds()) // it takes no lease any more
}

// Pattern: after a restart of all routers a weak host was the first to contend.
func TestWeakHolderYieldsToAStrongHost(t *testing.T) {
	is := is.New(t)
	a, first, second := holderOf(t, true)
	first.opts.Cores = 0.144
	first.opts.StrongestPeerCores = func() float64 { return 0.8 }
	second.opts.Cores = 0.8
	a.run(time.Second)
	is.True(first.holds()) // there is nobody to hand over to
	first.opts.HandOver = func(offer Handover) bool { second.Accept(offer); return true }
	before := a.now
	a.run(4 * time.Second)
	is.True(!first.holds())
	is.True(second.holds())
	is.Equal(first.holder, "b")
	is.Equal(len(second.tenures), 1)
	// Both run on: their orders are the lease time apart.
	is.True(second.tenures[0].OrdersAllowedFrom.Sub(before) > 3*time.Second)
}

// Pattern: the holder is stopped while the store is away.
func TestHandoverWithoutTheStore(t *testing.T) {
	is := is.New(t)
	a, first, second := holderOf(t, true)
	first.opts.HandOver = func(offer Handover) bool { second.Accept(offer); return true }
	a.table.SetFault(tabletest.Down)
	first.Resign()
	a.run(time.Second)
	is.True(!first.holds())
	is.True(second.holds())
	is.True(second.MayOrder())
	is.True(second.tenures[0].Fence > first.tenures[0].Fence)
	a.table.SetFault(tabletest.None)
	a.run(10*time.Second, first)
	is.True(second.holds()) // the row is its own now
	is.Equal(second.lost, 0)
	third := a.contenders[0]
	third.resigned.Store(false)
	a.run(8*time.Second, second) // it ends
	is.True(third.holds())
	is.True(third.tenures[1].Fence > second.tenures[0].Fence) // no number is used twice
}

// Pattern: a renewal of the former holder is applied after the handover.
func TestHandoverOutlivesALateRenewal(t *testing.T) {
	is := is.New(t)
	a, first, second := holderOf(t, true)
	first.opts.HandOver = func(offer Handover) bool { second.Accept(offer); return true }
	a.table.SetFault(tabletest.LostAnswer)
	a.run(700*time.Millisecond, second)
	a.table.SetFault(tabletest.None)
	first.Resign()
	a.run(3 * time.Second)
	is.True(second.holds())
	is.Equal(second.lost, 0)
}

func TestSupersededHolderStepsDown(t *testing.T) {
	is := is.New(t)
	a, first, second := holderOf(t, true)
	a.run(6*time.Second, first)
	is.True(second.holds())
	first.ReportSuperseded("b:1")
	is.True(!first.MayOrder())
	first.step(context.Background())
	is.Equal(first.lost, 1)
	first.ReportSuperseded("b:1") // told once more
	first.step(context.Background())
	is.Equal(first.lost, 1)
}

// Pattern: the store comes back after a handover, with a row that still names the
// former holder.
func TestRowOfThePredecessorIsNotFollowed(t *testing.T) {
	is := is.New(t)
	a, first, second := holderOf(t, true)
	a.run(time.Second)
	is.Equal(second.holder, "a")
	second.holder = ""
	second.opts.SchedulerLeaseVersion = func() int64 { return first.LeaseVersion() }
	a.run(time.Second, first)
	is.Equal(second.holder, "") // nothing newer than what its scheduler goes on from
	a.run(400*time.Millisecond, second)
	second.opts.SchedulerLeaseVersion = func() int64 { return 0 }
	a.run(time.Second)
	is.Equal(second.holder, "a")
}

// slowTable answers only when its context ends, and keeps the reason.
type slowTable struct {
	external.TableService
	ended error
}

func (s *slowTable) Get(ctx context.Context, _ string) (external.Row, error) {
	<-ctx.Done()
	s.ended = ctx.Err()
	return external.Row{}, ctx.Err()
}

// Pattern: a lease is handed over while the heir waits for a silent store.
func TestOfferInterruptsACallToTheStore(t *testing.T) {
	is := is.New(t)
	a := newArena(true, "a")
	heir := a.contenders[0]
	slow := &slowTable{TableService: a.table}
	heir.opts.Table = slow
	done := make(chan struct{})
	go func() { defer close(done); heir.step(context.Background()) }()
	for heir.interrupt.Load() == nil {
		time.Sleep(time.Millisecond)
	}
	heir.Accept(Handover{Fence: 7, Version: 3, BootID: "other"})
	<-done
	is.True(errors.Is(slow.ended, context.Canceled)) // not its timeout
	heir.opts.Table = a.table
	heir.step(context.Background())
	is.True(heir.holds())
}

// refusing turns all calls of one host away.
type refusing struct{ external.TableService }

func (refusing) Get(context.Context, string) (external.Row, error) {
	return external.Row{}, &external.Error{Kind: external.KindOverloaded, Op: "get"}
}

func (refusing) Commit(context.Context, external.Txn) (external.TxnResult, error) {
	return external.TxnResult{}, &external.Error{Kind: external.KindOverloaded, Op: "commit"}
}

// Pattern: the store turns the strongest host away. It shows no standing, so it
// is no candidate.
func TestStandingIsShownOnlyByHostsThatReachTheStore(t *testing.T) {
	is := is.New(t)
	a, first, second := holderOf(t, true)
	first.opts.Cores, second.opts.Cores = 0.144, 0.8
	shown := 0
	second.served = true
	second.opts.SchedulerCores = func() float64 { return 0.144 }
	second.opts.OnStoreReachable = func() { shown++ }
	reached := second.opts.Table
	second.opts.Table = refusing{reached}
	a.run(4 * time.Second)
	is.Equal(shown, 0)
	second.opts.Table = reached
	a.run(4 * time.Second)
	is.True(shown >= 2)
	is.True(shown <= 9) // one read in half a second at most
	second.opts.SchedulerCores = func() float64 { return 0.8 }
	before := shown
	a.run(4 * time.Second)
	is.Equal(shown, before) // no reads while it would change nothing
}

// Pattern: a lease was given up to a host that never renewed it. The row still
// names the former holder, which must not take it for an own takeover at once.
func TestYieldedLeaseIsNotTakenBackAtOnce(t *testing.T) {
	is := is.New(t)
	a, first, second := holderOf(t, true)
	first.opts.Cores, second.opts.Cores = 0.144, 0.8
	first.opts.StrongestPeerCores = func() float64 { return 0.8 }
	first.opts.HandOver = func(offer Handover) bool { second.Accept(offer); return true }
	second.opts.Table = refusing{second.opts.Table}
	for first.holds() {
		a.run(electionTick)
	}
	tenures := len(first.tenures)
	a.run(yieldFor - 2*electionTick)
	is.Equal(len(first.tenures), tenures)
	a.run(time.Second)
	is.Equal(len(first.tenures), tenures+1) // nobody renews it
}
