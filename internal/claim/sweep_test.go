package claim

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	apiv1 "github.com/ragwortdoor/ragwortdoor/api/ragwortdoor/v1"
	"github.com/ragwortdoor/ragwortdoor/internal/external"
	"github.com/ragwortdoor/ragwortdoor/internal/lease"
	"github.com/ragwortdoor/ragwortdoor/internal/tabletest"
)

// heldLease is a lease that a test holds or not.
type heldLease struct {
	held  bool
	check external.Check
}

func (l *heldLease) Guard(string) (lease.Guard, bool) {
	return lease.Guard{Epoch: 1, Check: l.check}, l.held
}

func putClaim(t *testing.T, table *tabletest.Table, key string, at time.Time, version int64) int64 {
	t.Helper()
	value, err := proto.Marshal(&apiv1.ClaimRow{RequestId: key, UnixMs: at.UnixMilli(), State: apiv1.ClaimState_CLAIM_STATE_DONE})
	if err != nil {
		t.Fatal(err)
	}
	result, err := table.Commit(context.Background(), external.Txn{
		ID: fmt.Sprint(key, version), Checks: []external.Check{{Key: key, Version: version}}, Puts: []external.Put{{Key: key, Value: value}},
	})
	if err != nil || !result.Committed {
		t.Fatal(result, err)
	}
	return result.Version
}

func TestSweepDeletesOnlyOldClaims(t *testing.T) {
	start := time.UnixMilli(1_700_000_000_000)
	old, young := external.ClaimKey("s", "old"), external.ClaimKey("s", "young")
	for _, tc := range []struct {
		name      string
		held      bool
		epochGone bool // another router took the lease over
		rewritten bool // the old row was written again after the sweeper read it
		down      bool
		wantOld   bool
	}{
		{name: "old one goes", held: true},
		{name: "not the sweeper", wantOld: true},
		{name: "lease lost in between", held: true, epochGone: true, wantOld: true},
		{name: "written again", held: true, rewritten: true, wantOld: true},
		{name: "table down", held: true, down: true, wantOld: true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			ctx := context.Background()
			table := tabletest.New()
			now := start
			version := putClaim(t, table, old, now, 0)
			guard := &heldLease{held: tc.held, check: external.Check{Key: external.EpochKey(SweepLease)}}
			s := NewSweeper(SweeperOptions{Table: table, Leases: guard, Now: func() time.Time { return now }})
			_, err := s.sweep(ctx)
			is.NoErr(err)
			now = now.Add(Retention + time.Minute)
			putClaim(t, table, young, now, 0)
			if tc.epochGone {
				putClaim(t, table, external.EpochKey(SweepLease), now, 0)
			}
			if tc.rewritten {
				putClaim(t, table, old, now, version)
			}
			if tc.down {
				table.SetFault(tabletest.Down)
			}
			_, err = s.sweep(ctx)
			is.Equal(err != nil, tc.epochGone || tc.down)
			table.SetFault(tabletest.None)
			row, err := table.Get(ctx, old)
			is.NoErr(err)
			is.Equal(row.Version != 0, tc.wantOld)
			row, err = table.Get(ctx, young)
			is.NoErr(err)
			is.True(row.Version != 0)
		})
	}
}
