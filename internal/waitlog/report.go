package waitlog

import (
	"cmp"
	"slices"

	"github.com/HdrHistogram/hdrhistogram-go"

	apiv1 "github.com/ragwortdoor/ragwortdoor/api/ragwortdoor/v1"
)

const (
	// maxWaitMs is the longest wait that a histogram tells apart.
	maxWaitMs       = 3_600_000
	significantFigs = 3
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
	Batches     int         `json:"batches"`
	BatchesRead int         `json:"batches_read"`
	Groups      []LateGroup `json:"groups"`
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

// Summarize groups the late ones of records by main cause.
func Summarize(records []*apiv1.WaitRecord, lateMs uint32) *LateReport {
	report := &LateReport{LateMs: lateMs, Records: len(records)}
	byCause := make(map[Cause][]*apiv1.WaitRecord)
	for _, record := range records {
		if IsLate(record, lateMs) {
			report.Late++
			cause := MainCause(record)
			byCause[cause] = append(byCause[cause], record)
		}
	}
	for cause, group := range byCause {
		report.Groups = append(report.Groups, summarizeGroup(cause, group))
	}
	slices.SortFunc(report.Groups, func(a, b LateGroup) int {
		return cmp.Or(cmp.Compare(b.Count, a.Count), cmp.Compare(a.Cause, b.Cause))
	})
	return report
}

func summarizeGroup(cause Cause, records []*apiv1.WaitRecord) LateGroup {
	slices.SortFunc(records, func(a, b *apiv1.WaitRecord) int {
		return cmp.Or(cmp.Compare(Wait(b), Wait(a)), cmp.Compare(a.GetRequestId(), b.GetRequestId()))
	})
	histogram := hdrhistogram.New(1, maxWaitMs, significantFigs)
	group := LateGroup{Cause: cause, Count: len(records)}
	for i, record := range records {
		// The histogram takes values up to its bound only.
		_ = histogram.RecordValue(min(int64(Wait(record)), maxWaitMs))
		if record.GetOutcome() != apiv1.Outcome_OUTCOME_SERVED {
			group.NotServed++
		}
		if i < slowestKept {
			group.Slowest = append(group.Slowest, record.GetRequestId())
		}
	}
	group.P50Ms = histogram.ValueAtQuantile(50)
	group.P99Ms = histogram.ValueAtQuantile(99)
	group.MaxMs = histogram.Max()
	group.Histogram = buckets(records)
	return group
}

// buckets counts waits in steps that double from a quarter of a second.
func buckets(records []*apiv1.WaitRecord) []Bucket {
	const firstBucketMs = 250
	all := []Bucket{{UpToMs: firstBucketMs}}
	for _, record := range records {
		i := 0
		for int64(Wait(record)) > all[i].UpToMs {
			i++
			if i == len(all) {
				all = append(all, Bucket{UpToMs: 2 * all[i-1].UpToMs})
			}
		}
		all[i].Count++
	}
	for len(all) > 1 && all[0].Count == 0 {
		all = all[1:]
	}
	return all
}
