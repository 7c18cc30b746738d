package loadtest

import (
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/ragwortdoor/ragwortdoor/internal/keepalive"
	"github.com/ragwortdoor/ragwortdoor/internal/sample"
)

const (
	day = 24 * time.Hour
	// busiestPerDay is the number of requests of the most popular model.
	busiestPerDay = 2000.0
	runTime       = 3 * time.Second
	loadStep      = 4 * time.Second // load time of the smallest model
	loadSteps     = 4               // sizes of models

	sessionRequests = 6
	sessionGap      = 20 * time.Second
	batchPeriod     = 30 * time.Minute
	batchGap        = 2 * time.Second
)

// modelDay is one model's day: its load time and arrivals in order.
type modelDay struct {
	name     string
	load     time.Duration
	arrivals []time.Duration
}

// days makes the days of a deployment's models. A third of them is asked at
// random, a third in sessions of a few requests, a third in periodic batches.
func days(shape sample.Shape, seed uint64) []modelDay {
	r := rand.New(rand.NewPCG(seed, 1))
	var all []modelDay
	for i, m := range shape.Set().GetModels() {
		d := modelDay{name: m.GetName(), load: loadStep * time.Duration(1+i%loadSteps)}
		perDay := max(4, busiestPerDay*zipf(i))
		switch i % 3 {
		case 0:
			d.arrivals = randomArrivals(r, perDay, 1, 0)
		case 1:
			d.arrivals = randomArrivals(r, perDay/sessionRequests, sessionRequests, sessionGap)
		default:
			d.arrivals = batches(r, perDay)
		}
		all = append(all, d)
	}
	return all
}

// randomArrivals makes sessions at random times, each with a number of requests
// at random gaps.
func randomArrivals(r *rand.Rand, sessions float64, requests int, gap time.Duration) []time.Duration {
	var out []time.Duration
	for at := time.Duration(0); at < day; {
		at += time.Duration(r.ExpFloat64() * float64(day) / sessions)
		moment := at
		for range requests {
			out = append(out, moment)
			moment += time.Duration(r.ExpFloat64() * float64(gap))
		}
	}
	return sorted(out)
}

// batches makes a batch of requests in each period, at least one a batch.
func batches(r *rand.Rand, perDay float64) []time.Duration {
	count := int(math.Ceil(perDay / float64(day/batchPeriod)))
	offset := time.Duration(r.Int64N(int64(batchPeriod)))
	var out []time.Duration
	for at := offset; at < day; at += batchPeriod {
		for i := range count {
			out = append(out, at+time.Duration(i)*batchGap)
		}
	}
	return sorted(out)
}

func sorted(times []time.Duration) []time.Duration {
	slices.Sort(times)
	return times
}

// DayResult is a day under one keep-alive policy.
type DayResult struct {
	Policy    string
	Requests  int
	Loads     int
	IdleHours float64
	// Waits holds the times that requests waited for loads, all requests
	// included; Delay is their sum.
	Waits *hdrhistogram.Histogram
	Delay time.Duration
	// Cost is ColdStart*seconds of delay + Idle*idle replica-seconds.
	Cost float64
}

// SimulateDay runs a deployment's day under a policy.
func SimulateDay(shape sample.Shape, seed uint64, name string, policy keepalive.Policy) *DayResult {
	result := &DayResult{Policy: name, Waits: newHistogram()}
	for _, d := range days(shape, seed) {
		cost := keepalive.Cost{ColdStart: shape.ColdStartWeight, Idle: shape.IdleWeight, Load: d.load}
		result.add(d, cost, policy)
	}
	result.Cost = shape.ColdStartWeight*result.Delay.Seconds() + shape.IdleWeight*result.IdleHours*time.Hour.Seconds()
	return result
}

// add runs the day of one model with one replica.
func (r *DayResult) add(d modelDay, cost keepalive.Cost, policy keepalive.Policy) {
	loaded := false
	var readyAt, busyUntil time.Duration // of the replica
	for _, at := range d.arrivals {
		r.Requests++
		if !loaded || at > busyUntil {
			if loaded {
				gap := at - busyUntil
				keep := policy.KeepAlive(d.name, cost)
				policy.Observe(d.name, gap)
				r.IdleHours += min(gap, keep).Hours()
				loaded = gap <= keep
			}
			if !loaded {
				r.Loads++
				loaded = true
				readyAt = at + d.load
			}
		}
		wait := max(0, readyAt-at)
		_ = r.Waits.RecordValue(max(1, wait.Microseconds()))
		r.Delay += wait
		busyUntil = max(busyUntil, at+wait+runTime)
	}
}

// WriteDays simulates a day under the learned policy and its baselines and
// writes a table.
func WriteDays(w io.Writer, shape sample.Shape, seed uint64) error {
	head := []string{"policy", "requests", "loads", "wait ms p50/p95/p99", "delay s", "idle hours", "cost"}
	var rows [][]string
	for _, p := range dayPolicies() {
		r := SimulateDay(shape, seed, p.name, p.policy)
		rows = append(rows, []string{
			r.Policy, fmt.Sprint(r.Requests), fmt.Sprint(r.Loads), quantiles(r.Waits),
			fmt.Sprintf("%.0f", r.Delay.Seconds()), fmt.Sprintf("%.1f", r.IdleHours), fmt.Sprintf("%.0f", r.Cost),
		})
	}
	return writeMarkdown(w, head, rows)
}

type namedPolicy struct {
	name   string
	policy keepalive.Policy
}

func dayPolicies() []namedPolicy {
	all := []namedPolicy{
		{"learned", keepalive.NewLearned()},
		{"break-even", keepalive.BreakEven{}},
	}
	for _, gaps := range []int{1, 2, 3, 5, 10} {
		all = append(all, namedPolicy{fmt.Sprintf("learned, break-even for %d gaps", gaps), keepalive.NewLearnedAfter(gaps)})
	}
	for _, keep := range []time.Duration{0, time.Minute, 5 * time.Minute, 30 * time.Minute} {
		all = append(all, namedPolicy{fmt.Sprintf("fixed %v", keep), keepalive.Fixed(keep)})
	}
	return all
}
