package loadtest

import (
	"cmp"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Result is the report of one run.
type Result struct {
	Scenario, Policy string
	// Cold holds the times to the first token of cold starts by class, Warm
	// those of all other generations.
	Cold map[string]*hdrhistogram.Histogram
	Warm *hdrhistogram.Histogram

	// Requests counts all tries, Outcomes the tries by outcome.
	Requests int
	Outcomes map[string]int
	// Refused counts refused first tries, Returned those of them that were sent
	// again after Retry-After, and ReturnedServed those that were then served.
	Refused, Returned, ReturnedServed int

	// IdleSeconds are replica-seconds loaded without a request, LoadedSeconds
	// all replica-seconds.
	IdleSeconds, LoadedSeconds float64
	Loads, AdapterLoads        int
	// DuplicateLoads counts models that were held by more engines than slots
	// had been decided.
	DuplicateLoads     int
	OvercommitAttempts int
	Retries            int
	// Accepted and Ended are the routers' own sums; they are equal once all
	// requests have ended.
	Accepted, Ended int64
	// Reports counts load reports; StaleRequests is the mean difference between
	// the requests in flight that a router believes of a host and the real ones.
	Reports       int
	StaleRequests float64
	// ReportBytes is Reports times the mean size of a report.
	ReportBytes int
	// StoreLoads counts loads from the weight store, PeakStoreLoads the highest
	// number of them at a time.
	StoreLoads, PeakStoreLoads int
	// Cost is ColdWeight*cold-start seconds + IdleWeight*idle replica-seconds.
	Cost float64
}

const (
	maxMicros    = int64(10 * time.Minute / time.Microsecond)
	significant  = 3
	microsPerSec = 1e6
)

func newHistogram() *hdrhistogram.Histogram { return hdrhistogram.New(1, maxMicros, significant) }

// NewResult sorts the answers of a run. cold tells whether a try waited for a
// load.
func NewResult(answers []Answer, cold func(requestID string) bool) *Result {
	r := &Result{
		Cold:     make(map[string]*hdrhistogram.Histogram),
		Warm:     newHistogram(),
		Outcomes: make(map[string]int),
	}
	for _, a := range answers {
		r.Requests++
		r.Outcomes[a.Outcome]++
		r.countRefusal(a)
		if a.Outcome != OutcomeServed || a.Request.Class == "" {
			continue
		}
		_ = r.histogram(a, cold).RecordValue(a.FirstToken.Microseconds())
	}
	return r
}

func (r *Result) countRefusal(a Answer) {
	switch {
	case a.Again:
		r.Returned++
		if a.Outcome == OutcomeServed {
			r.ReturnedServed++
		}
	case a.Outcome == OutcomeNotRun:
		r.Refused++
	}
}

func (r *Result) histogram(a Answer, cold func(string) bool) *hdrhistogram.Histogram {
	if !cold(a.RequestID) {
		return r.Warm
	}
	if r.Cold[a.Request.Class] == nil {
		r.Cold[a.Request.Class] = newHistogram()
	}
	return r.Cold[a.Request.Class]
}

// AllCold holds the cold starts of all classes.
func (r *Result) AllCold() *hdrhistogram.Histogram {
	all := newHistogram()
	for _, h := range r.Cold {
		all.Merge(h)
	}
	return all
}

// Weigh sets the cost under a deployment's weights.
func (r *Result) Weigh(coldStart, idle float64) {
	all := r.AllCold()
	seconds := all.Mean() * float64(all.TotalCount()) / microsPerSec
	r.Cost = coldStart*seconds + idle*r.IdleSeconds
}

// quantiles formats p50/p95/p99 in milliseconds and the count.
func quantiles(h *hdrhistogram.Histogram) string {
	if h == nil || h.TotalCount() == 0 {
		return "-"
	}
	ms := func(q float64) int64 { return h.ValueAtQuantile(q) / 1000 }
	return fmt.Sprintf("%d/%d/%d (%d)", ms(50), ms(95), ms(99), h.TotalCount())
}

var header = []string{
	"scenario", "policy",
	"cold urgent", "cold normal", "cold routine", "warm",
	"refused", "back served", "idle s", "loaded s", "loads", "adapters",
	"dup", "over", "served/not-run/unknown", "sum", "retries", "reports", "report KB", "stale", "store loads", "store peak", "cost",
}

func (r *Result) row() []string {
	return []string{
		r.Scenario, r.Policy,
		quantiles(r.Cold[classUrgent]), quantiles(r.Cold[classNormal]), quantiles(r.Cold[classRoutine]), quantiles(r.Warm),
		fmt.Sprint(r.Refused), fmt.Sprintf("%d/%d", r.ReturnedServed, r.Returned),
		fmt.Sprintf("%.1f", r.IdleSeconds), fmt.Sprintf("%.1f", r.LoadedSeconds),
		fmt.Sprint(r.Loads), fmt.Sprint(r.AdapterLoads),
		fmt.Sprint(r.DuplicateLoads), fmt.Sprint(r.OvercommitAttempts),
		fmt.Sprintf("%d/%d/%d", r.Outcomes[OutcomeServed], r.Outcomes[OutcomeNotRun], r.Outcomes[OutcomeUnknown]+r.Outcomes[OutcomeNone]),
		fmt.Sprintf("%d=%d", r.Accepted, r.Ended), fmt.Sprint(r.Retries),
		fmt.Sprint(r.Reports), fmt.Sprint(r.ReportBytes / 1000), fmt.Sprintf("%.2f", r.StaleRequests),
		fmt.Sprint(r.StoreLoads), fmt.Sprint(r.PeakStoreLoads), fmt.Sprintf("%.1f", r.Cost),
	}
}

// Medians keeps, of the runs of each scenario and policy, the one with the
// median cost, and merges the histograms and counters of faults of all of them
// into it. The order of first appearance is kept.
func Medians(results []*Result) []*Result {
	type key struct{ scenario, policy string }
	runs := make(map[key][]*Result)
	var order []key
	for _, r := range results {
		k := key{r.Scenario, r.Policy}
		if runs[k] == nil {
			order = append(order, k)
		}
		runs[k] = append(runs[k], r)
	}
	medians := make([]*Result, 0, len(order))
	for _, k := range order {
		medians = append(medians, median(runs[k]))
	}
	return medians
}

func median(runs []*Result) *Result {
	slices.SortFunc(runs, func(a, b *Result) int { return cmp.Compare(a.Cost, b.Cost) })
	chosen := runs[(len(runs)-1)/2]
	for _, other := range runs {
		if other != chosen {
			chosen.merge(other)
		}
	}
	return chosen
}

// merge adds the times and the faults of another run; costs and loads stay
// those of one run.
func (r *Result) merge(other *Result) {
	r.Warm.Merge(other.Warm)
	for class, h := range other.Cold {
		if r.Cold[class] == nil {
			r.Cold[class] = newHistogram()
		}
		r.Cold[class].Merge(h)
	}
	for outcome, n := range other.Outcomes {
		r.Outcomes[outcome] += n
	}
	r.Requests += other.Requests
	r.Refused += other.Refused
	r.Returned += other.Returned
	r.ReturnedServed += other.ReturnedServed
	r.DuplicateLoads += other.DuplicateLoads
	r.OvercommitAttempts += other.OvercommitAttempts
	r.Accepted += other.Accepted
	r.Ended += other.Ended
	r.Retries += other.Retries
}

// WriteTable writes results as a Markdown table. Times to the first token are
// p50/p95/p99 in milliseconds with the number of samples.
func WriteTable(w io.Writer, results []*Result) error {
	rows := make([][]string, 0, len(results))
	for _, r := range results {
		rows = append(rows, r.row())
	}
	return writeMarkdown(w, header, rows)
}

func writeMarkdown(w io.Writer, head []string, rows [][]string) error {
	rule := strings.Repeat("| --- ", len(head)) + "|"
	lines := []string{markdownRow(head), rule}
	for _, row := range rows {
		lines = append(lines, markdownRow(row))
	}
	_, err := fmt.Fprintln(w, strings.Join(lines, "\n"))
	return err
}

func markdownRow(cells []string) string { return "| " + strings.Join(cells, " | ") + " |" }
