package waitlog

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	apiv1 "github.com/ragwortdoor/ragwortdoor/api/ragwortdoor/v1"
)

const testLateMs = 1000

func newTestWriter(objects *fakeObjects, buffer int) *Writer {
	return NewWriter(WriterOptions{Objects: objects, Router: "r.0", Buffer: buffer, LateMs: testLateMs, Sample: 1})
}

func TestRecordRoundTrip(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	objects := newFakeObjects()
	w, r := newTestWriter(objects, 100), NewReader(objects)
	record := served(1, 5000)
	record.Phases = []*apiv1.Phase{phase(apiv1.PhaseKind_PHASE_KIND_LOAD, 0, 4900, "from local disk")}
	w.Record(record)
	w.Record(served(2, 10))
	is.Equal(w.Find(record.GetRequestId()), record) // before it is stored

	var missing *NotFoundError
	_, err := r.Explain(ctx, record.GetRequestId())
	is.True(errors.As(err, &missing))
	is.NoErr(w.Flush(ctx))
	is.Equal(w.Find(record.GetRequestId()), nil)
	found, err := r.Explain(ctx, record.GetRequestId())
	is.NoErr(err)
	is.True(proto.Equal(found, record))
	_, err = r.Explain(ctx, served(7, 1).GetRequestId())
	is.True(errors.As(err, &missing))
	var bad *BadIDError
	_, err = r.Explain(ctx, "nonsense")
	is.True(errors.As(err, &bad))
	is.Equal(w.Stats(), Stats{Recorded: 2, Stored: 2})
}

func TestSampleKeepsLateRecords(t *testing.T) {
	is := is.New(t)
	w := NewWriter(WriterOptions{Objects: newFakeObjects(), LateMs: testLateMs, Sample: 0.25, Buffer: 5000})
	for n := range 2000 {
		w.Record(served(n, 10))
	}
	kept := w.Stats().Buffered
	is.True(kept > 400 && kept < 600) // about a quarter
	for n := range 1000 {
		w.Record(served(5000+n, testLateMs+1))
	}
	refused := served(9000, 0)
	refused.Outcome = apiv1.Outcome_OUTCOME_NOT_RUN
	w.Record(refused)
	is.Equal(w.Stats().Buffered, kept+1001)
	is.Equal(w.Stats().SampledOut, uint64(2000-kept))
	w.Record(&apiv1.WaitRecord{RequestId: "nonsense"})
	is.Equal(w.Stats().Invalid, uint64(1))
}

func TestFullBufferPrefersLateAndNewRecords(t *testing.T) {
	is := is.New(t)
	w := newTestWriter(newFakeObjects(), 2)
	quick, late, later := served(0, 1), served(1, 2000), served(2, 2000)
	w.Record(quick)
	w.Record(late)
	w.Record(later) // takes the place of quick
	is.Equal(w.Find(quick.GetRequestId()), nil)
	w.Record(served(3, 1)) // finds only late ones and is dropped
	is.Equal(w.Find(later.GetRequestId()), later)
	w.Record(served(4, 2000)) // takes the place of the oldest late one
	is.Equal(w.Find(late.GetRequestId()), nil)
	is.Equal(w.Stats(), Stats{Recorded: 5, Lost: 3, Buffered: 2})
}

func TestStoreOutage(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	objects := newFakeObjects()
	w := newTestWriter(objects, 50)
	objects.before = outage
	for n := range 80 {
		w.Record(served(n, 2000))
		is.True(w.Flush(ctx) != nil)
	}
	is.Equal(w.Stats(), Stats{Recorded: 80, Lost: 30, Buffered: 50, FailedFlushes: 80})
	objects.before, objects.after = noFault, outage
	is.True(w.Flush(ctx) != nil) // stored, but the answer is lost
	objects.after = noFault
	is.NoErr(w.Flush(ctx))
	is.Equal(w.Stats().Buffered, 0)

	report, err := NewReader(objects).Late(ctx, time.UnixMilli(baseMinute*60_000), Filter{Until: time.UnixMilli((baseMinute + 3) * 60_000)})
	is.NoErr(err)
	is.Equal(report.Records, 50) // records that are stored twice count once
}

func TestConcurrentRecordsAndFlushes(t *testing.T) {
	is := is.New(t)
	objects := newFakeObjects()
	w := newTestWriter(objects, 10_000)
	var wg sync.WaitGroup
	for worker := range 8 {
		wg.Go(func() {
			for n := range 500 {
				w.Record(served(worker*500+n, 10))
				if n%100 == 0 {
					_ = w.Flush(context.Background())
				}
			}
		})
	}
	wg.Wait()
	is.NoErr(w.Flush(context.Background()))
	is.Equal(w.Stats(), Stats{Recorded: 4000, Stored: 4000})
}

func TestRunStoresWhatIsLeftAtItsEnd(t *testing.T) {
	is := is.New(t)
	stored := make(chan struct{}, 2)
	objects := newFakeObjects()
	objects.after = func() error {
		stored <- struct{}{}
		return nil
	}
	w := NewWriter(WriterOptions{Objects: objects, Sample: 1, FlushEvery: time.Millisecond})
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		w.Run(ctx)
		close(ended)
	}()
	w.Record(served(1, 1))
	<-stored // by the ticker
	cancel()
	<-ended

	w.Record(served(2, 1))
	w.Run(ctx) // its context has ended already
	is.Equal(w.Stats(), Stats{Recorded: 2, Stored: 2})
}

// writerMachine records requests while the store fails and while batches are
// in flight, and counts them against an oracle.
type writerMachine struct {
	objects *fakeObjects
	writer  *Writer
	reader  *Reader
	n       int
	records []*apiv1.WaitRecord
}

func newWriterMachine(t *rapid.T) *writerMachine {
	m := &writerMachine{objects: newFakeObjects()}
	m.writer, m.reader = newTestWriter(m.objects, 8), NewReader(m.objects)
	fail := func(label string) func() error {
		return func() error {
			switch rapid.IntRange(0, 5).Draw(t, label) {
			case 0:
				return errStore
			case 1:
				m.record(t) // while the batch is in flight
			}
			return nil
		}
	}
	m.objects.before, m.objects.after = fail("before"), fail("after")
	return m
}

func (m *writerMachine) record(t *rapid.T) {
	m.n++
	r := served(m.n, rapid.SampledFrom([]uint32{1, 2000}).Draw(t, "wait"))
	lost, quickHeld := m.writer.Stats().Lost, m.quickQueued()
	m.writer.Record(r)
	m.records = append(m.records, r)
	dropped := m.writer.Find(r.GetRequestId()) == nil
	if dropped && m.writer.Stats().Lost != lost+1 {
		t.Fatal("a record vanished without being counted")
	}
	if dropped && IsLate(r, testLateMs) && quickHeld > 0 {
		t.Fatal("a late record was dropped in favour of one that is not")
	}
}

// quickQueued counts queued records that are not late.
func (m *writerMachine) quickQueued() int { return m.writer.buffer.other.Len() }

func (m *writerMachine) flush(t *rapid.T) {
	if err := m.writer.Flush(context.Background()); err != nil && !errors.Is(err, errStore) {
		t.Fatal(err)
	}
}

func (m *writerMachine) check(t *rapid.T) {
	s := m.writer.Stats()
	if s.Buffered > 8 {
		t.Fatalf("%d records in a buffer of 8", s.Buffered)
	}
	if s.Recorded != s.Lost+s.Stored+uint64(s.Buffered) {
		t.Fatalf("counts don't add up: %+v", s)
	}
}

// checkFound checks that every record that was not lost is found, and that the
// rest is stored once the store works again.
func (m *writerMachine) checkFound(t *rapid.T) {
	s := m.writer.Stats()
	found := uint64(0)
	for _, r := range m.records {
		_, err := m.reader.Explain(context.Background(), r.GetRequestId())
		if err == nil || m.writer.Find(r.GetRequestId()) != nil {
			found++
		}
	}
	// A record may be lost from the buffer after a store whose answer was lost.
	if found < s.Stored+uint64(s.Buffered) {
		t.Fatalf("%d records found, %+v", found, s)
	}
	m.objects.before, m.objects.after = noFault, noFault
	m.flush(t)
	if s := m.writer.Stats(); s.Buffered != 0 {
		t.Fatalf("%d records are never stored", s.Buffered)
	}
}

func TestWriterStateMachine(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newWriterMachine(t)
		t.Repeat(map[string]func(*rapid.T){"record": m.record, "flush": m.flush, "": m.check})
		m.checkFound(t)
	})
}

func BenchmarkRecord(b *testing.B) {
	w := newTestWriter(newFakeObjects(), 20_000)
	records := make([]*apiv1.WaitRecord, 100_000)
	for n := range records {
		records[n] = served(n, 10)
	}
	n := 0
	for b.Loop() {
		w.Record(records[n%len(records)])
		n++
	}
}

// BenchmarkBatch reports the stored bytes of one record with three phases.
func BenchmarkBatch(b *testing.B) {
	const size = 1000
	records := make([]*apiv1.WaitRecord, size)
	for n := range records {
		r := served(n*6, uint32(2000+n*7))
		r.Phases = []*apiv1.Phase{
			phase(apiv1.PhaseKind_PHASE_KIND_QUEUE, 0, uint32(n), ""),
			phase(apiv1.PhaseKind_PHASE_KIND_PERMIT, uint32(n), uint32(3*n), fmt.Sprintf("behind %d loads", n%9)),
			phase(apiv1.PhaseKind_PHASE_KIND_LOAD, uint32(4*n), uint32(2*n), "from remote storage"),
		}
		records[n] = r
	}
	bytes := 0
	for b.Loop() {
		body, err := encodeBatch(records)
		if err != nil {
			b.Fatal(err)
		}
		bytes = len(body)
	}
	b.ReportMetric(float64(bytes)/size, "bytes/record")
}
