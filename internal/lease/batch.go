package lease

import (
	"context"
	"fmt"
	"strings"
	"time"

	"google.golang.org/protobuf/proto"

	apiv1 "github.com/ragwortdoor/ragwortdoor/api/ragwortdoor/v1"
	"github.com/ragwortdoor/ragwortdoor/internal/external"
)

// change is a wanted write of one lease row.
type change struct {
	entry *entry
	row   *apiv1.LeaseRow
	// newEpoch also writes the epoch row.
	newEpoch bool
}

// maxTries bounds how often a batch is sent without its conflicting rows.
const maxTries = 4

// commit applies the changes in one transaction. Rows that another router has
// changed are left out and the rest is sent again, so that a conflict on one
// lease doesn't hold up the others. remake returns the change that is still
// wanted after a conflict, or false. It returns the applied changes and when
// their transaction was sent.
func (m *Manager) commit(ctx context.Context, batch []change, remake func(*entry) (change, bool)) ([]change, time.Time, error) {
	for range maxTries {
		if len(batch) == 0 {
			break
		}
		sent := m.opts.Now()
		result, err := m.send(ctx, batch)
		if err != nil {
			m.stats.failures.Add(1)
			return nil, sent, err
		}
		if result.Committed {
			m.applied(batch, result.Version)
			return batch, sent, nil
		}
		batch = m.withoutConflicts(batch, result.Conflicts, remake)
	}
	return nil, time.Time{}, nil
}

func (m *Manager) send(ctx context.Context, batch []change) (external.TxnResult, error) {
	ctx, cancel := context.WithTimeout(ctx, m.timing.callTimeout())
	defer cancel()
	txn := external.Txn{ID: m.ids.next()}
	for _, c := range batch {
		value, err := proto.Marshal(c.row)
		if err != nil {
			return external.TxnResult{}, fmt.Errorf("encode lease %s: %w", c.entry.name, err)
		}
		key := external.LeaseKey(c.entry.name)
		txn.Checks = append(txn.Checks, external.Check{Key: key, Version: c.entry.version})
		txn.Puts = append(txn.Puts, external.Put{Key: key, Value: value})
		if c.newEpoch {
			txn.Puts = append(txn.Puts, external.Put{Key: external.EpochKey(c.entry.name), Value: value})
		}
	}
	return m.opts.Commit(ctx, m.opts.Table, txn)
}

// applied takes over the rows of a committed batch.
func (m *Manager) applied(batch []change, version int64) {
	now := m.opts.Now()
	for _, c := range batch {
		c.entry.row = c.row
		c.entry.version = version
		c.entry.foreign = false
		m.watch(c.entry, now)
	}
}

// withoutConflicts takes over the conflicting rows and returns the changes that
// are still wanted.
func (m *Manager) withoutConflicts(batch []change, conflicts []external.Row, remake func(*entry) (change, bool)) []change {
	now := m.opts.Now()
	changed := make(map[*entry]bool, len(conflicts))
	for _, row := range conflicts {
		e := m.byName[strings.TrimPrefix(row.Key, external.LeasePrefix)]
		if e == nil {
			continue
		}
		m.seeConflict(e, row, now)
		changed[e] = true
	}
	var rest []change
	for _, c := range batch {
		if !changed[c.entry] {
			rest = append(rest, c)
			continue
		}
		if again, ok := remake(c.entry); ok {
			rest = append(rest, again)
		}
	}
	return rest
}

// txnIDs makes transaction ids that tell this process from every other one.
type txnIDs struct {
	prefix string
	count  uint64
}

func newTxnIDs(holder string, seed uint64) *txnIDs {
	return &txnIDs{prefix: fmt.Sprintf("lease-%s-%016x-", holder, seed)}
}

func (t *txnIDs) next() string {
	t.count++
	return fmt.Sprintf("%s%d", t.prefix, t.count)
}

func (t *txnIDs) isOwn(id string) bool { return strings.HasPrefix(id, t.prefix) }
