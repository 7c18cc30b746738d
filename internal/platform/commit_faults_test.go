package platform_test

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/ragwortdoor/ragwortdoor/internal/platform"
	"github.com/ragwortdoor/ragwortdoor/internal/standin"
)

// unreachable is a base URL at which nothing listens.
const unreachable = "http://127.0.0.1:1"

// warm makes a client pool a connection.
func warm(t *testing.T, table platform.TableService) {
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
		kind    platform.Kind
		unknown bool
		applied bool
	}{
		{name: "nothing listens", baseURL: unreachable, kind: platform.KindUnavailable},
		{name: "closed without an answer", faults: standin.Faults{Down: true}, kind: platform.KindUnavailable, unknown: true},
		{name: "closed without an answer, reused", faults: standin.Faults{Down: true}, reused: true, kind: platform.KindUnavailable, unknown: true},
		{name: "refused", faults: standin.Faults{Refuse: true}, kind: platform.KindOverloaded},
		{name: "slower than the timeout", faults: standin.Faults{DelayMS: 60_000}, kind: platform.KindUnavailable, unknown: true},
		{name: "answer lost", faults: standin.Faults{LoseAnswers: 1}, kind: platform.KindUnavailable, unknown: true, applied: true},
		{name: "answer lost, reused", faults: standin.Faults{LoseAnswers: 1}, reused: true, kind: platform.KindUnavailable, unknown: true, applied: true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			c := startCluster(t, standin.ClusterOptions{})
			url := c.TableURL
			if tc.baseURL != "" {
				url = tc.baseURL
			}
			table := closeIdle(t, platform.NewTableClient(platform.ClientOptions{BaseURL: url, CallTimeout: 200 * time.Millisecond}))
			if tc.reused {
				warm(t, table)
			}
			c.Table.Faults.Set(tc.faults)
			_, err := table.Commit(context.Background(), platform.Txn{ID: "t1", Puts: []platform.Put{{Key: "k"}}})
			is.Equal(platform.KindOf(err), tc.kind)
			is.Equal(platform.OutcomeUnknown(err), tc.unknown)
			is.True(hasRemedy(err))
			is.Equal(c.Table.Row("k").TxnID == "t1", tc.applied)
			is.True(c.Table.Counts().Commits <= 1) // never sent twice
		})
	}
}

func TestCommitSettledOverHTTP(t *testing.T) {
	put := platform.Txn{
		ID:     "t1",
		Checks: []platform.Check{{Key: "k"}},
		Puts:   []platform.Put{{Key: "k", Value: []byte("v")}},
	}
	for _, tc := range []struct {
		name      string
		faults    standin.Faults
		txn       platform.Txn
		before    *platform.Txn // committed by another writer
		committed bool
		kind      platform.Kind
	}{
		{name: "no fault", txn: put, committed: true},
		{name: "answer lost", faults: standin.Faults{LoseAnswers: 1}, txn: put, committed: true},
		{name: "three answers lost", faults: standin.Faults{LoseAnswers: 3}, txn: put, committed: true},
		{name: "conflict", txn: put, before: &platform.Txn{ID: "t0", Puts: []platform.Put{{Key: "k"}}}},
		{name: "conflict, answer lost", faults: standin.Faults{LoseAnswers: 1}, txn: put, before: &platform.Txn{ID: "t0", Puts: []platform.Put{{Key: "k"}}}},
		{name: "no witness", txn: platform.Txn{ID: "t1", Puts: []platform.Put{{Key: "k"}}}, kind: platform.KindInvalid},
	} {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			c := startCluster(t, standin.ClusterOptions{})
			if tc.before != nil {
				c.Table.Commit(*tc.before)
			}
			c.Table.Faults.Set(tc.faults)
			result, err := platform.CommitSettled(context.Background(), newTable(t, c), tc.txn)
			if tc.kind != 0 {
				is.Equal(platform.KindOf(err), tc.kind)
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
