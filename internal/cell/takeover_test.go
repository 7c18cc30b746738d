package cell

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestSilentHolderIsReplacedWithAHigherFence(t *testing.T) {
	for _, fenced := range []bool{true, false} {
		is := is.New(t)
		sim, first, second := newSimulationWithHolder(t, fenced)
		before := sim.now
		sim.run(8*time.Second, first)
		is.True(second.holdsLease())
		is.True(second.terms[0].Fence > first.terms[0].Fence)
		if !fenced {
			// The orders of two holders are the lease time apart.
			is.True(second.ordersFrom[0].Sub(before) > 3*time.Second)
		}
	}
}

// Where engines don't check fences, the first order of a successor must be the lease
// time after the last one that the previous holder may send, and no later than needed.
func TestUnfencedOrdersAreTheLeaseTimeApart(t *testing.T) {
	for name, backdated := range map[string]bool{"found by its row": false, "known by its heartbeats": true} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			sim, first, second := newSimulationWithHolder(t, false)
			second.hasScheduler = true
			second.opts.SchedulerRenewal = func() (int64, time.Duration) {
				if !backdated {
					return 0, 0
				}
				return first.LeaseVersion(), first.RenewedAgo()
			}
			sim.run(2 * time.Second)
			died := sim.now
			second.hasScheduler = false
			var lastOrder time.Time
			for !second.holdsLease() {
				sim.run(electionTickInterval, first)
				if first.MayOrder() {
					lastOrder = sim.now
				}
			}
			is.True(sim.now.Sub(died) < 3*time.Second) // placements don't wait for the lease time
			is.True(!first.MayOrder())
			apart := second.ordersFrom[0].Sub(lastOrder)
			is.True(apart >= 3*time.Second+engineTimeout)
			is.True(apart < 5*time.Second)
			if backdated {
				is.True(sim.now.Sub(died) < 1700*time.Millisecond)
			}
		})
	}
}

// A holder whose host restarts takes the lease back. It need not wait for the orders of
// other hosts if its previous term was long, and must wait if that term had just begun.
func TestRestartedHolderOrdersAtOnceAfterALongTerm(t *testing.T) {
	for _, tc := range []struct {
		term  time.Duration
		waits bool
	}{{10 * time.Second, false}, {time.Second, true}} {
		is := is.New(t)
		sim, first, _ := newSimulationWithHolder(t, false)
		sim.run(tc.term)
		opts := first.opts
		opts.BootID = "second boot"
		first.Election = NewElection(opts) // the process restarts
		sim.run(700 * time.Millisecond)
		is.True(first.holdsLease())
		is.Equal(first.ordersFrom[1].Sub(sim.now) > 3*time.Second, tc.waits)
	}
}

// The first holder of all has no predecessor whose orders it must wait for.
func TestFirstHolderOrdersAtOnce(t *testing.T) {
	is := is.New(t)
	_, first, _ := newSimulationWithHolder(t, false)
	is.Equal(first.terms[0].OrdersHeldBack, time.Duration(0))
}
