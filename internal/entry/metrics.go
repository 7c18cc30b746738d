package entry

import (
	"errors"
	"expvar"
	"fmt"
	"io"
	"maps"
	"net/http"
	"slices"
	"sort"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/ragwortdoor/ragwortdoor/internal/exchange"
	"github.com/ragwortdoor/ragwortdoor/internal/fleet"
	"github.com/ragwortdoor/ragwortdoor/internal/memory"
	"github.com/ragwortdoor/ragwortdoor/internal/pace"
)

const (
	// histogramMax is the largest recorded value; longer times count as this.
	histogramMax    = 2 * time.Minute
	histogramDigits = 2 // significant decimal digits
)

// Metrics are the counters and histograms of an entry process.
type Metrics struct {
	outcomes *expvar.Map
	// results counts attempts by Result.
	results *expvar.Map
	// skipped counts mismatched responses (to other requests), unidentified those
	// without an id.
	skipped      expvar.Int
	unidentified expvar.Int
	orders       expvar.Int
	inspections  expvar.Int
	listChanges  expvar.Int
	upstreams    expvar.Int
	// sourceReads counts the reads of the platform's lists by list and result.
	sourceReads   *expvar.Map
	configVersion expvar.Int
	// configLeftOut counts the items of configurations that are not valid.
	configLeftOut expvar.Int
	// leavingLearned counts upstreams that said in a response that they leave, pauses the
	// responses that asked for one.
	leavingLearned expvar.Int
	pauses         expvar.Int
	// limitChanges counts the limits that upstreams named, changed or ended.
	limitChanges expvar.Int
	// limitedRequests counts, by result, the requests that waited or were refused for a limit.
	limitedRequests *expvar.Map
	// workspaceRequests counts the requests of workspaces by outcome, workspaceCosts what those
	// cost of its quota that it had room for.
	workspaceRequests, workspaceCosts *expvar.Map
	// engineCrashes counts engines that ended under requests, blockedPrompts the prompt
	// parts that were blocked because of that, both by this router's scheduler.
	engineCrashes  expvar.Int
	blockedPrompts expvar.Int

	// quotas returns how quotas stand on the router that schedules; nil for none.
	quotas func() map[string]pace.QuotaState
	// memory returns what others make the process hold; nil for nothing that is accounted for.
	memory func() memory.Use

	mu         sync.Mutex
	histograms map[string]*hdrhistogram.Histogram // microseconds
}

// NewMetrics returns metrics that are all zero.
func NewMetrics() *Metrics {
	return &Metrics{outcomes: new(expvar.Map).Init(), results: new(expvar.Map).Init(), sourceReads: new(expvar.Map).Init(), limitedRequests: new(expvar.Map).Init(), workspaceRequests: new(expvar.Map).Init(), workspaceCosts: new(expvar.Map).Init(), histograms: make(map[string]*hdrhistogram.Histogram)}
}

func (m *Metrics) request(r *RequestRecord, took time.Duration) {
	m.outcomes.Add(string(r.Outcome), 1)
	m.observe("request_seconds", took)
	if r.Workspace != "" {
		m.workspaceRequests.Add(fmt.Sprintf("workspace=%q,outcome=%q", r.Workspace, string(r.Outcome)), 1)
		m.workspaceCosts.Add(fmt.Sprintf("workspace=%q", r.Workspace), r.QuotaCost)
		m.observe("quota_wait_seconds", r.QuotaWaited)
	}
	if r.Model == "" {
		return
	}
	m.observe("place_wait_seconds", r.Waited)
	if r.FirstEvent > 0 {
		m.observe("first_event_seconds", r.FirstEvent)
	}
}

func (m *Metrics) attempt(a *AttemptRecord) {
	m.results.Add(string(a.Result), 1)
	m.skipped.Add(int64(a.Trace.Skipped))
	if errors.Is(a.Err, exchange.ErrUnidentified) {
		m.unidentified.Add(1)
	}
}

func (m *Metrics) sourceRead(what string, result fleet.ReadResult, took time.Duration) {
	m.sourceReads.Add(fmt.Sprintf("what=%q,result=%q", what, string(result)), 1)
	m.observe("source_read_seconds", took)
}

func (m *Metrics) observe(name string, d time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	h := m.histograms[name]
	if h == nil {
		h = hdrhistogram.New(1, histogramMax.Microseconds(), histogramDigits)
		m.histograms[name] = h
	}
	// The value is within the bounds, so that RecordValue can't fail.
	_ = h.RecordValue(min(max(1, d.Microseconds()), histogramMax.Microseconds()))
}

// ServeHTTP writes the metrics as text, one "name value" per line.
func (m *Metrics) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	for _, vector := range []struct {
		format string // of a label's value, or of all labels, and the counter
		values *expvar.Map
	}{
		{"requests_total{outcome=%q} %s\n", m.outcomes},
		{"sends_total{result=%q} %s\n", m.results},
		{"source_reads_total{%s} %s\n", m.sourceReads},
		{"limited_requests_total{result=%q} %s\n", m.limitedRequests},
		{"workspace_requests_total{%s} %s\n", m.workspaceRequests},
		{"workspace_cost_total{%s} %s\n", m.workspaceCosts},
	} {
		vector.values.Do(func(kv expvar.KeyValue) { fmt.Fprintf(w, vector.format, kv.Key, kv.Value) })
	}
	m.writeQuotas(w)
	m.writeMemory(w)
	for _, counter := range []struct {
		name  string
		value *expvar.Int
	}{
		{"skipped_answers_total", &m.skipped},
		{"unidentified_answers_total", &m.unidentified},
		{"orders_total", &m.orders},
		{"reports_total", &m.inspections},
		{"upstream_changes_total", &m.listChanges},
		{"upstreams", &m.upstreams},
		{"config_version", &m.configVersion},
		{"config_items_left_out_total", &m.configLeftOut},
		{"upstreams_leaving_total", &m.leavingLearned},
		{"upstream_pauses_total", &m.pauses},
		{"upstream_limit_changes_total", &m.limitChanges},
		{"engine_crashes_total", &m.engineCrashes},
		{"blocked_prompts_total", &m.blockedPrompts},
	} {
		fmt.Fprintf(w, "%s %s\n", counter.name, counter.value)
	}
	m.writeHistograms(w)
}

func (m *Metrics) writeQuotas(w io.Writer) {
	if m.quotas == nil {
		return
	}
	states := m.quotas()
	for _, name := range slices.Sorted(maps.Keys(states)) {
		state := states[name]
		fmt.Fprintf(w, "quota_per_second{workspace=%q} %g\n", name, state.PerSecond)
		fmt.Fprintf(w, "quota_left{workspace=%q} %g\n", name, state.Left)
		fmt.Fprintf(w, "quota_dealt{workspace=%q} %g\n", name, state.Dealt)
		fmt.Fprintf(w, "quota_refusals{workspace=%q} %d\n", name, state.Refused)
	}
}

func (m *Metrics) writeMemory(w io.Writer) {
	if m.memory == nil {
		return
	}
	use := m.memory()
	for _, figure := range []struct {
		name  string
		value int64
	}{
		{"held_bytes", use.Bytes},
		{"held_bytes_limit", use.Limits.Bytes},
		{"connections", int64(use.Holders)},
		{"connections_limit", int64(use.Limits.Holders)},
		{"connections_evicted_total", use.Evicted},
		{"holds_refused_total", use.Refused},
	} {
		fmt.Fprintf(w, "%s %d\n", figure.name, figure.value)
	}
}

func (m *Metrics) writeHistograms(w http.ResponseWriter) {
	m.mu.Lock()
	defer m.mu.Unlock()
	names := make([]string, 0, len(m.histograms))
	for name := range m.histograms {
		names = append(names, name)
	}
	sort.Strings(names)
	for _, name := range names {
		h := m.histograms[name]
		for _, q := range []float64{50, 90, 99} {
			fmt.Fprintf(w, "%s{quantile=\"%g\"} %g\n", name, q/100, float64(h.ValueAtQuantile(q))/1e6)
		}
		fmt.Fprintf(w, "%s_count %d\n", name, h.TotalCount())
	}
}
