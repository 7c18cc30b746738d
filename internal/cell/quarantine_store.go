package cell

import (
	"context"
	crand "crypto/rand"
	"time"

	"google.golang.org/protobuf/proto"

	apiv1 "github.com/ragwortdoor/ragwortdoor/api/ragwortdoor/v1"
	"github.com/ragwortdoor/ragwortdoor/internal/external"
	"github.com/ragwortdoor/ragwortdoor/internal/quarantine"
)

const (
	// quarantineKey is the row of the quarantined parts, as TABLE/KEY.
	quarantineKey = "ragwortdoor-quarantine/parts"

	quarantineTickInterval = 100 * time.Millisecond
	// quarantineReadInterval applies to routers that are not connected to an active
	// scheduler, which relays the quarantined parts.
	quarantineReadInterval = time.Second
	quarantineRetryDelay   = 400 * time.Millisecond
)

// QuarantineStoreOptions configure a QuarantineStore.
type QuarantineStoreOptions struct {
	Table external.TableService
	// List is this router's copy of the quarantined parts.
	List *quarantine.List
	// Fence is the fence of the term of this router's scheduler, 0 without one.
	Fence func() int64
	// HasActiveScheduler reports whether a scheduler relays the quarantined parts.
	HasActiveScheduler func() bool
	// StoreEra is the era of the store, as far as this router knows while it schedules.
	StoreEra func() int64
	// OnRead is called with what was read.
	OnRead func(map[string][]quarantine.Entry)
	// OnFailed is called when the call op to the store failed.
	OnFailed func(op string, err error)
}

// QuarantineStore keeps the quarantined parts in the platform's store, so that they outlast
// all routers. The router that schedules writes them. Others read them at their start, and
// while no scheduler is connected.
type QuarantineStore struct {
	opts QuarantineStoreOptions

	// row and version are as last read or written; row is nil if they are not known.
	row      *apiv1.QuarantineList
	version  int64
	fence    int64
	era      int64
	nextCall time.Time
}

// NewQuarantineStore returns a store that does nothing until Run is called.
func NewQuarantineStore(opts QuarantineStoreOptions) *QuarantineStore {
	return &QuarantineStore{opts: opts}
}

// Run reads and writes until ctx ends.
func (q *QuarantineStore) Run(ctx context.Context) {
	ticker := time.NewTicker(quarantineTickInterval)
	defer ticker.Stop()
	for {
		q.step(ctx, time.Now())
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (q *QuarantineStore) step(ctx context.Context, now time.Time) {
	if now.Before(q.nextCall) {
		return
	}
	fence := q.opts.Fence()
	era := q.opts.StoreEra()
	if fence != 0 && (fence != q.fence || era != q.era) {
		q.row = nil // another router may have written it, or the store was restored
	}
	q.fence, q.era = fence, era
	switch {
	case q.row == nil:
		q.read(ctx)
	case fence != 0:
		if list := encodeQuarantine(q.opts.List.Load()); !proto.Equal(list, q.row) {
			q.write(ctx, list)
		}
	case !q.opts.HasActiveScheduler():
		q.nextCall = now.Add(quarantineReadInterval)
		q.read(ctx)
	}
}

func (q *QuarantineStore) read(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, storeCallTimeout)
	defer cancel()
	row, err := q.opts.Table.Get(ctx, quarantineKey)
	if err != nil {
		q.failed("read quarantine", err)
		return
	}
	q.take(row)
}

// take adds the parts of a row to those of this router.
func (q *QuarantineStore) take(row external.Row) {
	list := &apiv1.QuarantineList{}
	if err := proto.Unmarshal(row.Value, list); err != nil {
		q.failed("decode quarantine", err)
		list.Reset() // it is written anew
	}
	known := q.row != nil && row.Version == q.version
	q.row, q.version = list, row.Version
	if !known && len(list.GetEntries()) > 0 {
		q.opts.OnRead(decodeQuarantine(list))
	}
}

func (q *QuarantineStore) write(ctx context.Context, list *apiv1.QuarantineList) {
	value, err := proto.Marshal(list)
	if err != nil {
		q.failed("encode quarantine", err)
		return
	}
	ctx, cancel := context.WithTimeout(ctx, storeCallTimeout)
	defer cancel()
	result, err := q.opts.Table.Commit(ctx, external.Txn{
		ID:     crand.Text(),
		Checks: []external.Check{{Key: quarantineKey, Version: q.version}},
		Puts:   []external.Put{{Key: quarantineKey, Value: value}},
	})
	switch {
	case err != nil:
		q.row = nil // it may have been written
		q.failed("write quarantine", err)
	case result.Committed:
		q.row, q.version = list, result.Version
	case len(result.Conflicts) > 0:
		q.take(result.Conflicts[0])
	}
}

func (q *QuarantineStore) failed(op string, err error) {
	q.nextCall = time.Now().Add(quarantineRetryDelay)
	q.opts.OnFailed(op, err)
}
