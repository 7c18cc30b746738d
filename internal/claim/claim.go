// Package claim records, in the table service, which calls of plain services
// were started under an idempotency key, so that a call runs at most once
// through any router and a repeat gets the stored outcome.
//
// A claim is a row that is created before the call is sent. Only the router
// that created it changes it: to DONE, UNKNOWN or, when the call was certainly
// not sent, NOT_RUN. Each row names the request that wrote it, so that a write
// whose answer was lost can be repeated: a conflict with the own row means that
// the earlier write took effect. This holds as long as nobody deletes a row
// while a write of it may still be on its way.
package claim

import (
	"context"
	"sync"
	"time"

	"github.com/charmbracelet/log"
	"golang.org/x/time/rate"
	"google.golang.org/protobuf/proto"

	apiv1 "github.com/ragwortdoor/ragwortdoor/api/ragwortdoor/v1"
	"github.com/ragwortdoor/ragwortdoor/internal/external"
)

const (
	// Timeout is the age at which a row that is still CLAIMED is answered as
	// unknown: its router has died or can't reach the table. The age is taken by
	// the clocks of two routers; a difference between them changes only how long
	// a repeat waits.
	Timeout = 60 * time.Second
	// MaxBodyBytes bounds a stored body. A longer one is left out.
	MaxBodyBytes = 64 << 10

	defaultMaxBatch   = 64 // rows
	defaultFlushEvery = 20 * time.Millisecond
	claimWait         = time.Second // longest wait for the write of a claim
	finishWait        = time.Second // longest wait for the write of an outcome
	awaitReadsPerSec  = 20
)

// Options configure a Store.
type Options struct {
	Table external.TableService
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

func (o Options) withDefaults() Options {
	if o.Now == nil {
		o.Now = time.Now
	}
	if o.Log == nil {
		o.Log = log.Default()
	}
	if o.MaxBatch <= 0 {
		o.MaxBatch = defaultMaxBatch
	}
	if o.FlushEvery <= 0 {
		o.FlushEvery = defaultFlushEvery
	}
	return o
}

// Store claims calls and stores their outcomes.
type Store struct {
	opts   Options
	writer *writer
	reads  *rate.Limiter // of Await

	mu sync.Mutex
	// running holds the claims of this process until their outcome is stored,
	// by table key.
	running map[string]*Claimed
}

// New makes a store. Run must run for claims to be written.
func New(opts Options) *Store {
	opts = opts.withDefaults()
	return &Store{
		opts:    opts,
		writer:  newWriter(opts),
		reads:   rate.NewLimiter(awaitReadsPerSec, awaitReadsPerSec),
		running: make(map[string]*Claimed),
	}
}

// Run writes claims and outcomes until ctx is done.
func (s *Store) Run(ctx context.Context) error { return s.writer.run(ctx) }

// Pending returns the number of rows that wait to be written.
func (s *Store) Pending() int { return s.writer.len() }

// Lost counts outcomes that were given up because too many waited. Repeats of
// their calls are answered as unknown.
func (s *Store) Lost() int64 { return s.writer.lost.Load() }

// Claimed is the right to send one call. End it with Finish.
type Claimed struct {
	key     string // of the table
	version int64
	row     *apiv1.ClaimRow

	done    chan struct{} // closed by Finish
	outcome *apiv1.ClaimRow
}

// Result is the outcome of Claim: exactly one field is set.
type Result struct {
	// Claimed is set when the caller may send the call.
	Claimed *Claimed
	// Existing is the row of an earlier call under the same key. Its state is
	// CLAIMED while that call runs; see Await.
	Existing *apiv1.ClaimRow
}

// Claim asks for the right to send a call. requestID must be unique for each
// call of Claim. After an error the call must not be sent; the key is freed in
// the background. Errors are of type *Error.
func (s *Store) Claim(ctx context.Context, service, key, requestID string, fingerprint uint64) (Result, error) {
	tableKey := external.ClaimKey(service, key)
	if row := s.known(tableKey); row != nil {
		return Result{Existing: row}, nil
	}
	ctx, cancel := context.WithTimeout(ctx, claimWait)
	defer cancel()
	row := &apiv1.ClaimRow{
		RequestId:   requestID,
		Router:      s.opts.Router,
		Fingerprint: fingerprint,
		State:       apiv1.ClaimState_CLAIM_STATE_CLAIMED,
		UnixMs:      s.opts.Now().UnixMilli(),
	}
	o, err := s.write(ctx, newOp(tableKey, 0, row))
	if err == nil && reclaimable(o.existing, fingerprint) {
		o, err = s.write(ctx, newOp(tableKey, o.version, row))
	}
	switch {
	case err != nil:
		return Result{}, err
	case o.existing != nil:
		return Result{Existing: o.existing}, nil
	default:
		return Result{Claimed: s.start(tableKey, o.version, row)}, nil
	}
}

// reclaimable reports whether a row allows the same call to be claimed again.
func reclaimable(row *apiv1.ClaimRow, fingerprint uint64) bool {
	return row.GetState() == apiv1.ClaimState_CLAIM_STATE_NOT_RUN && row.GetFingerprint() == fingerprint
}

// write submits an op and waits for its result. An op whose result does not
// come in time is abandoned.
func (s *Store) write(ctx context.Context, o *op) (opResult, error) {
	if err := s.writer.submitClaim(o); err != nil {
		return opResult{}, err
	}
	select {
	case res := <-o.done:
		return res, res.err
	case <-ctx.Done():
	}
	if s.writer.abandon(o) {
		return opResult{}, unavailable(s.writer.retryAfter(), ctx.Err())
	}
	res := <-o.done
	return res, res.err
}

func (s *Store) start(tableKey string, version int64, row *apiv1.ClaimRow) *Claimed {
	c := &Claimed{key: tableKey, version: version, row: row, done: make(chan struct{})}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running[tableKey] = c
	return c
}

func (s *Store) runningClaim(tableKey string) *Claimed {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.running[tableKey]
}

// known returns what this process knows of a key better than the table, or nil.
// A key that is free again is left to the table: the outcome that frees it is
// written before the next claim.
func (s *Store) known(tableKey string) *apiv1.ClaimRow {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.running[tableKey]
	switch {
	case c == nil || c.outcome.GetState() == apiv1.ClaimState_CLAIM_STATE_NOT_RUN:
		return nil
	case c.outcome != nil:
		return c.outcome
	default:
		return c.row
	}
}

// Outcome is how a claimed call ended.
type Outcome struct {
	State   apiv1.ClaimState
	Status  uint32
	Headers []*apiv1.Header
	Body    []byte
	// BodyCut is true when Body is not the whole body.
	BodyCut bool
}

// Finish stores the outcome of a claimed call; its state is DONE, UNKNOWN or
// NOT_RUN. When it can't be written in time Finish returns an *Error and goes
// on in the background: the caller may be answered, and repeats through other
// routers find the claim still open.
func (s *Store) Finish(ctx context.Context, c *Claimed, outcome Outcome) error {
	row := finalRow(c.row, outcome, s.opts.Now())
	o := newOp(c.key, c.version, row)
	o.ended = func() { s.forget(c) }
	accepted := s.writer.submitFinal(o)
	s.finish(c, row)
	if !accepted {
		s.forget(c)
		return overloaded()
	}
	ctx, cancel := context.WithTimeout(ctx, finishWait)
	defer cancel()
	select {
	case res := <-o.done:
		return res.err
	case <-ctx.Done():
		return unavailable(s.writer.retryAfter(), ctx.Err())
	}
}

// finish wakes those that wait for the outcome in this process. The op of the
// outcome was submitted before, so that a new claim of the key is written
// after it.
func (s *Store) finish(c *Claimed, row *apiv1.ClaimRow) {
	s.mu.Lock()
	defer s.mu.Unlock()
	c.outcome = row
	close(c.done)
}

// forget drops a claim whose outcome is stored. The key may have been claimed
// anew since.
func (s *Store) forget(c *Claimed) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.running[c.key] == c {
		delete(s.running, c.key)
	}
}

func finalRow(claimed *apiv1.ClaimRow, outcome Outcome, now time.Time) *apiv1.ClaimRow {
	row := proto.CloneOf(claimed)
	row.State = outcome.State
	row.Status = outcome.Status
	row.Headers = outcome.Headers
	row.Body = outcome.Body
	row.UnixMs = now.UnixMilli()
	if outcome.BodyCut || len(row.Body) > MaxBodyBytes {
		row.Body = nil
		row.BodyOmitted = true
	}
	return row
}
