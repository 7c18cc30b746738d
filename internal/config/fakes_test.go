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

// fault is the fault injected into one call of a fake.
type fault int

const (
	faultNone fault = iota
	faultNotSent
	faultReplyLost
	// faultDelayed loses the reply; the table applies the commit later.
	faultDelayed
)

var errFake = &external.Error{Kind: external.KindUnavailable, Op: "fake", OutcomeUnknown: true}

// fakeTable is an in-memory table service with injected faults.
type fakeTable struct {
	rows     map[string]external.Row
	revision int64
	// delayed holds the commits with faultDelayed that are not applied yet.
	delayed []external.Txn
	// nextFault returns the fault of a call and may run other calls first.
	nextFault func(call string) fault
	// onApply is called with each transaction that takes effect.
	onApply func(external.Txn)
}

func newFakeTable() *fakeTable {
	return &fakeTable{
		rows:      make(map[string]external.Row),
		nextFault: func(string) fault { return faultNone },
		onApply:   func(external.Txn) {},
	}
}

func (f *fakeTable) Get(_ context.Context, key string) (external.Row, error) {
	if f.nextFault("get") != faultNone {
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
	panic("unexpected call: the publisher lists nothing")
}

func (f *fakeTable) Commit(_ context.Context, txn external.Txn) (external.TxnResult, error) {
	switch f.nextFault("commit") {
	case faultNotSent:
		return external.TxnResult{}, errFake
	case faultDelayed:
		f.delayed = append(f.delayed, txn)
		return external.TxnResult{}, errFake
	case faultReplyLost:
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
	f.onApply(txn)
	return external.TxnResult{Committed: true, Version: f.revision}
}

// fakeObjects is an in-memory object store with injected faults of Put.
type fakeObjects struct {
	// bodies maps keys to bodies and deltas.
	bodies    map[string][]byte
	nextFault func(call string) fault
}

func newFakeObjects() *fakeObjects {
	return &fakeObjects{bodies: make(map[string][]byte), nextFault: func(string) fault { return faultNone }}
}

func (f *fakeObjects) Put(_ context.Context, key string, body []byte) error {
	fault := f.nextFault("put")
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
	panic("unexpected call: the publisher lists nothing")
}
