package claim

import (
	"context"
	"crypto/rand"
	"errors"
	"time"

	"github.com/charmbracelet/log"
	"google.golang.org/protobuf/proto"

	apiv1 "github.com/ragwortdoor/ragwortdoor/api/ragwortdoor/v1"
	"github.com/ragwortdoor/ragwortdoor/internal/external"
	"github.com/ragwortdoor/ragwortdoor/internal/lease"
	"github.com/ragwortdoor/ragwortdoor/internal/retry"
)

// SweepLease is the name of the lease of the router that deletes old claims.
const SweepLease = "claims"

const (
	// Retention is the age below which a claim is kept. It is far above any
	// difference of clocks and any time that a write can be on its way.
	Retention = 48 * time.Hour

	defaultSweepPeriod = 10 * time.Minute
	sweepBatch         = 64 // rows of one transaction
	sweepPause         = time.Second
)

var errLeaseLost = errors.New("another router sweeps now")

// SweeperOptions configure a Sweeper.
type SweeperOptions struct {
	Table external.TableService
	// Leases proves that this router is the one that sweeps.
	Leases interface {
		Guard(name string) (lease.Guard, bool)
	}
	// Period is the time between two sweeps. Default 10 minutes.
	Period time.Duration
	// Now tells the time; nil takes time.Now.
	Now func() time.Time
	Log *log.Logger
}

// Sweeper deletes the claims that are older than Retention.
type Sweeper struct {
	opts SweeperOptions
	rows map[string]sweepRow // that were read and not deleted, by key
	read int64               // table revision up to which rows were read
}

// sweepRow is what the sweeper keeps of a claim.
type sweepRow struct {
	version int64
	unixMs  int64
}

// NewSweeper makes a sweeper.
func NewSweeper(opts SweeperOptions) *Sweeper {
	if opts.Period <= 0 {
		opts.Period = defaultSweepPeriod
	}
	if opts.Now == nil {
		opts.Now = time.Now
	}
	return &Sweeper{opts: opts, rows: make(map[string]sweepRow)}
}

// Run sweeps until ctx is done.
func (s *Sweeper) Run(ctx context.Context) error {
	ticker := time.NewTicker(s.opts.Period)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		deleted, err := s.sweep(ctx)
		if err != nil {
			s.opts.Log.Warn("sweep of old claims ended early, going on in the next period", "deleted", deleted, "err", err)
		} else if deleted > 0 {
			s.opts.Log.Info("old claims deleted", "deleted", deleted)
		}
	}
}

// sweep deletes the rows that are due, a batch each second, and returns their
// number. It does nothing on a router that does not hold the lease.
func (s *Sweeper) sweep(ctx context.Context) (int, error) {
	if _, held := s.opts.Leases.Guard(SweepLease); !held {
		clear(s.rows)
		s.read = 0
		return 0, nil
	}
	if err := s.readRows(ctx); err != nil {
		return 0, err
	}
	deleted := 0
	for {
		keys := s.due()
		if len(keys) == 0 {
			return deleted, nil
		}
		n, err := s.delete(ctx, keys)
		deleted += n
		if err != nil {
			return deleted, err
		}
		if !retry.Sleep(ctx, sweepPause) {
			return deleted, ctx.Err()
		}
	}
}

// readRows learns the claims that were written since the last sweep.
func (s *Sweeper) readRows(ctx context.Context) error {
	changes, err := s.opts.Table.Changes(ctx, external.ClaimPrefix, s.read)
	if err != nil {
		return err
	}
	for _, row := range changes.Rows {
		claim := &apiv1.ClaimRow{}
		if proto.Unmarshal(row.Value, claim) != nil {
			s.opts.Log.Error("claim can't be decoded, kept", "key", row.Key)
			continue
		}
		s.rows[row.Key] = sweepRow{version: row.Version, unixMs: claim.GetUnixMs()}
	}
	s.read = changes.Revision
	return nil
}

// due returns up to sweepBatch keys of rows that are old enough.
func (s *Sweeper) due() []string {
	before := s.opts.Now().Add(-Retention).UnixMilli()
	var keys []string
	for key, row := range s.rows {
		if row.unixMs < before && len(keys) < sweepBatch {
			keys = append(keys, key)
		}
	}
	return keys
}

// delete deletes the rows of a batch and returns their number. A row that was
// written again since it was read is left to the next sweep, which reads it.
func (s *Sweeper) delete(ctx context.Context, keys []string) (int, error) {
	guard, held := s.opts.Leases.Guard(SweepLease)
	if !held {
		return 0, errLeaseLost
	}
	txn := external.Txn{ID: "sweep-" + rand.Text(), Checks: []external.Check{guard.Check}}
	for _, key := range keys {
		txn.Checks = append(txn.Checks, external.Check{Key: key, Version: s.rows[key].version})
		txn.Deletes = append(txn.Deletes, key)
	}
	result, err := s.opts.Table.Commit(ctx, txn)
	if err != nil {
		return 0, err
	}
	if result.Committed {
		s.forget(keys)
		return len(keys), nil
	}
	for _, row := range result.Conflicts {
		if row.Key == guard.Check.Key {
			return 0, errLeaseLost
		}
		delete(s.rows, row.Key)
	}
	return 0, nil
}

func (s *Sweeper) forget(keys []string) {
	for _, key := range keys {
		delete(s.rows, key)
	}
}
