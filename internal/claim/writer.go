package claim

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/ragwortdoor/ragwortdoor/internal/external"
	"github.com/ragwortdoor/ragwortdoor/internal/retry"
)

const (
	maxClaims  = 4096     // claims that wait to be written
	maxFinals  = 16384    // outcomes that wait to be written
	maxBytes   = 16 << 20 // bodies of outcomes that wait to be written
	maxRounds  = 8        // transactions in a row for one batch
	claimTries = 3        // writes of a claim without an answer

	commitTimeout = 2 * time.Second

	pauseMin = 100 * time.Millisecond // after a failed transaction
	pauseMax = time.Second
)

// writer writes ops in batches, one transaction at a time, so that many claims
// cost one write of the table (group commit).
type writer struct {
	opts Options
	boot string
	lost atomic.Int64
	wake chan struct{}

	mu      sync.Mutex
	pending []*op // in order of submission
	claims  int   // of pending, those that are not final
	bytes   int   // bodies of pending
	serial  uint64
	busy    bool          // a transaction runs
	pause   time.Duration // grows with each failure in a row; 0 after a success
	resume  time.Time     // no transaction starts earlier
}

func newWriter(opts Options) *writer {
	return &writer{
		opts: opts,
		boot: strconv.FormatUint(rand.Uint64(), 36),
		wake: make(chan struct{}, 1),
	}
}

func (w *writer) len() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.pending)
}

// submitClaim queues a claim. After a failed write it refuses at once, except
// for one claim at a time that finds out whether the table is back.
func (w *writer) submitClaim(o *op) *Error {
	w.mu.Lock()
	defer w.mu.Unlock()
	wait := w.resume.Sub(w.opts.Now())
	probing := w.busy || len(w.pending) > 0
	if wait > 0 || (w.pause > 0 && probing) {
		return unavailable(max(wait, pauseMin), errLastWrite)
	}
	if w.claims >= maxClaims {
		return overloaded()
	}
	w.add(o)
	return nil
}

// submitFinal queues an outcome. It reports false when too many wait.
func (w *writer) submitFinal(o *op) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.addFinal(o)
}

func (w *writer) addFinal(o *op) bool {
	if w.full(o) {
		return false
	}
	w.add(o)
	return true
}

// full reports whether too many outcomes wait for another one to be kept.
func (w *writer) full(o *op) bool {
	if len(w.pending)-w.claims < maxFinals && w.bytes+len(o.row.GetBody()) <= maxBytes {
		return false
	}
	w.lost.Add(1)
	w.opts.Log.Error("claim outcome dropped, repeats are answered as unknown", "key", o.key, "request_id", o.row.GetRequestId())
	return true
}

func (w *writer) add(o *op) {
	w.pending = append(w.pending, o)
	w.count(o, 1)
	select {
	case w.wake <- struct{}{}:
	default:
	}
}

func (w *writer) count(o *op, n int) {
	w.bytes += n * len(o.row.GetBody())
	if !o.final() {
		w.claims += n
	}
}

// abandon gives up a claim that nobody waits for. It reports false when the
// result is already there.
func (w *writer) abandon(o *op) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if o.finished {
		return false
	}
	o.abandoned = true
	return true
}

// retryAfter is when a write may succeed.
func (w *writer) retryAfter() time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	return max(w.resume.Sub(w.opts.Now()), pauseMin)
}

func (w *writer) run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-w.wake:
		}
		for w.len() > 0 {
			w.flush(ctx)
			if !retry.Sleep(ctx, w.gap()) {
				return nil
			}
		}
	}
}

// gap is the time until the next transaction may start.
func (w *writer) gap() time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	return max(w.opts.FlushEvery, w.resume.Sub(w.opts.Now()))
}

// flush writes one batch: the ops whose checks fail are settled, and the rest
// is written again without them.
func (w *writer) flush(ctx context.Context) {
	batch := w.take()
	defer w.idle()
	for round := 0; len(batch) > 0; round++ {
		if round == maxRounds {
			w.putBack(batch)
			return
		}
		res, err := w.commit(ctx, batch)
		if err != nil {
			w.failed(batch, err)
			return
		}
		w.succeeded()
		if res.Committed {
			w.written(batch, res.Version)
			return
		}
		batch = w.conflicted(batch, res.Conflicts)
	}
}

// commit bounds the wait for one transaction, since claims wait behind it.
func (w *writer) commit(ctx context.Context, batch []*op) (external.TxnResult, error) {
	ctx, cancel := context.WithTimeout(ctx, commitTimeout)
	defer cancel()
	return w.opts.Table.Commit(ctx, w.txn(batch))
}

func (w *writer) idle() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.busy = false
}

// take removes the first ops of distinct keys from pending. Claims that were
// abandoned before their first write are dropped.
func (w *writer) take() []*op {
	w.mu.Lock()
	defer w.mu.Unlock()
	var batch, rest []*op
	seen := make(map[string]bool)
	for _, o := range w.pending {
		if o.abandoned && !o.unsettled && !o.final() {
			w.count(o, -1)
			o.deliver(opResult{err: errAbandoned})
			continue
		}
		if seen[o.key] || len(batch) == w.opts.MaxBatch || (len(batch) > 0 && (o.alone || batch[0].alone)) {
			rest = append(rest, o)
			seen[o.key] = true // keeps the order of writes of one key
			continue
		}
		seen[o.key] = true
		batch = append(batch, o)
		w.count(o, -1)
	}
	w.pending = rest
	w.busy = true
	return batch
}

func (w *writer) putBack(batch []*op) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.requeue(batch)
}

func (w *writer) requeue(batch []*op) {
	for _, o := range batch {
		w.count(o, 1)
	}
	w.pending = slices.Concat(batch, w.pending)
}

func (w *writer) txn(batch []*op) external.Txn {
	w.mu.Lock()
	w.serial++
	txn := external.Txn{ID: fmt.Sprintf("%s/claim/%s/%d", w.opts.Router, w.boot, w.serial)}
	w.mu.Unlock()
	for _, o := range batch {
		txn.Checks = append(txn.Checks, external.Check{Key: o.key, Version: o.check})
		txn.Puts = append(txn.Puts, external.Put{Key: o.key, Value: o.value})
	}
	return txn
}
