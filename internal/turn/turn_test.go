package turn

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

var start = time.Unix(1000, 0)

func claims(cs ...Claim) []Claim { return cs }

func order(shares *Shares, cs []Claim) []Claim {
	Sort(start, cs, func(c Claim) Claim { return c }, shares)
	return cs
}

func TestOrder(t *testing.T) {
	is := is.New(t)
	due := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	var none Shares
	got := order(&none, claims(Claim{Rank: 1, Due: due(5)}, Claim{Rank: 0, Due: due(900)}, Claim{Rank: 1, Due: due(1)}))
	is.Equal([]time.Time{got[0].Due, got[1].Due, got[2].Due}, []time.Time{due(900), due(1), due(5)})

	// A workspace with much to do does not go before one that has little.
	got = order(&none, claims(
		Claim{Workspace: "a", Due: due(1), Cost: 10}, Claim{Workspace: "a", Due: due(2), Cost: 10}, Claim{Workspace: "a", Due: due(3), Cost: 10},
		Claim{Workspace: "b", Due: due(4), Cost: 10}))
	is.Equal(got[1].Workspace, "b")
	// Its weight lets it.
	got = order(&none, claims(
		Claim{Workspace: "a", Weight: 3, Due: due(1), Cost: 10}, Claim{Workspace: "b", Due: due(4), Cost: 10}, Claim{Workspace: "b", Due: due(5), Cost: 10},
		Claim{Workspace: "a", Weight: 3, Due: due(2), Cost: 10}, Claim{Workspace: "a", Weight: 3, Due: due(3), Cost: 10}))
	is.Equal([]string{got[2].Workspace, got[3].Workspace, got[4].Workspace}, []string{"a", "a", "b"})
	// What it has used counts, and rank goes before.
	var used Shares
	used.Use(start, Claim{Workspace: "a", Cost: 50})
	got = order(&used, claims(Claim{Workspace: "a", Due: due(1), Cost: 10}, Claim{Workspace: "b", Due: due(4), Cost: 10}, Claim{Rank: -1, Workspace: "a", Due: due(9), Cost: 10}))
	is.Equal([]int{got[0].Rank, got[1].Rank, got[2].Rank}, []int{-1, 0, 0})
	is.Equal(got[1].Workspace, "b")
}

// load is what workspaces ask of a pool of engines that serves perSecond: each request is served
// before its deadline or refused then.
type load struct {
	perSecond func(at time.Duration) float64
	rates     func(at time.Duration) map[string]float64 // requests a second, by workspace
	weights   map[string]float64
}

// play returns the part of the requests of each workspace that is served, and of those of a kind
// with a long objective ("long") and a short one.
func (l load) play(fair bool) (served map[string]float64) {
	const step, length = 5 * time.Millisecond, 30 * time.Second
	type request struct {
		claim    Claim
		deadline time.Time
		long     bool
	}
	rng := rand.New(rand.NewPCG(1, 2))
	asked, done := map[string]float64{}, map[string]float64{}
	count := func(m map[string]float64, r request) {
		m[r.claim.Workspace]++
		if r.long {
			m["long"]++
		} else {
			m["short"]++
		}
	}
	var waiting []request
	var shares Shares
	room := 0.0
	for at := time.Duration(0); at < length; at += step {
		now := start.Add(at)
		for name, rate := range l.rates(at) {
			for n := rate * step.Seconds(); n > 0; n-- {
				if n < 1 && rng.Float64() > n {
					break
				}
				r := request{claim: Claim{Workspace: name, Weight: l.weights[name], Cost: 1}, long: rng.Float64() < 0.4}
				objective := 800 * time.Millisecond
				if r.long {
					objective = 5 * time.Second
				}
				r.claim.Due, r.deadline = now.Add(objective), now.Add(2*objective)
				count(asked, r)
				waiting = append(waiting, r)
			}
		}
		Sort(now, waiting, func(r request) Claim {
			if !fair {
				r.claim.Workspace = ""
			}
			return r.claim
		}, &shares)
		room = min(room+l.perSecond(at)*step.Seconds(), 2)
		kept := waiting[:0]
		for _, r := range waiting {
			switch {
			case now.After(r.deadline):
			case room >= 1:
				room--
				shares.Use(now, r.claim)
				count(done, r)
			default:
				kept = append(kept, r)
			}
		}
		waiting = kept
	}
	served = map[string]float64{}
	for name, n := range asked {
		served[name] = done[name] / math.Max(1, n)
	}
	return served
}

func constant(x float64) func(time.Duration) float64 { return func(time.Duration) float64 { return x } }

// Loads under which there is too little room. What one workspace sends beyond its share must not
// cost the others theirs, and neither long nor short objectives may be starved.
func TestTooLittleRoom(t *testing.T) {
	usual := map[string]float64{"big": 40, "middle": 20, "small": 5}
	times := func(hot string, x float64, from, to time.Duration) func(time.Duration) map[string]float64 {
		return func(at time.Duration) map[string]float64 {
			rates := map[string]float64{}
			for name, rate := range usual {
				rates[name] = rate
				if (name == hot || hot == "") && at >= from && at < to {
					rates[name] *= x
				}
			}
			return rates
		}
	}
	for name, c := range map[string]struct {
		load load
		hot  string
		// others is the least part of their requests that workspaces but the hot one are served.
		others float64
	}{
		"one workspace at six times its usual": {load{constant(80), times("middle", 6, 5*time.Second, 20*time.Second), usual}, "middle", 0.95},
		"the smallest at six times its usual":  {load{constant(70), times("small", 6, 5*time.Second, 20*time.Second), usual}, "small", 0.95},
		"all at twice their usual":             {load{constant(80), times("", 2, 5*time.Second, 25*time.Second), usual}, "", 0.5},
		"a burst while a third of the engines is gone": {load{func(at time.Duration) float64 {
			if at > 8*time.Second && at < 16*time.Second {
				return 60
			}
			return 90
		}, times("big", 3, 5*time.Second, 15*time.Second), usual}, "big", 0.9},
	} {
		t.Run(name, func(t *testing.T) {
			before, after := c.load.play(false), c.load.play(true)
			t.Logf("served by objective alone %v, with turns %v", before, after)
			for w := range usual {
				if w != c.hot && after[w] < c.others {
					t.Errorf("%s is served %.2f of its requests, with %.2f by objective alone", w, after[w], before[w])
				}
			}
			if after["long"] < 0.5*after["short"] || after["short"] < 0.5*after["long"] {
				t.Errorf("served of long objectives %.2f, of short ones %.2f", after["long"], after["short"])
			}
		})
	}
}
