package claim

import (
	"context"
	"flag"
	"io"
	"os"
	"sync"
	"testing"

	"github.com/charmbracelet/log"
	"go.uber.org/goleak"

	"github.com/ragwortdoor/ragwortdoor/internal/platform"
)

func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f != nil && f.Value.String() == "0" {
		if err := flag.Set("rapid.seed", "1"); err != nil {
			os.Exit(2)
		}
	}
	goleak.VerifyTestMain(m)
}

// fault is what happens to one commit.
type fault int

const (
	faultNone    fault = iota
	faultDown          // refused, not applied
	faultLost          // applied, the answer is lost
	faultDelayed       // no answer; applied later by applyDelayed
)

// fakeTable is a table service in memory whose commits can fail.
type fakeTable struct {
	mu      sync.Mutex
	rows    map[string]platform.Row
	version int64
	next    fault
	delayed []platform.Txn
	commits int
}

func newFakeTable() *fakeTable { return &fakeTable{rows: make(map[string]platform.Row)} }

func (f *fakeTable) Get(_ context.Context, key string) (platform.Row, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	row, ok := f.rows[key]
	if !ok {
		return platform.Row{Key: key}, nil
	}
	return row, nil
}

func (f *fakeTable) Changes(context.Context, string, int64) (platform.Changes, error) {
	return platform.Changes{}, nil
}

func (f *fakeTable) Commit(_ context.Context, txn platform.Txn) (platform.TxnResult, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.commits++
	lost := &platform.Error{Kind: platform.KindUnavailable, Op: "table commit", OutcomeUnknown: true}
	switch f.next {
	case faultDown:
		return platform.TxnResult{}, &platform.Error{Kind: platform.KindUnavailable, Op: "table commit"}
	case faultLost:
		f.apply(txn)
		return platform.TxnResult{}, lost
	case faultDelayed:
		f.delayed = append(f.delayed, txn)
		return platform.TxnResult{}, lost
	default:
		return f.apply(txn), nil
	}
}

func (f *fakeTable) apply(txn platform.Txn) platform.TxnResult {
	var conflicts []platform.Row
	for _, c := range txn.Checks {
		row, ok := f.rows[c.Key]
		if !ok {
			row = platform.Row{Key: c.Key}
		}
		if row.Version != c.Version {
			conflicts = append(conflicts, row)
		}
	}
	if len(conflicts) > 0 {
		return platform.TxnResult{Conflicts: conflicts}
	}
	f.version++
	for _, p := range txn.Puts {
		f.rows[p.Key] = platform.Row{Key: p.Key, Value: p.Value, Version: f.version, TxnID: txn.ID}
	}
	return platform.TxnResult{Committed: true, Version: f.version}
}

// applyDelayed lets the i-th delayed commit arrive.
func (f *fakeTable) applyDelayed(i int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	txn := f.delayed[i]
	f.delayed = append(f.delayed[:i], f.delayed[i+1:]...)
	f.apply(txn)
}

func (f *fakeTable) fail(next fault) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.next = next
}

func quietLog() *log.Logger { return log.New(io.Discard) }
