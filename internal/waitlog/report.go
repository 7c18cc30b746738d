package waitlog

import (
	"cmp"
	"slices"
	"sync"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/cespare/xxhash/v2"

	apiv1 "github.com/ragwortdoor/ragwortdoor/api/ragwortdoor/v1"
)

const (
	// maxWaitMs is the longest wait that a histogram tells apart.
	maxWaitMs       = 3_600_000
	significantFigs = 3
	// firstBucketMs is the bound of the first bucket of a group.
	firstBucketMs = 250
	// slowestKept is the number of request ids that a group names.
	slowestKept = 3
)

// LateReport sums up the late requests of a time range.
type LateReport struct {
	SinceUnixMs int64  `json:"since_unix_ms"`
	UntilUnixMs int64  `json:"until_unix_ms"`
	LateMs      uint32 `json:"late_ms"`
	// Records counts the records in the range, late or not.
	Records int `json:"records"`
	Late    int `json:"late"`
	// Batches counts the stored batches in the range; when fewer were read, the
	// counts are those of the share that was.
	Batches     int `json:"batches"`
	BatchesRead int `json:"batches_read"`
	// BatchesUnreadable counts batches that are damaged or have expired.
	BatchesUnreadable int         `json:"batches_unreadable"`
	Groups            []LateGroup `json:"groups"`
}

// LateGroup holds the late requests with one main cause. Times are waits in
// milliseconds.
type LateGroup struct {
	Cause Cause `json:"cause"`
	Count int   `json:"count"`
	// NotServed counts those that were refused or whose outcome is unknown.
	NotServed int      `json:"not_served"`
	P50Ms     int64    `json:"p50_ms"`
	P99Ms     int64    `json:"p99_ms"`
	MaxMs     int64    `json:"max_ms"`
	Histogram []Bucket `json:"histogram"`
	// Slowest names the requests that waited longest.
	Slowest []string `json:"slowest"`
}

// Bucket counts the waits up to UpToMs and above the bucket before.
type Bucket struct {
	UpToMs int64 `json:"up_to_ms"`
	Count  int64 `json:"count"`
}

// summary builds a LateReport from records that come in any order and maybe
// twice. It holds the hash of each record's id but not the records. It is safe
// for concurrent use.
type summary struct {
	keep func(*apiv1.WaitRecord) bool

	mu     sync.Mutex
	report *LateReport
	seen   map[uint64]struct{} // hashes of request ids
	groups map[Cause]*groupSummary
}

func newSummary(lateMs uint32, keep func(*apiv1.WaitRecord) bool) *summary {
	return &summary{
		keep:   keep,
		report: &LateReport{LateMs: lateMs},
		seen:   make(map[uint64]struct{}),
		groups: make(map[Cause]*groupSummary),
	}
}

// add takes records. A batch whose answer was lost is stored again under
// another key, so a record may come twice; it counts once.
func (s *summary) add(records []*apiv1.WaitRecord) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, record := range records {
		id := xxhash.Sum64String(record.GetRequestId())
		if _, twice := s.seen[id]; twice || !s.keep(record) {
			continue
		}
		s.seen[id] = struct{}{}
		s.count(record)
	}
}

func (s *summary) count(record *apiv1.WaitRecord) {
	s.report.Records++
	if !IsLate(record, s.report.LateMs) {
		return
	}
	s.report.Late++
	cause := MainCause(record)
	group := s.groups[cause]
	if group == nil {
		group = newGroupSummary(cause)
		s.groups[cause] = group
	}
	group.count(record)
}

// addUnreadable counts a batch that can't be read.
func (s *summary) addUnreadable() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.report.BatchesUnreadable++
}

// finish returns the report, its largest group first.
func (s *summary) finish() *LateReport {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, group := range s.groups {
		s.report.Groups = append(s.report.Groups, group.finish())
	}
	slices.SortFunc(s.report.Groups, func(a, b LateGroup) int {
		return cmp.Or(cmp.Compare(b.Count, a.Count), cmp.Compare(a.Cause, b.Cause))
	})
	return s.report
}

// groupSummary builds a LateGroup.
type groupSummary struct {
	group   LateGroup
	waits   *hdrhistogram.Histogram
	slowest []slowRequest // longest wait first
}

type slowRequest struct {
	id   string
	wait uint32
}

func newGroupSummary(cause Cause) *groupSummary {
	return &groupSummary{
		group: LateGroup{Cause: cause, Histogram: []Bucket{{UpToMs: firstBucketMs}}},
		waits: hdrhistogram.New(1, maxWaitMs, significantFigs),
	}
}

func (g *groupSummary) count(record *apiv1.WaitRecord) {
	wait := Wait(record)
	g.group.Count++
	if record.GetOutcome() != apiv1.Outcome_OUTCOME_SERVED {
		g.group.NotServed++
	}
	// Longer waits than the histogram tells apart count as its longest.
	_ = g.waits.RecordValue(min(int64(wait), maxWaitMs))
	g.countBucket(int64(wait))
	g.countSlow(slowRequest{record.GetRequestId(), wait})
}

// countBucket counts a wait in steps that double.
func (g *groupSummary) countBucket(wait int64) {
	buckets := g.group.Histogram
	i := 0
	for wait > buckets[i].UpToMs {
		i++
		if i == len(buckets) {
			buckets = append(buckets, Bucket{UpToMs: 2 * buckets[i-1].UpToMs})
		}
	}
	buckets[i].Count++
	g.group.Histogram = buckets
}

// countSlow keeps the requests that waited longest.
func (g *groupSummary) countSlow(r slowRequest) {
	g.slowest = append(g.slowest, r)
	slices.SortFunc(g.slowest, func(a, b slowRequest) int {
		return cmp.Or(cmp.Compare(b.wait, a.wait), cmp.Compare(a.id, b.id))
	})
	g.slowest = g.slowest[:min(len(g.slowest), slowestKept)]
}

func (g *groupSummary) finish() LateGroup {
	g.group.P50Ms = g.waits.ValueAtQuantile(50)
	g.group.P99Ms = g.waits.ValueAtQuantile(99)
	g.group.MaxMs = g.waits.Max()
	for _, r := range g.slowest {
		g.group.Slowest = append(g.group.Slowest, r.id)
	}
	for len(g.group.Histogram) > 1 && g.group.Histogram[0].Count == 0 {
		g.group.Histogram = g.group.Histogram[1:]
	}
	return g.group
}
