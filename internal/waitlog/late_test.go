package waitlog

import (
	"context"
	"errors"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	apiv1 "github.com/ragwortdoor/ragwortdoor/api/ragwortdoor/v1"
)

func TestTimeline(t *testing.T) {
	is := is.New(t)
	r := served(3, 15_400)
	r.Adapter, r.DeadlineMs, r.TotalMs, r.ColdStart, r.Host, r.Attempts = "depot-7", 60_000, 18_250, true, "lm-03", 2
	r.Phases = []*apiv1.Phase{
		phase(apiv1.PhaseKind_PHASE_KIND_STREAM, 15_400, 2850, ""),
		phase(apiv1.PhaseKind_PHASE_KIND_QUEUE, 0, 200, "no replica is ready"),
		phase(apiv1.PhaseKind_PHASE_KIND_PERMIT, 200, 3100, "from remote storage behind 4 loads"),
		phase(apiv1.PhaseKind_PHASE_KIND_LOAD, 3300, 12_000, "from remote storage behind 4 loads"),
		phase(apiv1.PhaseKind_PHASE_KIND_ENGINE, 15_300, 100, "engine queue and prompt"),
	}
	is.Equal(strings.Join(Timeline(r), "\n"), strings.TrimSpace(`
r.1.h9kjk.b-3 for manifest-reader:depot-7, class normal, arrived 2025-02-19 21:20:00.000 UTC, deadline 60.0 s
   +0.000 s  waited 200 ms in the router's queue (no replica is ready), host lm-03
   +0.200 s  waited 3.1 s for the weight store behind 4 loads, host lm-03
   +3.300 s  waited 12.0 s for the model to load from remote storage behind 4 loads, host lm-03
  +15.300 s  waited 100 ms for the engine (engine queue and prompt), host lm-03
  +15.400 s  first part of the answer after a cold start
  +15.400 s  answered for 2.9 s, host lm-03
  +18.250 s  served by host lm-03 in 2 tries
totals: 18.2 s in all, model load 12.0 s, weight store permit 3.1 s, token stream 2.9 s, router queue 200 ms, engine queue 100 ms`))

	refused := &apiv1.WaitRecord{RequestId: "r.1.x", Target: "services/app", Outcome: apiv1.Outcome_OUTCOME_NOT_RUN, Error: "deadline can't be met", RetryAfterMs: 4000}
	is.Equal(Timeline(refused)[1], "   +0.000 s  refused, not run: deadline can't be met (told to try again after 4.0 s)")
	unknown := &apiv1.WaitRecord{Outcome: apiv1.Outcome_OUTCOME_UNKNOWN}
	is.Equal(Timeline(unknown)[1], "   +0.000 s  failed, outcome unknown")
}

func TestMainCause(t *testing.T) {
	load := phase(apiv1.PhaseKind_PHASE_KIND_LOAD, 0, 500, "")
	queue := phase(apiv1.PhaseKind_PHASE_KIND_QUEUE, 0, 300, "")
	stream := phase(apiv1.PhaseKind_PHASE_KIND_STREAM, 0, 9000, "")
	for _, test := range []struct {
		name    string
		outcome apiv1.Outcome
		phases  []*apiv1.Phase
		want    Cause
	}{
		{"longest", apiv1.Outcome_OUTCOME_SERVED, []*apiv1.Phase{queue, load}, CauseLoad},
		{"sum of a kind", apiv1.Outcome_OUTCOME_SERVED, []*apiv1.Phase{queue, load, queue}, CauseQueue},
		{"stream after the first token", apiv1.Outcome_OUTCOME_SERVED, []*apiv1.Phase{stream, queue}, CauseQueue},
		{"stream that was cut", apiv1.Outcome_OUTCOME_UNKNOWN, []*apiv1.Phase{stream, queue}, CauseStream},
		{"refused at once", apiv1.Outcome_OUTCOME_NOT_RUN, nil, CauseRefused},
		{"nothing", apiv1.Outcome_OUTCOME_SERVED, nil, CauseNone},
	} {
		t.Run(test.name, func(t *testing.T) {
			is.New(t).Equal(MainCause(&apiv1.WaitRecord{Outcome: test.outcome, Phases: test.phases}), test.want)
		})
	}
}

// storeRecords stores records through a writer, each in a batch of its own.
func storeRecords(t *testing.T, objects *fakeObjects, records []*apiv1.WaitRecord) {
	t.Helper()
	w := newTestWriter(objects, 10)
	for _, r := range records {
		w.Record(r)
		if err := w.Flush(context.Background()); err != nil {
			t.Fatal(err)
		}
	}
}

func TestLateGroupsByCause(t *testing.T) {
	is := is.New(t)
	objects := newFakeObjects()
	var records []*apiv1.WaitRecord
	for n := range 40 {
		r := served(n, uint32(1000+n*100)) // n = 0 is not late
		kind := apiv1.PhaseKind_PHASE_KIND_LOAD
		if n >= 30 {
			kind, r.PriorityClass, r.Target = apiv1.PhaseKind_PHASE_KIND_PERMIT, "urgent", "pickup-summary"
		}
		r.Phases = []*apiv1.Phase{phase(kind, 0, r.GetFirstTokenMs(), "")}
		records = append(records, r)
	}
	refused := served(50, 0)
	refused.Outcome, refused.FirstTokenMs, refused.TotalMs = apiv1.Outcome_OUTCOME_NOT_RUN, 0, 3
	storeRecords(t, objects, append(records, refused))

	since, until := time.UnixMilli(baseMinute*60_000), time.UnixMilli((baseMinute+3)*60_000)
	reader := NewReader(objects)
	report, err := reader.Late(context.Background(), since, Filter{Until: until})
	is.NoErr(err)
	is.Equal(report.Records, 41)
	is.Equal(report.Late, 40)
	is.Equal(len(report.Groups), 3)
	load := report.Groups[0]
	is.Equal(load.Cause, CauseLoad)
	is.Equal(load.Count, 29)
	is.True(load.P50Ms >= 2490 && load.P50Ms <= 2510)
	is.True(load.P99Ms >= 3890 && load.MaxMs >= 3900)
	is.Equal(load.Histogram, []Bucket{{UpToMs: 2000, Count: 10}, {UpToMs: 4000, Count: 19}})
	is.Equal(load.Slowest[0], records[29].GetRequestId())
	is.Equal(report.Groups[1].Cause, CausePermit)
	is.Equal(report.Groups[2].Cause, CauseRefused)
	is.Equal(report.Groups[2].NotServed, 1)

	for _, filter := range []Filter{{Until: until, Class: "urgent"}, {Until: until, Model: "pickup-summary"}} {
		report, err = reader.Late(context.Background(), since, filter)
		is.NoErr(err)
		is.Equal(report.Late, 10)
	}
	report, err = reader.Late(context.Background(), since.Add(time.Minute), Filter{Until: until})
	is.NoErr(err)
	is.Equal(report.Records, 27) // two of three minutes
}

func TestLateReadsAtMostMaxBatches(t *testing.T) {
	is := is.New(t)
	objects := newFakeObjects()
	var records []*apiv1.WaitRecord
	for n := range 60 {
		records = append(records, served(n, 2000))
	}
	storeRecords(t, objects, records)
	since, until := time.UnixMilli(baseMinute*60_000), time.UnixMilli((baseMinute+3)*60_000)
	report, err := NewReader(objects).Late(context.Background(), since, Filter{Until: until, MaxBatches: 7})
	is.NoErr(err)
	is.Equal(objects.reads, 7)
	is.Equal(report.Batches, 60)
	is.Equal(report.BatchesRead, 7)
	is.Equal(report.Records, 7)
}

func TestUnreadableBatches(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	objects := newFakeObjects()
	records := []*apiv1.WaitRecord{served(0, 2000), served(6, 2000)} // of one router and minute
	storeRecords(t, objects, records)
	keys, err := objects.List(ctx, prefix)
	is.NoErr(err)
	objects.bodies[keys[0]] = []byte("damaged")
	reader := NewReader(objects)
	report, err := reader.Late(ctx, time.UnixMilli(baseMinute*60_000), Filter{Until: time.UnixMilli((baseMinute + 3) * 60_000)})
	is.NoErr(err)
	is.Equal(report.Records, 1)
	is.Equal(report.BatchesUnreadable, 1)

	var bad *BatchError
	_, err = reader.Explain(ctx, records[0].GetRequestId())
	is.True(errors.As(err, &bad)) // not "there is no record"
	_, err = reader.Explain(ctx, records[1].GetRequestId())
	is.NoErr(err)
}

func BenchmarkSummary(b *testing.B) {
	records := make([]*apiv1.WaitRecord, 10_000)
	for n := range records {
		records[n] = served(n, uint32(n))
		records[n].Phases = []*apiv1.Phase{phase(apiv1.PhaseKind_PHASE_KIND_LOAD, 0, uint32(n), "")}
	}
	for b.Loop() {
		sum := newSummary(testLateMs, func(*apiv1.WaitRecord) bool { return true })
		sum.add(records)
		sum.finish()
	}
}
