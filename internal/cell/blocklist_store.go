package cell

import (
	"context"
	crand "crypto/rand"
	"time"

	"google.golang.org/protobuf/proto"

	apiv1 "github.com/ragwortdoor/ragwortdoor/api/ragwortdoor/v1"
	"github.com/ragwortdoor/ragwortdoor/internal/blocklist"
	"github.com/ragwortdoor/ragwortdoor/internal/external"
)

const (
	// blocklistKey is the row of the blocked prompts, as TABLE/KEY.
	blocklistKey = "ragwortdoor-blocklist/prompts"

	blocklistTickInterval = 100 * time.Millisecond
	// blocklistReadInterval applies to routers that are not connected to an active
	// scheduler, which relays the blocked prompts.
	blocklistReadInterval = time.Second
	blocklistRetryDelay   = 400 * time.Millisecond
)

// BlocklistStoreOptions configure a BlocklistStore.
type BlocklistStoreOptions struct {
	Table external.TableService
	// List is this router's copy of the blocked prompts.
	List *blocklist.List
	// Fence is the fence of the term of this router's scheduler, 0 without one.
	Fence func() int64
	// HasActiveScheduler reports whether a scheduler relays the blocked prompts.
	HasActiveScheduler func() bool
	// StoreEra is the era of the store, as far as this router knows while it schedules.
	StoreEra func() int64
	// OnRead is called with what was read.
	OnRead func(map[string][]blocklist.Entry)
	// OnFailed is called when the call op to the store failed.
	OnFailed func(op string, err error)
}

// BlocklistStore keeps the blocked prompts in the platform's store, so that they outlast
// all routers. The router that schedules writes them. Others read them at their start, and
// while no scheduler is connected.
type BlocklistStore struct {
	opts BlocklistStoreOptions

	// row and version are as last read or written; row is nil if they are not known.
	row      *apiv1.Blocklist
	version  int64
	fence    int64
	era      int64
	nextCall time.Time
}

// NewBlocklistStore returns a store that does nothing until Run is called.
func NewBlocklistStore(opts BlocklistStoreOptions) *BlocklistStore {
	return &BlocklistStore{opts: opts}
}

// Run reads and writes until ctx ends.
func (b *BlocklistStore) Run(ctx context.Context) {
	ticker := time.NewTicker(blocklistTickInterval)
	defer ticker.Stop()
	for {
		b.step(ctx, time.Now())
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (b *BlocklistStore) step(ctx context.Context, now time.Time) {
	if now.Before(b.nextCall) {
		return
	}
	fence := b.opts.Fence()
	era := b.opts.StoreEra()
	if fence != 0 && (fence != b.fence || era != b.era) {
		b.row = nil // another router may have written it, or the store was restored
	}
	b.fence, b.era = fence, era
	switch {
	case b.row == nil && (fence != 0 || b.opts.List.Replaced() == 0):
		b.read(ctx)
	case fence != 0:
		if list := encodeBlocklist(b.opts.List.Load()); !proto.Equal(list, b.row) {
			b.write(ctx, list)
		}
	case !b.opts.HasActiveScheduler():
		b.nextCall = now.Add(blocklistReadInterval)
		b.read(ctx)
	}
}

func (b *BlocklistStore) read(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, storeCallTimeout)
	defer cancel()
	replaced := b.opts.List.Replaced()
	row, err := b.opts.Table.Get(ctx, blocklistKey)
	if err != nil {
		b.failed("read blocklist", err)
		return
	}
	if b.opts.Fence() == 0 && b.opts.List.Replaced() != replaced {
		return // the scheduler's list has overtaken it, and may lack what was released
	}
	b.take(row)
}

// take adds the parts of a row to those of this router.
func (b *BlocklistStore) take(row external.Row) {
	list := &apiv1.Blocklist{}
	if err := proto.Unmarshal(row.Value, list); err != nil {
		b.failed("decode blocklist", err)
		list.Reset() // it is written anew
	}
	known := b.row != nil && row.Version == b.version
	b.row, b.version = list, row.Version
	if !known && len(list.GetEntries()) > 0 {
		b.opts.OnRead(decodeBlocklist(list))
	}
}

func (b *BlocklistStore) write(ctx context.Context, list *apiv1.Blocklist) {
	value, err := proto.Marshal(list)
	if err != nil {
		b.failed("encode blocklist", err)
		return
	}
	ctx, cancel := context.WithTimeout(ctx, storeCallTimeout)
	defer cancel()
	result, err := b.opts.Table.Commit(ctx, external.Txn{
		ID:     crand.Text(),
		Checks: []external.Check{{Key: blocklistKey, Version: b.version}},
		Puts:   []external.Put{{Key: blocklistKey, Value: value}},
	})
	switch {
	case err != nil:
		b.row = nil // it may have been written
		b.failed("write blocklist", err)
	case result.Committed:
		b.row, b.version = list, result.Version
	case len(result.Conflicts) > 0:
		b.take(result.Conflicts[0])
	}
}

func (b *BlocklistStore) failed(op string, err error) {
	b.nextCall = time.Now().Add(blocklistRetryDelay)
	b.opts.OnFailed(op, err)
}
