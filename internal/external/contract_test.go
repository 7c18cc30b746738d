package external_test

import (
	"context"
	"testing"

	"github.com/matryer/is"

	"github.com/ragwortdoor/ragwortdoor/internal/external"
	"github.com/ragwortdoor/ragwortdoor/internal/standin"
)

func TestTableContract(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	table := newTable(t, startCluster(t, standin.ClusterOptions{}))

	row, err := table.Get(ctx, "live/a b?&")
	is.NoErr(err)
	is.Equal(row, external.Row{Key: "live/a b?&"}) // absent

	binary := []byte{0, 0xff, '\n'}
	first, err := table.Commit(ctx, external.Txn{
		ID:     "t1",
		Checks: []external.Check{{Key: "live/a b?&"}},
		Puts:   []external.Put{{Key: "live/a b?&", Value: binary}, {Key: "other/x"}},
	})
	is.NoErr(err)
	is.True(first.Committed)
	row, err = table.Get(ctx, "live/a b?&")
	is.NoErr(err)
	is.Equal(row, external.Row{Key: "live/a b?&", Value: binary, Version: first.Version, TxnID: "t1"})

	conflict, err := table.Commit(ctx, external.Txn{
		ID:     "t2",
		Checks: []external.Check{{Key: "live/a b?&"}, {Key: "other/x", Version: first.Version}, {Key: "gone", Version: 7}},
		Puts:   []external.Put{{Key: "other/x", Value: binary}},
	})
	is.NoErr(err)
	is.Equal(conflict, external.TxnResult{Conflicts: []external.Row{row, {Key: "gone"}}}) // reports every failed check and writes nothing

	second, err := table.Commit(ctx, external.Txn{ID: "t3", Puts: []external.Put{{Key: "live/b"}}, Deletes: []string{"other/x"}})
	is.NoErr(err)
	is.True(second.Version > first.Version)
	row, err = table.Get(ctx, "other/x")
	is.NoErr(err)
	is.Equal(row.Version, int64(0))

	all, err := table.Changes(ctx, "live/", 0)
	is.NoErr(err)
	is.Equal(len(all.Rows), 2)
	is.Equal(all.Revision, second.Version)
	later, err := table.Changes(ctx, "live/", first.Version)
	is.NoErr(err)
	is.Equal(len(later.Rows), 1)
	is.Equal(later.Rows[0].Key, "live/b")

	_, err = table.Commit(ctx, external.Txn{Puts: []external.Put{{Key: "live/c"}}})
	is.Equal(external.KindOf(err), external.KindInvalid) // no id
	is.Equal(external.OutcomeUnknown(err), false)
}

func TestObjectContract(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	c := startCluster(t, standin.ClusterOptions{})
	objects := closeIdle(t, external.NewObjectClient(external.ClientOptions{BaseURL: c.ObjectURL}))

	_, err := objects.Get(ctx, "sets/none")
	is.Equal(external.KindOf(err), external.KindNotFound)

	body := []byte{0, 1, 2}
	is.NoErr(objects.Put(ctx, "sets/a b", body))
	is.NoErr(objects.Put(ctx, "sets/a b", body)) // idempotent
	is.NoErr(objects.Put(ctx, "sets/empty", nil))
	is.NoErr(objects.Put(ctx, "waits/1", body))
	err = objects.Put(ctx, "sets/a b", []byte("other"))
	is.Equal(external.KindOf(err), external.KindInvalid) // immutable

	got, err := objects.Get(ctx, "sets/a b")
	is.NoErr(err)
	is.Equal(got, body)
	got, err = objects.Get(ctx, "sets/empty")
	is.NoErr(err)
	is.Equal(len(got), 0)
	keys, err := objects.List(ctx, "sets/")
	is.NoErr(err)
	is.Equal(keys, []string{"sets/a b", "sets/empty"})

	c.Objects.Faults.Set(standin.Faults{LoseResponses: 1})
	is.NoErr(objects.Put(ctx, "waits/2", body)) // retried after a lost response
}

func TestHostListContract(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	c := startCluster(t, standin.ClusterOptions{})
	hosts := closeIdle(t, external.NewHostListClient(external.ClientOptions{BaseURL: c.HostListURL}))

	c.Hosts.Add(external.Host{ID: "h1", Role: external.RoleUpstream, Address: "127.0.0.1:1"})
	c.Hosts.Add(external.Host{ID: "h2", Role: external.RoleRouter})
	c.Hosts.Drain("h1")
	before, err := hosts.Hosts(ctx)
	is.NoErr(err)
	is.Equal(len(before.Hosts), 2)
	is.Equal(before.Hosts[0].State, external.HostDraining)

	c.Hosts.SetConfig(standin.HostListConfig{LagMS: 60_000})
	c.Hosts.Remove("h1")
	lagging, err := hosts.Hosts(ctx)
	is.NoErr(err)
	is.Equal(len(lagging.Hosts), 0) // the list as of a minute ago

	c.Hosts.SetConfig(standin.HostListConfig{})
	after, err := hosts.Hosts(ctx)
	is.NoErr(err)
	is.Equal(len(after.Hosts), 1)
	is.True(after.Revision > before.Revision)
}
