package cell

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/ragwortdoor/ragwortdoor/internal/era"
	"github.com/ragwortdoor/ragwortdoor/internal/tabletest"
)

// The store loses some seconds and gives the versions since out again. A fence must not
// be used twice, nor be lower than one that engines have seen.
func TestFenceGrowsAcrossEras(t *testing.T) {
	is := is.New(t)
	sim, first, second := newSimulationWithHolder(t, true)
	older := sim.table.Copy()
	sim.run(8*time.Second, first)
	is.True(second.holdsLease()) // in the time that is lost
	lost := second.terms[0].Fence
	sim.table.Restore(older)
	third := NewElection(first.opts)
	third.opts.Host, third.opts.BootID = "c", "boot-c"
	c := &contender{host: "c", Election: third}
	third.opts.OnElected = func(t LeaseTerm) { c.terms = append(c.terms, t) }
	sim.contenders = append(sim.contenders, c)
	sim.run(10*time.Second, first, second) // both are suspended
	is.True(c.holdsLease())
	is.True(c.terms[0].Fence > lost)

	is.True(fenceOf(era.Version(1, 5)) > fenceOf(era.Version(0, 5+1<<23)))
	is.True(fenceOf(era.Version(1000, 1<<36)) < 1<<53) // exact as a JSON number
	is.Equal(fenceOf(7), int64(7<<handoverCountBits))  // a store without eras: as before
}

// The holder orders on after a restore, without a gap and without another taking its
// place: also where the copy has no lease row, or one that names its predecessor.
func TestHolderGoesOnAfterARestore(t *testing.T) {
	for name, prepare := range map[string]func(*simulation, *contender, *contender) tabletest.Copy{
		"the copy has its own row": func(sim *simulation, first, _ *contender) tabletest.Copy {
			older := sim.table.Copy()
			sim.run(3 * time.Second)
			return older
		},
		"the copy has no row": func(sim *simulation, first, _ *contender) tabletest.Copy {
			return tabletest.New().Copy()
		},
		"the copy names its predecessor": func(sim *simulation, first, second *contender) tabletest.Copy {
			sim.run(8*time.Second, first)
			sim.run(time.Second)
			older := sim.table.Copy() // second holds the lease
			second.opts.HandOver = func(offer Handover) bool { first.Accept(offer); return true }
			second.handOver("test", true)
			sim.run(4 * time.Second)
			return older
		},
	} {
		for _, fenced := range []bool{true, false} {
			t.Run(fmt.Sprintf("%s, engines check fences: %t", name, fenced), func(t *testing.T) {
				is := is.New(t)
				sim, first, second := newSimulationWithHolder(t, fenced)
				older := prepare(sim, first, second)
				is.True(first.holdsLease())
				lost, terms := first.lost, len(second.terms)
				sim.table.Restore(older)
				for range 100 {
					sim.run(electionTickInterval)
					is.True(first.MayOrder())
				}
				is.Equal(first.lost, lost)
				is.Equal(len(second.terms), terms)
			})
		}
	}
}

// A renewal is under way when the store is restored, and the version that it rests on has
// been given out again, for the row of another router.
func TestRenewalOverAVersionGivenOutAgain(t *testing.T) {
	is := is.New(t)
	sim, first, second := newSimulationWithHolder(t, false)
	older := sim.table.Copy()
	for renewed := first.version; first.version == renewed; {
		sim.run(electionTickInterval, second)
	}
	sim.table.Restore(older)
	second.row, second.version, second.era = first.row, era.Version(1, era.Sequence(older.Version())), 1
	second.takeOver(t.Context())
	is.True(second.holdsLease())
	is.Equal(era.Sequence(second.version), era.Sequence(first.version)) // given out again
	sim.run(renewInterval, second)
	is.Equal(first.lost, 1)
	is.True(!first.holdsLease())
}

// electionRun is one random run of elections: hosts are suspended and restarted, the store
// fails and is restored from copies some seconds old.
type electionRun struct {
	t    *testing.T
	rng  *rand.Rand
	sim  *simulation
	copy []tabletest.Copy // one for each tick
	// suspendedUntil and downUntil end a suspension and a fault of the store.
	suspendedUntil map[*contender]time.Time
	downUntil      time.Time
	restoreTo      *tabletest.Copy
	boots          int
	// hostOf has the host of each fence, lastOrder the time of each host's last order.
	hostOf      map[int64]string
	lastOrder   map[string]time.Time
	engineFence int64
	accepted    int
}

func (r *electionRun) tick(calm bool) {
	now := r.sim.now
	if now.Before(r.downUntil) && calm {
		r.downUntil = now
	}
	if !now.Before(r.downUntil) {
		r.sim.table.SetFault(tabletest.None)
		if r.restoreTo != nil {
			r.sim.table.Restore(*r.restoreTo)
			r.restoreTo = nil
		}
		r.copy = append(r.copy, r.sim.table.Copy())
	}
	if !calm {
		r.injectFault(now)
	}
	var suspended []*contender
	for c, until := range r.suspendedUntil {
		if now.Before(until) {
			suspended = append(suspended, c)
		}
	}
	r.sim.run(electionTickInterval, suspended...)
	for _, c := range r.sim.contenders {
		if !r.sim.now.Before(r.suspendedUntil[c]) {
			r.order(c)
		}
	}
}

func (r *electionRun) injectFault(now time.Time) {
	c := r.sim.contenders[r.rng.IntN(len(r.sim.contenders))]
	switch r.rng.IntN(150) {
	case 0:
		r.suspendedUntil[c] = now.Add(time.Duration(r.rng.IntN(6000)) * time.Millisecond)
	case 1:
		opts := c.opts
		r.boots++
		opts.BootID = fmt.Sprintf("boot %d of %s", r.boots, c.host)
		c.Election = NewElection(opts)
	case 2, 3:
		if now.Before(r.downUntil) {
			return
		}
		r.downUntil = now.Add(time.Duration(r.rng.IntN(3000)) * time.Millisecond)
		fault := []tabletest.Fault{tabletest.Down, tabletest.LostReply}[r.rng.IntN(2)]
		r.sim.table.SetFault(fault)
		if r.rng.IntN(2) == 0 {
			r.sim.table.SetFault(tabletest.Down)
			age := min(len(r.copy), 1+r.rng.IntN(120)) // up to 6 s
			r.restoreTo = &r.copy[len(r.copy)-age]
			r.copy = r.copy[:len(r.copy)-age+1]
		}
	}
}

// order lets a contender that may do so send an order to an engine.
func (r *electionRun) order(c *contender) {
	if !c.holdsLease() || !c.MayOrder() || r.sim.now.Before(c.ordersFrom[len(c.ordersFrom)-1]) {
		return
	}
	if host, ok := r.hostOf[c.fence]; ok && host != c.host {
		r.t.Fatalf("%s and %s order with fence %d", host, c.host, c.fence)
	}
	r.hostOf[c.fence] = c.host
	if c.opts.EnginesCheckFence {
		if c.fence < r.engineFence {
			c.ReportFenced()
			return
		}
		r.engineFence = c.fence
		r.accepted++
		return
	}
	for host, at := range r.lastOrder {
		if apart := r.sim.now.Sub(at); host != c.host && apart < c.opts.LeaseTime {
			r.t.Fatalf("orders of %s and %s are %s apart", host, c.host, apart)
		}
	}
	r.lastOrder[c.host] = r.sim.now
	r.accepted++
}

// One router orders at a time, and after all faults one does, however often the store is
// restored.
func TestOneHolderOrdersAcrossRestores(t *testing.T) {
	for _, fenced := range []bool{true, false} {
		for seed := range uint64(60) {
			t.Run(fmt.Sprintf("engines check fences: %t, seed %d", fenced, seed), func(t *testing.T) {
				r := &electionRun{
					t: t, rng: rand.New(rand.NewPCG(seed, 1)), sim: newSimulation(fenced, "a", "b", "c"),
					suspendedUntil: make(map[*contender]time.Time), hostOf: make(map[int64]string), lastOrder: make(map[string]time.Time),
				}
				for range 1200 { // a minute
					r.tick(false)
				}
				before := 0
				for i := range 400 {
					if i == 300 {
						before = r.accepted
					}
					r.tick(true)
				}
				if r.accepted == before {
					t.Fatal("nobody orders after the faults")
				}
			})
		}
	}
}

// The store was restored before this router started, and the router has not called it since:
// it was connected to the scheduler. It must not take the era of its first renewal for a
// restore.
func TestHandoverInALaterEra(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(true, "a", "b")
	sim.table.Restore(tabletest.New().Copy())
	first, second := sim.contenders[0], sim.contenders[1]
	second.hasScheduler = true
	sim.run(3 * time.Second)
	is.True(first.holdsLease())
	first.opts.HandOver = func(offer Handover) bool { second.Accept(offer); return true }
	first.Resign()
	sim.run(3 * time.Second)
	is.True(second.holdsLease())
	is.Equal(second.lost, 0)
}
