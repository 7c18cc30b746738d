package loadtest

import (
	"fmt"
	"io"
	"math/rand/v2"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/ragwortdoor/ragwortdoor/internal/adapterload"
	"github.com/ragwortdoor/ragwortdoor/internal/sample"
)

const (
	adapterStep = 250 * time.Microsecond // of simulated time
	// adapterFullSpeed is the number of adapter loads that run at full speed.
	adapterFullSpeed = 30
	adapterBase      = 5 * time.Millisecond
	adapterSpread    = 10 * time.Millisecond
	adapterLimit     = 20 * time.Second
)

// adapterLimiter decides when a host may start an adapter load.
type adapterLimiter interface {
	allow(now time.Time, host int) bool
	start(host int)
	finish(host int, began, now time.Time)
}

// adaptive is a window of each host's own.
type adaptive []*adapterload.Controller

func (a adaptive) allow(now time.Time, host int) bool    { return a[host].Allow(now) }
func (a adaptive) start(host int)                        { a[host].Start() }
func (a adaptive) finish(host int, began, now time.Time) { a[host].Finish(began, now) }

// staticShare gives each host the same share of the limit.
type staticShare struct {
	share    int
	inFlight []int
}

func (s *staticShare) allow(_ time.Time, host int) bool { return s.inFlight[host] < s.share }
func (s *staticShare) start(host int)                   { s.inFlight[host]++ }
func (s *staticShare) finish(host int, _, _ time.Time)  { s.inFlight[host]-- }

// allocator grants up to the limit over all hosts; its round trip is part of each
// load.
type allocator struct{ limit, inFlight int }

func (k *allocator) allow(time.Time, int) bool        { return k.inFlight < k.limit }
func (k *allocator) start(int)                        { k.inFlight++ }
func (k *allocator) finish(int, time.Time, time.Time) { k.inFlight-- }

// adapterJob is one adapter load.
type adapterJob struct {
	host    int
	arrived time.Time
	began   time.Time
	left    time.Duration // at full speed
}

// adapterCase is a pattern of arrivals.
type adapterCase struct {
	name string
	// arrivals returns the jobs in order of arrival.
	arrivals func(r *rand.Rand, hosts int, start time.Time) []adapterJob
}

func adapterCases() []adapterCase {
	return []adapterCase{
		{"20 at each host", func(r *rand.Rand, hosts int, start time.Time) []adapterJob {
			return adapterJobs(r, 20*hosts, start, 0, func(i int) int { return i % hosts })
		}},
		{"100 at one host", func(r *rand.Rand, _ int, start time.Time) []adapterJob {
			return adapterJobs(r, 100, start, 0, func(int) int { return 0 })
		}},
		{"1500/s for 2 s", func(r *rand.Rand, hosts int, start time.Time) []adapterJob {
			return adapterJobs(r, 3000, start, time.Second/1500, func(int) int { return r.IntN(hosts) })
		}},
		{"20/s for 10 s", func(r *rand.Rand, hosts int, start time.Time) []adapterJob {
			return adapterJobs(r, 200, start, time.Second/20, func(int) int { return r.IntN(hosts) })
		}},
	}
}

func adapterJobs(r *rand.Rand, n int, at time.Time, gap time.Duration, host func(i int) int) []adapterJob {
	jobs := make([]adapterJob, n)
	for i := range jobs {
		at = at.Add(time.Duration(r.ExpFloat64() * float64(gap)))
		jobs[i] = adapterJob{host: host(i), arrived: at, left: adapterBase + time.Duration(r.Int64N(int64(adapterSpread)))}
	}
	return jobs
}

// adapterResult is one pattern under one policy.
type adapterResult struct {
	waits *hdrhistogram.Histogram // arrival to loaded
	peak  int
	end   time.Duration
}

// simulateAdapters runs jobs against storage that slows beyond adapterFullSpeed
// loads in flight; extra is added to each load.
func simulateAdapters(jobs []adapterJob, start time.Time, limit adapterLimiter, extra time.Duration) adapterResult {
	result := adapterResult{waits: newHistogram()}
	var waiting, running []adapterJob
	for now := start; now.Sub(start) < adapterLimit; now = now.Add(adapterStep) {
		for len(jobs) > 0 && !jobs[0].arrived.After(now) {
			waiting = append(waiting, jobs[0])
			jobs = jobs[1:]
		}
		waiting, running = startAllowed(now, waiting, running, limit, extra)
		result.peak = max(result.peak, len(running))
		running = result.progress(now, running, limit)
		if len(jobs)+len(waiting)+len(running) == 0 {
			result.end = now.Sub(start)
			return result
		}
	}
	result.end = adapterLimit
	return result
}

func startAllowed(now time.Time, waiting, running []adapterJob, limit adapterLimiter, extra time.Duration) (still, started []adapterJob) {
	for _, job := range waiting {
		if !limit.allow(now, job.host) {
			still = append(still, job)
			continue
		}
		limit.start(job.host)
		job.began = now
		job.left += extra
		running = append(running, job)
	}
	return still, running
}

// progress advances all running jobs by one step.
func (r *adapterResult) progress(now time.Time, running []adapterJob, limit adapterLimiter) []adapterJob {
	slowdown := max(1, float64(len(running))/adapterFullSpeed)
	done := time.Duration(float64(adapterStep) / slowdown)
	var left []adapterJob
	for _, job := range running {
		job.left -= done
		if job.left > 0 {
			left = append(left, job)
			continue
		}
		end := now.Add(adapterStep)
		limit.finish(job.host, job.began, end)
		_ = r.waits.RecordValue(end.Sub(job.arrived).Microseconds())
	}
	return left
}

// WriteAdapters compares the limits of adapter loads and writes a table.
func WriteAdapters(w io.Writer, shape sample.Shape, seed uint64) error {
	start := time.Unix(0, 0)
	head := []string{"pattern", "policy", "wait ms p50/p95/p99", "mean ms", "peak in flight", "all loaded after ms"}
	var rows [][]string
	for _, c := range adapterCases() {
		for _, p := range adapterPolicies(shape.Engines) {
			jobs := c.arrivals(rand.New(rand.NewPCG(seed, 2)), shape.Engines, start)
			r := simulateAdapters(jobs, start, p.limit, p.extra)
			rows = append(rows, []string{
				c.name, p.name, quantiles(r.waits), fmt.Sprintf("%.1f", r.waits.Mean()/1000),
				fmt.Sprint(r.peak), fmt.Sprint(r.end.Milliseconds()),
			})
		}
	}
	return writeMarkdown(w, head, rows)
}

type adapterPolicy struct {
	name  string
	limit adapterLimiter
	extra time.Duration
}

// allocatorRoundTrip is the time of asking an allocator in another failure domain.
const allocatorRoundTrip = 2 * time.Millisecond

func adapterPolicies(hosts int) []adapterPolicy {
	return []adapterPolicy{
		{"adaptive window, new hosts", newWindows(hosts), 0},
		{"adaptive window, hosts in use", usedWindows(hosts), 0},
		{"static share", &staticShare{share: max(1, adapterFullSpeed/hosts), inFlight: make([]int, hosts)}, 0},
		{"allocator, 2 ms round trip", &allocator{limit: adapterFullSpeed}, allocatorRoundTrip},
		{"no limit", &allocator{limit: 1 << 20}, 0},
	}
}

func newWindows(hosts int) adaptive {
	windows := make(adaptive, hosts)
	for i := range windows {
		windows[i] = adapterload.New()
	}
	return windows
}

// usedLoads is the number of loads that hosts in use have had, one at a time.
const usedLoads = 200

func usedWindows(hosts int) adaptive {
	windows := newWindows(hosts)
	r := rand.New(rand.NewPCG(1, 3))
	for _, w := range windows {
		now := time.Unix(-3600, 0)
		for range usedLoads {
			began := now
			now = now.Add(adapterBase + time.Duration(r.Int64N(int64(adapterSpread))))
			w.Start()
			w.Finish(began, now)
			now = now.Add(time.Second)
		}
	}
	return windows
}
