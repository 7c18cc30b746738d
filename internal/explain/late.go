package explain

import (
	"cmp"
	"slices"
	"time"
)

// slowestListed is the number of requests that a group names.
const slowestListed = 3

// Filter chooses requests.
type Filter struct {
	Model string // empty for all
	// Above is the time to the first byte from which a request is late.
	Above time.Duration
	// Since leaves out what ended before.
	Since time.Time
}

// Group are the late requests of one cause.
type Group struct {
	Cause string        `json:"cause"`
	Count int           `json:"count"`
	P50   time.Duration `json:"p50_ns"`
	P99   time.Duration `json:"p99_ns"`
	Max   time.Duration `json:"max_ns"`
	// Slowest are ids, the slowest first.
	Slowest []string `json:"slowest"`
}

// Report groups late requests by what they waited for.
type Report struct {
	Requests int `json:"requests"`
	Late     int `json:"late"`
	// Groups are ordered by their count.
	Groups []Group `json:"groups"`
}

type lateRequest struct {
	id   string
	wait time.Duration
}

// Late groups the requests that were late or not served.
func Late(lines []Line, filter Filter) Report {
	var report Report
	byCause := make(map[string][]lateRequest)
	for _, l := range lines {
		if l.Kind != kindRequest || l.At.Before(filter.Since) || filter.Model != "" && l.Fields["model"] != filter.Model {
			continue
		}
		report.Requests++
		wait := l.milliseconds("first_byte_ms")
		if wait == 0 {
			wait = l.milliseconds("took_ms")
		}
		if l.Fields["outcome"] == outcomeServed && wait <= filter.Above {
			continue
		}
		report.Late++
		byCause[cause(l)] = append(byCause[cause(l)], lateRequest{id: l.Fields["id"], wait: wait})
	}
	for name, requests := range byCause {
		report.Groups = append(report.Groups, group(name, requests))
	}
	slices.SortFunc(report.Groups, func(a, b Group) int { return cmp.Or(cmp.Compare(b.Count, a.Count), cmp.Compare(a.Cause, b.Cause)) })
	return report
}

func group(name string, requests []lateRequest) Group {
	slices.SortFunc(requests, func(a, b lateRequest) int { return cmp.Or(cmp.Compare(b.wait, a.wait), cmp.Compare(a.id, b.id)) })
	g := Group{Cause: name, Count: len(requests), Max: requests[0].wait}
	g.P50 = requests[len(requests)/2].wait
	g.P99 = requests[len(requests)/100].wait
	for _, r := range requests[:min(slowestListed, len(requests))] {
		g.Slowest = append(g.Slowest, r.id)
	}
	return g
}
