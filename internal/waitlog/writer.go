package waitlog

import (
	"context"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/charmbracelet/log"

	apiv1 "github.com/ragwortdoor/ragwortdoor/api/ragwortdoor/v1"
	"github.com/ragwortdoor/ragwortdoor/internal/external"
	"github.com/ragwortdoor/ragwortdoor/internal/requestid"
)

const (
	defaultFlushEvery = 20 * time.Second
	defaultBuffer     = 20_000
	lastFlushTimeout  = 5 * time.Second
	// maxFlushRecords bounds the records of one batch.
	maxFlushRecords = 4096
)

// WriterOptions configure a Writer.
type WriterOptions struct {
	Objects external.ObjectStore
	// Router is the host id of this router. Records whose id names another one
	// are stored under that one.
	Router string
	// Buffer is the number of records held until they are stored. Default 20000.
	Buffer int
	// LateMs is the wait above which a record is always kept.
	LateMs uint32
	// Sample is the share of the other records that is kept, 0 to 1.
	Sample float64
	// FlushEvery is the time between two flushes of Run. Default 20 seconds.
	FlushEvery time.Duration
	// Now is time.Now by default.
	Now func() time.Time
	// Log is discarded by default.
	Log *log.Logger
}

// Stats count what became of the records.
type Stats struct {
	// Recorded counts the records handed to Record.
	Recorded uint64 `json:"recorded"`
	// SampledOut counts records that were not late and not in the sample.
	SampledOut uint64 `json:"sampled_out"`
	// Lost counts records that were dropped because the buffer was full.
	Lost uint64 `json:"lost"`
	// Invalid counts records without a request id that can be parsed.
	Invalid uint64 `json:"invalid"`
	// Stored counts the records in the object store.
	Stored uint64 `json:"stored"`
	// FailedFlushes counts batches that the object store did not take.
	FailedFlushes uint64 `json:"failed_flushes"`
	// Buffered is the number of records that wait to be stored.
	Buffered int `json:"buffered"`
}

// Writer buffers wait records and stores them in batches. It is safe for
// concurrent use.
type Writer struct {
	options WriterOptions
	boot    string // tells this process's batches from earlier ones

	flushing sync.Mutex // serializes flushes
	serial   uint64     // guarded by flushing

	mu     sync.Mutex // held only for memory operations
	buffer *buffer
	stats  Stats
}

// NewWriter makes a writer. Run stores its records.
func NewWriter(options WriterOptions) *Writer {
	if options.Buffer <= 0 {
		options.Buffer = defaultBuffer
	}
	if options.FlushEvery <= 0 {
		options.FlushEvery = defaultFlushEvery
	}
	if options.Now == nil {
		options.Now = time.Now
	}
	if options.Log == nil {
		options.Log = log.New(io.Discard)
	}
	return &Writer{
		options: options,
		boot:    strconv.FormatUint(rand.Uint64(), 36),
		buffer:  newBuffer(options.Buffer),
	}
}

// Record takes a record, which must not change afterwards. It never waits for
// the object store; when the buffer is full a record is dropped and counted.
func (w *Writer) Record(r *apiv1.WaitRecord) {
	id, err := requestid.Parse(r.GetRequestId())
	late := IsLate(r, w.options.LateMs)
	keep := late || inSample(r.GetRequestId(), w.options.Sample)

	w.mu.Lock()
	defer w.mu.Unlock()
	w.stats.Recorded++
	switch {
	case err != nil:
		w.stats.Invalid++
	case !keep:
		w.stats.SampledOut++
	default:
		lost := w.buffer.add(&entry{record: r, id: id, late: late})
		w.stats.Lost += uint64(lost)
	}
}

// inSample decides by the hash of the id, so that the same request is in the
// sample of every reader and writer.
func inSample(requestID string, share float64) bool {
	if share >= 1 {
		return true
	}
	return float64(xxhash.Sum64String(requestID)) < share*float64(math.MaxUint64)
}

// Find returns a record that is not stored yet, or nil.
func (w *Writer) Find(requestID string) *apiv1.WaitRecord {
	w.mu.Lock()
	defer w.mu.Unlock()
	e := w.buffer.byID[requestID]
	if e == nil {
		return nil
	}
	return e.record
}

// Buffered returns the records that are not stored yet, in no order.
func (w *Writer) Buffered() []*apiv1.WaitRecord {
	w.mu.Lock()
	defer w.mu.Unlock()
	records := make([]*apiv1.WaitRecord, 0, w.buffer.len())
	for _, e := range w.buffer.byID {
		records = append(records, e.record)
	}
	return records
}

// Stats returns the counters.
func (w *Writer) Stats() Stats {
	w.mu.Lock()
	defer w.mu.Unlock()
	s := w.stats
	s.Buffered = w.buffer.len()
	return s
}

// Run stores records until ctx ends, and then what is left, for at most 5
// seconds.
func (w *Writer) Run(ctx context.Context) {
	ticker := time.NewTicker(w.options.FlushEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			last, cancel := context.WithTimeout(context.WithoutCancel(ctx), lastFlushTimeout)
			defer cancel()
			w.flushLogged(last)
			return
		case <-ticker.C:
			w.flushLogged(ctx)
		}
	}
}

func (w *Writer) flushLogged(ctx context.Context) {
	if err := w.Flush(ctx); err != nil {
		s := w.Stats()
		w.options.Log.Warn("wait records not stored", "err", err, "buffered", s.Buffered, "lost", s.Lost)
	}
}

// Flush stores all buffered records. It stops at the first batch that the
// object store does not take; its records stay buffered.
func (w *Writer) Flush(ctx context.Context) error {
	w.flushing.Lock()
	defer w.flushing.Unlock()
	for {
		taken := w.take()
		if len(taken) == 0 {
			return nil
		}
		if err := w.storeAll(ctx, taken); err != nil {
			return err
		}
	}
}

func (w *Writer) take() []*entry {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.buffer.take(maxFlushRecords)
}

// storeAll stores one batch for each router and minute. After the first
// failure it returns all that is left to the buffer.
func (w *Writer) storeAll(ctx context.Context, entries []*entry) error {
	groups := groupEntries(entries)
	for i, group := range groups {
		if err := w.store(ctx, group); err != nil {
			w.restore(groups[i:])
			return err
		}
	}
	return nil
}

// batchKey is what the records of one batch have in common.
type batchKey struct {
	router string
	minute int64
}

// groupEntries splits entries by batch key, keeping their order.
func groupEntries(entries []*entry) [][]*entry {
	index := make(map[batchKey]int)
	var groups [][]*entry
	for _, e := range entries {
		key := batchKey{e.id.Router, e.id.Minute}
		i, known := index[key]
		if !known {
			i = len(groups)
			index[key] = i
			groups = append(groups, nil)
		}
		groups[i] = append(groups[i], e)
	}
	return groups
}

func (w *Writer) store(ctx context.Context, group []*entry) error {
	records := make([]*apiv1.WaitRecord, len(group))
	for i, e := range group {
		records[i] = e.record
	}
	body, err := encodeBatch(records)
	if err != nil {
		return err
	}
	w.serial++
	id := group[0].id
	key := fmt.Sprintf("%s%s-%08d", routerPrefix(id.Router, id.Minute), w.boot, w.serial)
	if err := w.options.Objects.Put(ctx, key, body); err != nil {
		return fmt.Errorf("store %s: %w", key, err)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.buffer.done(group)
	w.stats.Stored += uint64(len(group))
	return nil
}

func (w *Writer) restore(groups [][]*entry) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stats.FailedFlushes++
	for i := len(groups) - 1; i >= 0; i-- {
		w.buffer.putBack(groups[i])
	}
}
