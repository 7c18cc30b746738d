package external_test

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/ragwortdoor/ragwortdoor/internal/external"
	"github.com/ragwortdoor/ragwortdoor/internal/standin"
)

// unreachable is a base URL without a listener.
const unreachable = "http://127.0.0.1:1"

// openConn leaves an open connection in the pool of a client.
func openConn(t *testing.T, table external.TableService) {
	t.Helper()
	if _, err := table.Get(context.Background(), "warm"); err != nil {
		t.Fatal(err)
	}
}

func TestCommitFaults(t *testing.T) {
	for _, tc := range []struct {
		name    string
		faults  standin.Faults
		baseURL string // replaces the URL of the stand-in
		reused  bool   // use a pooled connection
		kind    external.Kind
		unknown bool
		applied bool
	}{
		{name: "nothing listens", baseURL: unreachable, kind: external.KindUnavailable},
		{name: "closed without a response", faults: standin.Faults{Down: true}, kind: external.KindUnavailable, unknown: true},
		{name: "closed without a response, reused", faults: standin.Faults{Down: true}, reused: true, kind: external.KindUnavailable, unknown: true},
		{name: "refused", faults: standin.Faults{Refuse: true}, kind: external.KindOverloaded},
		{name: "slower than the timeout", faults: standin.Faults{DelayMS: 60_000}, kind: external.KindUnavailable, unknown: true},
		{name: "response lost", faults: standin.Faults{LoseResponses: 1}, kind: external.KindUnavailable, unknown: true, applied: true},
		{name: "response lost, reused", faults: standin.Faults{LoseResponses: 1}, reused: true, kind: external.KindUnavailable, unknown: true, applied: true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			c := startCluster(t, standin.ClusterOptions{})
			url := c.TableURL
			if tc.baseURL != "" {
				url = tc.baseURL
			}
			table := closeIdle(t, external.NewTableClient(external.ClientOptions{BaseURL: url, CallTimeout: 200 * time.Millisecond}))
			if tc.reused {
				openConn(t, table)
			}
			c.Table.Faults.Set(tc.faults)
			_, err := table.Commit(context.Background(), external.Txn{ID: "t1", Puts: []external.Put{{Key: "k"}}})
			is.Equal(external.KindOf(err), tc.kind)
			is.Equal(external.OutcomeUnknown(err), tc.unknown)
			is.True(hasRemedy(err))
			is.Equal(c.Table.Row("k").TxnID == "t1", tc.applied)
			is.True(c.Table.Counts().Commits <= 1) // never sent twice
		})
	}
}

func TestCommitResolvedOverHTTP(t *testing.T) {
	put := external.Txn{
		ID:     "t1",
		Checks: []external.Check{{Key: "k"}},
		Puts:   []external.Put{{Key: "k", Value: []byte("v")}},
	}
	for _, tc := range []struct {
		name      string
		faults    standin.Faults
		txn       external.Txn
		before    *external.Txn // committed by another writer
		committed bool
		kind      external.Kind
	}{
		{name: "no fault", txn: put, committed: true},
		{name: "response lost", faults: standin.Faults{LoseResponses: 1}, txn: put, committed: true},
		{name: "three responses lost", faults: standin.Faults{LoseResponses: 3}, txn: put, committed: true},
		{name: "conflict", txn: put, before: &external.Txn{ID: "t0", Puts: []external.Put{{Key: "k"}}}},
		{name: "conflict, response lost", faults: standin.Faults{LoseResponses: 1}, txn: put, before: &external.Txn{ID: "t0", Puts: []external.Put{{Key: "k"}}}},
		{name: "no check on a written key", txn: external.Txn{ID: "t1", Puts: []external.Put{{Key: "k"}}}, kind: external.KindInvalid},
	} {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			c := startCluster(t, standin.ClusterOptions{})
			if tc.before != nil {
				c.Table.Commit(*tc.before)
			}
			c.Table.Faults.Set(tc.faults)
			result, err := external.CommitResolved(context.Background(), newTable(t, c), tc.txn)
			if tc.kind != 0 {
				is.Equal(external.KindOf(err), tc.kind)
				is.Equal(c.Table.Counts().Commits, int64(0))
				return
			}
			is.NoErr(err)
			is.Equal(result.Committed, tc.committed)
			is.Equal(c.Table.Row("k").TxnID == tc.txn.ID, tc.committed)
			if tc.before != nil {
				is.Equal(result.Conflicts[0].TxnID, tc.before.ID)
			}
		})
	}
}
