// Package tabletest provides an in-memory table service with fault injection, for tests.
package tabletest

import (
	"context"
	"errors"
	"maps"
	"slices"
	"strings"
	"sync"

	"github.com/ragwortdoor/ragwortdoor/internal/era"
	"github.com/ragwortdoor/ragwortdoor/internal/external"
)

// Fault is a fault injected into calls.
type Fault int

// Values of Fault.
const (
	None Fault = iota
	// Down fails the call without any effect.
	Down
	// LostReply applies a commit but fails the call with an unknown outcome.
	LostReply
	// Delayed fails the call with an unknown outcome and queues the commit until
	// ApplyDelayed.
	Delayed
)

// Table is a table service in memory. It is safe for concurrent use.
type Table struct {
	mu sync.Mutex
	// rows have the table's own versions, without the era.
	rows     map[string]external.Row
	revision int64
	era      int64
	delayed  []external.Txn
	fault    Fault
	commits  int
	applied  func(external.Txn, int64)
}

// New returns an empty table.
func New() *Table { return &Table{rows: make(map[string]external.Row)} }

// Copy is the content of a table at one moment.
type Copy struct {
	rows     map[string]external.Row
	revision int64
}

// Copy returns a copy for Restore.
func (t *Table) Copy() Copy {
	t.mu.Lock()
	defer t.mu.Unlock()
	return Copy{maps.Clone(t.rows), t.revision}
}

// Version returns the revision of the copy.
func (c Copy) Version() int64 { return c.revision }

// Restore replaces the content by an older copy, whose next era begins: revisions since
// the copy are given out again. Delayed commits are lost.
func (t *Table) Restore(older Copy) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.rows, t.revision = maps.Clone(older.rows), older.revision
	t.delayed = nil
	t.era++
}

// inEra returns a row with the table's era in its version.
func (t *Table) inEra(row external.Row) external.Row {
	row.Era = t.era
	row.Version = era.Version(t.era, row.Version)
	return row
}

// SetFault sets the fault of every call from now on.
func (t *Table) SetFault(f Fault) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.fault = f
}

// OnApplied sets a function that is called, with the table locked, for each
// applied transaction and its version. Call it before the table is in use.
func (t *Table) OnApplied(f func(txn external.Txn, version int64)) { t.applied = f }

// Commits returns the number of calls of Commit, failed ones included.
func (t *Table) Commits() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.commits
}

// ApplyDelayed applies the delayed commits whose version checks still hold. order
// returns the sequence in which to apply n commits, as their indices.
func (t *Table) ApplyDelayed(order func(n int) []int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delayed := t.delayed
	t.delayed = nil
	for _, i := range order(len(delayed)) {
		t.apply(delayed[i])
	}
}

// Get implements external.TableService.
func (t *Table) Get(ctx context.Context, key string) (external.Row, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.fault == Down {
		return external.Row{}, unavailable("table get", false)
	}
	row := t.rows[key]
	row.Key = key
	return t.inEra(row), ctx.Err()
}

// Changes implements external.TableService.
func (t *Table) Changes(ctx context.Context, prefix string, after int64) (external.Changes, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.fault == Down {
		return external.Changes{}, unavailable("table changes", false)
	}
	out := external.Changes{Revision: era.Version(t.era, t.revision)}
	for key, row := range t.rows {
		if strings.HasPrefix(key, prefix) && t.inEra(row).Version > after {
			out.Rows = append(out.Rows, t.inEra(row))
		}
	}
	slices.SortFunc(out.Rows, func(a, b external.Row) int { return strings.Compare(a.Key, b.Key) })
	return out, ctx.Err()
}

// Commit implements external.TableService.
func (t *Table) Commit(ctx context.Context, txn external.Txn) (external.TxnResult, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.commits++
	switch t.fault {
	case Down:
		return external.TxnResult{}, unavailable("table commit", false)
	case LostReply:
		t.apply(txn)
		return external.TxnResult{}, unavailable("table commit", true)
	case Delayed:
		t.delayed = append(t.delayed, txn)
		return external.TxnResult{}, unavailable("table commit", true)
	default:
		return t.apply(txn), ctx.Err()
	}
}

// apply applies a transaction unless one of its version checks fails. As a store would,
// it compares only its own versions: one of an earlier era may match by chance. The caller
// holds mu.
func (t *Table) apply(txn external.Txn) external.TxnResult {
	var conflicts []external.Row
	for _, c := range txn.Checks {
		row := t.rows[c.Key]
		if row.Version != era.Sequence(c.Version) {
			row.Key = c.Key
			conflicts = append(conflicts, t.inEra(row))
		}
	}
	if len(conflicts) > 0 {
		return external.TxnResult{Conflicts: conflicts, Era: t.era}
	}
	t.revision++
	for _, p := range txn.Puts {
		t.rows[p.Key] = external.Row{Key: p.Key, Value: p.Value, Version: t.revision, TxnID: txn.ID}
	}
	for _, key := range txn.Deletes {
		delete(t.rows, key)
	}
	if t.applied != nil {
		t.applied(txn, era.Version(t.era, t.revision))
	}
	return external.TxnResult{Committed: true, Version: era.Version(t.era, t.revision), Era: t.era}
}

var errNoReply = errors.New("no reply")

func unavailable(op string, unknown bool) error {
	return &external.Error{
		Kind:           external.KindUnavailable,
		Op:             op,
		OutcomeUnknown: unknown,
		Remedy:         "set the fault of the test table to None",
		Err:            errNoReply,
	}
}
