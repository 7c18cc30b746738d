package claim

import (
	"context"
	"time"

	"github.com/cenkalti/backoff/v5"
	"google.golang.org/protobuf/proto"

	apiv1 "github.com/ragwortdoor/ragwortdoor/api/ragwortdoor/v1"
	"github.com/ragwortdoor/ragwortdoor/internal/external"
	"github.com/ragwortdoor/ragwortdoor/internal/retry"
)

const (
	awaitMin = 25 * time.Millisecond // between two reads of a row
	awaitMax = 500 * time.Millisecond
)

// Await waits until a call that another request has claimed has an outcome. It
// returns the row as last seen: its state is still CLAIMED when ctx is done or
// when the row is older than Timeout, and the outcome is then unknown.
func (s *Store) Await(ctx context.Context, service, key string, row *apiv1.ClaimRow) *apiv1.ClaimRow {
	tableKey := external.ClaimKey(service, key)
	pause := backoff.NewExponentialBackOff()
	pause.InitialInterval = awaitMin
	pause.MaxInterval = awaitMax
	for s.open(row) {
		if running := s.runningClaim(tableKey); running != nil {
			return s.awaitHere(ctx, running)
		}
		if !retry.Sleep(ctx, pause.NextBackOff()) || s.reads.Wait(ctx) != nil {
			return row
		}
		row = s.read(ctx, tableKey, row)
	}
	return row
}

func (s *Store) open(row *apiv1.ClaimRow) bool {
	age := s.opts.Now().Sub(time.UnixMilli(row.GetUnixMs()))
	return row.GetState() == apiv1.ClaimState_CLAIM_STATE_CLAIMED && age < Timeout
}

// awaitHere waits for a call of this process, also while the table is down.
func (s *Store) awaitHere(ctx context.Context, c *Claimed) *apiv1.ClaimRow {
	select {
	case <-c.done:
		return c.outcome
	case <-ctx.Done():
		return c.row
	}
}

// read returns the row in the table, or last when it can't be read.
func (s *Store) read(ctx context.Context, tableKey string, last *apiv1.ClaimRow) *apiv1.ClaimRow {
	present, err := s.opts.Table.Get(ctx, tableKey)
	if err != nil || present.Version == 0 {
		return last
	}
	row := &apiv1.ClaimRow{}
	if proto.Unmarshal(present.Value, row) != nil {
		return unreadable()
	}
	return row
}
