package external_test

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"github.com/ragwortdoor/ragwortdoor/internal/external"
	"github.com/ragwortdoor/ragwortdoor/internal/standin"
)

// reportedOutcome is what CommitResolved returned about a transaction.
type reportedOutcome int

const (
	applied reportedOutcome = iota + 1
	notApplied
	unknown
)

var errLost = errors.New("response lost")

// commitMachine drives CommitResolved against a table whose calls fail at random.
// Its oracle is a map of rows and the number of times each id was applied.
type commitMachine struct {
	t        *rapid.T
	table    *standin.Table
	rows     map[string]external.Row
	revision int64
	times    map[string]int
	reported map[string]reportedOutcome
	// delayed are attempts whose client has timed out and that still arrive.
	delayed []external.Txn
	serial  int
}

// apply applies a transaction to the table and to the oracle.
func (m *commitMachine) apply(txn external.Txn) external.TxnResult {
	result := m.table.Commit(txn)
	fits := true
	for _, check := range txn.Checks {
		fits = fits && m.rows[check.Key].Version == check.Version
	}
	if fits != result.Committed {
		m.t.Fatalf("%s: committed %v, oracle says %v", txn.ID, result.Committed, fits)
	}
	if !fits {
		return result
	}
	m.times[txn.ID]++
	m.revision++
	for _, put := range txn.Puts {
		m.rows[put.Key] = external.Row{Key: put.Key, Value: put.Value, Version: m.revision, TxnID: txn.ID}
	}
	return result
}

// interleave applies a write of another writer or a delayed attempt at random.
func (m *commitMachine) interleave() {
	if rapid.IntRange(0, 3).Draw(m.t, "other writer") == 0 {
		m.PutByOther(m.t)
	}
	if rapid.Bool().Draw(m.t, "late send arrives") {
		m.ApplyDelayed(m.t)
	}
}

// Commit implements external.TableService.
func (m *commitMachine) Commit(_ context.Context, txn external.Txn) (external.TxnResult, error) {
	m.interleave()
	lost := &external.Error{Kind: external.KindUnavailable, OutcomeUnknown: true, Err: errLost}
	switch rapid.SampledFrom([]string{"ok", "twice", "late", "lost", "dropped", "refused"}).Draw(m.t, "commit") {
	case "ok":
		return m.apply(txn), nil
	case "twice": // a load balancer repeats the request
		m.apply(txn)
		return m.apply(txn), nil
	case "late":
		m.delayed = append(m.delayed, txn)
	case "lost":
		m.apply(txn)
	case "refused":
		return external.TxnResult{}, &external.Error{Kind: external.KindOverloaded, Err: errLost}
	}
	return external.TxnResult{}, lost
}

// Get implements external.TableService.
func (m *commitMachine) Get(_ context.Context, key string) (external.Row, error) {
	m.interleave()
	if rapid.IntRange(0, 4).Draw(m.t, "get fails") == 0 {
		return external.Row{}, &external.Error{Kind: external.KindUnavailable, Err: errLost}
	}
	return m.table.Row(key), nil
}

// Changes implements external.TableService.
func (m *commitMachine) Changes(_ context.Context, prefix string, after int64) (external.Changes, error) {
	return m.table.Changes(prefix, after), nil
}

var keys = []string{"a", "b", "c"}

func (m *commitMachine) txn(puts, checks []string) external.Txn {
	m.serial++
	txn := external.Txn{ID: fmt.Sprintf("txn-%d", m.serial)}
	for _, key := range puts {
		txn.Puts = append(txn.Puts, external.Put{Key: key, Value: []byte(txn.ID)})
	}
	for _, key := range checks {
		txn.Checks = append(txn.Checks, external.Check{Key: key, Version: m.rows[key].Version})
	}
	return txn
}

// PutByOther overwrites a row.
func (m *commitMachine) PutByOther(t *rapid.T) {
	m.apply(m.txn([]string{rapid.SampledFrom(keys).Draw(t, "key")}, nil))
}

// ApplyDelayed applies a delayed attempt.
func (m *commitMachine) ApplyDelayed(t *rapid.T) {
	if len(m.delayed) == 0 {
		return
	}
	i := rapid.IntRange(0, len(m.delayed)-1).Draw(t, "late")
	txn := m.delayed[i]
	m.delayed = slices.Delete(m.delayed, i, i+1)
	m.apply(txn)
}

// CommitResolved commits one transaction and records the reported outcome.
func (m *commitMachine) CommitResolved(t *rapid.T) {
	puts := rapid.SliceOfNDistinct(rapid.SampledFrom(keys), 1, 3, rapid.ID).Draw(t, "puts")
	checks := rapid.SliceOfNDistinct(rapid.SampledFrom(keys), 0, 2, rapid.ID).Draw(t, "checks")
	if !slices.Contains(checks, puts[0]) {
		checks = append(checks, puts[0])
	}
	txn := m.txn(puts, checks)
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	result, err := external.CommitResolved(ctx, m, txn)
	switch {
	case err != nil && external.OutcomeUnknown(err):
		m.reported[txn.ID] = unknown
	case err == nil && result.Committed:
		m.reported[txn.ID] = applied
	default:
		m.reported[txn.ID] = notApplied
	}
}

// Check compares reported outcomes and rows with the oracle.
func (m *commitMachine) Check(t *rapid.T) {
	for id, times := range m.times {
		if times > 1 {
			t.Fatalf("%s was applied %d times", id, times)
		}
	}
	for id, outcome := range m.reported {
		if (outcome == applied && m.times[id] == 0) || (outcome == notApplied && m.times[id] > 0) {
			t.Fatalf("%s: reported outcome %d, applied %d times", id, outcome, m.times[id])
		}
	}
	for _, key := range keys {
		if have, want := m.table.Row(key), m.rows[key]; have.Version != want.Version || have.TxnID != want.TxnID {
			t.Fatalf("row %s is %+v, oracle %+v", key, have, want)
		}
	}
}

// withoutDeadline hides testing.T.Deadline, which fails in a synctest bubble.
type withoutDeadline struct{ rapid.TB }

func TestCommitSettledIsExactlyOnceUnderLostAnswers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rapid.Check(withoutDeadline{t}, func(t *rapid.T) {
			m := &commitMachine{
				t:        t,
				table:    standin.NewTable(),
				rows:     make(map[string]external.Row),
				times:    make(map[string]int),
				reported: make(map[string]reportedOutcome),
			}
			t.Repeat(rapid.StateMachineActions(m))
		})
	})
}
