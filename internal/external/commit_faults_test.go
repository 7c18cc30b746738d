package external_test

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/ragwortdoor/ragwortdoor/internal/external"
	"github.com/ragwortdoor/ragwortdoor/internal/standin"
)

// unreachable is a base URL at which nothing listens.
const unreachable = "http://127.0.0.1:1"

// warm makes a client pool a connection.
func warm(t *testing.T, table external.TableService) {
	t.Helper()
	if _, err := table.Get(context.Background(), "warm"); err != nil {
		t.Fatal(err)
	}
}

func TestCommitFaults(t *testing.T) {
	for _, tc := range []struct {
		name    string
		faults  standin.Faults
		baseURL string // in place of the stand-in's
		reused  bool   // over a connection that served a call before
		kind    external.Kind
		unknown bool
		applied bool
	}{
		{name: "nothing listens", baseURL: unreachable, kind: external.KindUnavailable},
		{name: "closed without an answer", faults: standin.Faults{Down: true}, kind: external.KindUnavailable, unknown: true},
		{name: "closed without an answer, reused", faults: standin.Faults{Down: true}, reused: true, kind: external.KindUnavailable, unknown: true},
		{name: "refused", faults: standin.Faults{Refuse: true}, kind: external.KindOverloaded},
		{name: "slower than the timeout", faults: standin.Faults{DelayMS: 60_000}, kind: external.KindUnavailable, unknown: true},
		{name: "answer lost", faults: standin.Faults{LoseResponses: 1}, kind: external.KindUnavailable, unknown: true, applied: true},
		{name: "answer lost, reused", faults: standin.Faults{LoseResponses: 1}, reused: true, kind: external.KindUnavailable, unknown: true, applied: true},
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
				warm(t, table)
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

func TestCommitSettledOverHTTP(t *testing.T) {
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
		{name: "answer lost", faults: standin.Faults{LoseResponses: 1}, txn: put, committed: true},
		{name: "three answers lost", faults: standin.Faults{LoseResponses: 3}, txn: put, committed: true},
		{name: "conflict", txn: put, before: &external.Txn{ID: "t0", Puts: []external.Put{{Key: "k"}}}},
		{name: "conflict, answer lost", faults: standin.Faults{LoseResponses: 1}, txn: put, before: &external.Txn{ID: "t0", Puts: []external.Put{{Key: "k"}}}},
		{name: "no witness", txn: external.Txn{ID: "t1", Puts: []external.Put{{Key: "k"}}}, kind: external.KindInvalid},
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
