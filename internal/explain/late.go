package explain

import (
	"cmp"
	"slices"
	"time"
)

// maxSlowestIDs limits Group.Slowest.
const maxSlowestIDs = 3

// Filter selects requests.
type Filter struct {
	Model string // empty for all
	// Above is the time to the first byte beyond which a served request is late.
	Above time.Duration
	// Since excludes requests that ended before; zero excludes none.
	Since time.Time
}

// Group summarises the late requests of one cause. P50, P99 and Max are of the time
// to the first byte, or of the total time of requests without one.
type Group struct {
	Cause string        `json:"cause"`
	Count int           `json:"count"`
	P50   time.Duration `json:"p50_ns"`
	P99   time.Duration `json:"p99_ns"`
	Max   time.Duration `json:"max_ns"`
	// Slowest holds the ids of the slowest requests, the slowest first.
	Slowest []string `json:"slowest"`
}

// Report groups late requests by cause.
type Report struct {
	Requests int `json:"requests"`
	Late     int `json:"late"`
	// Groups are ordered by descending count, then by cause.
	Groups []Group `json:"groups"`
}

type lateRequest struct {
	id      string
	latency time.Duration
}

// Late reports on the requests of the filter that were late or not served.
func Late(lines []Line, filter Filter) Report {
	var report Report
	byCause := make(map[string][]lateRequest)
	for _, l := range lines {
		if l.Kind != kindRequest || l.At.Before(filter.Since) || filter.Model != "" && l.Fields["model"] != filter.Model {
			continue
		}
		report.Requests++
		latency := l.milliseconds("first_byte_ms")
		if latency == 0 {
			latency = l.milliseconds("took_ms")
		}
		if l.Fields["outcome"] == outcomeServed && latency <= filter.Above {
			continue
		}
		report.Late++
		byCause[cause(l)] = append(byCause[cause(l)], lateRequest{id: l.Fields["id"], latency: latency})
	}
	for name, requests := range byCause {
		report.Groups = append(report.Groups, group(name, requests))
	}
	slices.SortFunc(report.Groups, func(a, b Group) int { return cmp.Or(cmp.Compare(b.Count, a.Count), cmp.Compare(a.Cause, b.Cause)) })
	return report
}

func group(name string, requests []lateRequest) Group {
	slices.SortFunc(requests, func(a, b lateRequest) int { return cmp.Or(cmp.Compare(b.latency, a.latency), cmp.Compare(a.id, b.id)) })
	g := Group{Cause: name, Count: len(requests), Max: requests[0].latency}
	g.P50 = requests[len(requests)/2].latency
	g.P99 = requests[len(requests)/100].latency
	for _, r := range requests[:min(maxSlowestIDs, len(requests))] {
		g.Slowest = append(g.Slowest, r.id)
	}
	return g
}
