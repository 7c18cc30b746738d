package keepalive

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

// trace holds the idle gaps of each model of a synthetic deployment.
type trace map[string][]time.Duration

// newTrace makes models of three habits: bursts of requests seconds apart with
// hours between, a steady one every few minutes, and a rare one.
func newTrace(models, gaps int) trace {
	random := rand.New(rand.NewPCG(7, 7))
	all := make(trace)
	for i := range models {
		name := string(rune('a'+i%26)) + string(rune('a'+i/26))
		for range gaps {
			all[name] = append(all[name], drawGap(random, i%3))
		}
	}
	return all
}

func drawGap(random *rand.Rand, habit int) time.Duration {
	mean := [3]float64{8, 200, 7200}[habit] // seconds
	if habit == 0 && random.IntN(10) == 0 {
		mean = 10_000
	}
	return time.Duration(mean * math.Max(0.01, random.ExpFloat64()) * float64(time.Second))
}

// totals is what a policy cost over a trace.
type totals struct {
	coldStarts int
	coldTime   time.Duration
	idle       time.Duration
}

func (tr trace) run(p Policy, cost Cost) totals {
	var sum totals
	for model, gaps := range tr {
		for _, gap := range gaps {
			keep := p.KeepAlive(model, cost)
			sum.idle += min(gap, keep)
			if gap > keep {
				sum.coldStarts++
				sum.coldTime += cost.Load
			}
			p.Observe(model, gap)
		}
	}
	return sum
}

func (s totals) cost(c Cost) float64 {
	return c.ColdStart*s.coldTime.Seconds() + c.Idle*s.idle.Seconds()
}

// TestLearnedPolicyAgainstBaselines prints the table of docs/MEASUREMENTS.md.
func TestLearnedPolicyAgainstBaselines(t *testing.T) {
	for _, deployment := range []struct {
		name string
		cost Cost
	}{
		{"cold start weighs more", Cost{ColdStart: 30, Idle: 1, Load: 12 * time.Second}},
		{"idle time weighs more", Cost{ColdStart: 3, Idle: 1, Load: 12 * time.Second}},
	} {
		t.Run(deployment.name, func(t *testing.T) {
			is := is.New(t)
			tr := newTrace(45, 400)
			policies := []struct {
				name   string
				policy Policy
			}{
				{"learned", NewLearned()},
				{"fixed 10 s", Fixed(10 * time.Second)},
				{"fixed 1 min", Fixed(time.Minute)},
				{"fixed 5 min", Fixed(5 * time.Minute)},
				{"fixed 30 min", Fixed(30 * time.Minute)},
				{"at once", AtOnce},
			}
			learned := 0.0
			for _, p := range policies {
				sum := tr.run(p.policy, deployment.cost)
				cost := sum.cost(deployment.cost)
				t.Logf("%-12s  cold starts %5d of %d  idle hours %7.1f  cost %9.0f",
					p.name, sum.coldStarts, 45*400, sum.idle.Hours(), cost)
				if p.name == "learned" {
					learned = cost
				}
				is.True(learned <= cost)
			}
		})
	}
}

func TestKeepAliveFollowsTheWeights(t *testing.T) {
	is := is.New(t)
	l := NewLearned()
	for range 50 {
		l.Observe("m", time.Minute)
	}
	cold := Cost{ColdStart: 100, Idle: 1, Load: 10 * time.Second}
	is.True(l.KeepAlive("m", cold) >= time.Minute)
	idle := Cost{ColdStart: 1, Idle: 1, Load: 10 * time.Second}
	is.True(l.KeepAlive("m", idle) < 10*time.Second)
	is.True(l.NextUse("m", 0) > 30*time.Second)
	is.True(l.NextUse("m", 0) < 2*time.Minute)
}

func BenchmarkKeepAlive(b *testing.B) {
	l := NewLearned()
	for range 100 {
		l.Observe("m", time.Minute)
	}
	cost := Cost{ColdStart: 1, Idle: 1, Load: time.Second}
	for b.Loop() {
		l.KeepAlive("m", cost)
	}
}
