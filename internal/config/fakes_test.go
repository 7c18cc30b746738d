package config

import (
	"context"
	"flag"
	"os"
	"testing"

	"go.uber.org/goleak"

	"github.com/ragwortdoor/ragwortdoor/internal/external"
)

func TestMain(m *testing.M) {
	flag.Parse()
	if flag.Lookup("rapid.seed").Value.String() == "0" {
		if err := flag.Set("rapid.seed", "1"); err != nil {
			panic(err)
		}
	}
	if code := m.Run(); code != 0 {
		os.Exit(code)
	}
	if err := goleak.Find(); err != nil {
		panic(err)
	}
}

// fault is what happens to one call of a fake.
type fault int

const (
	faultNone fault = iota
	faultNotSent
	faultAnswerLost
	// faultDelayed loses the answer; the commit reaches the table later.
	faultDelayed
)

var errFake = &external.Error{Kind: external.KindUnavailable, Op: "fake", OutcomeUnknown: true}

// fakeTable is a table in memory whose calls fail as next says.
type fakeTable struct {
	rows     map[string]external.Row
	revision int64
	delayed  []external.Txn
	// next chooses the fault of a call and may run other calls first.
	next func(call string) fault
	// applied is called with each transaction that takes effect.
	applied func(external.Txn)
}

func newFakeTable() *fakeTable {
	return &fakeTable{
		rows:    make(map[string]external.Row),
		next:    func(string) fault { return faultNone },
		applied: func(external.Txn) {},
	}
}

func (f *fakeTable) Get(_ context.Context, key string) (external.Row, error) {
	if f.next("get") != faultNone {
		return external.Row{}, &external.Error{Kind: external.KindUnavailable, Op: "fake get"}
	}
	return f.row(key), nil
}

func (f *fakeTable) row(key string) external.Row {
	row := f.rows[key]
	row.Key = key
	return row
}

func (f *fakeTable) Changes(context.Context, string, int64) (external.Changes, error) {
	panic("the publisher lists nothing")
}

func (f *fakeTable) Commit(_ context.Context, txn external.Txn) (external.TxnResult, error) {
	switch f.next("commit") {
	case faultNotSent:
		return external.TxnResult{}, errFake
	case faultDelayed:
		f.delayed = append(f.delayed, txn)
		return external.TxnResult{}, errFake
	case faultAnswerLost:
		f.apply(txn)
		return external.TxnResult{}, errFake
	default:
		return f.apply(txn), nil
	}
}

func (f *fakeTable) apply(txn external.Txn) external.TxnResult {
	var conflicts []external.Row
	for _, check := range txn.Checks {
		if row := f.row(check.Key); row.Version != check.Version {
			conflicts = append(conflicts, row)
		}
	}
	if len(conflicts) > 0 {
		return external.TxnResult{Conflicts: conflicts}
	}
	f.revision++
	for _, put := range txn.Puts {
		f.rows[put.Key] = external.Row{Key: put.Key, Value: put.Value, Version: f.revision, TxnID: txn.ID}
	}
	for _, key := range txn.Deletes {
		delete(f.rows, key)
	}
	f.applied(txn)
	return external.TxnResult{Committed: true, Version: f.revision}
}

// fakeObjects is an object store in memory.
type fakeObjects struct {
	bodies map[string][]byte
	next   func(call string) fault
}

func newFakeObjects() *fakeObjects {
	return &fakeObjects{bodies: make(map[string][]byte), next: func(string) fault { return faultNone }}
}

func (f *fakeObjects) Put(_ context.Context, key string, body []byte) error {
	fault := f.next("put")
	if fault != faultNotSent {
		f.bodies[key] = body
	}
	if fault != faultNone {
		return errFake
	}
	return nil
}

func (f *fakeObjects) Get(_ context.Context, key string) ([]byte, error) {
	body, found := f.bodies[key]
	if !found {
		return nil, &external.Error{Kind: external.KindNotFound, Op: "fake object get"}
	}
	return body, nil
}

func (f *fakeObjects) List(context.Context, string) ([]string, error) {
	panic("the publisher lists nothing")
}
