package claim

import (
	"math/rand/v2"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	apiv1 "github.com/ragwortdoor/ragwortdoor/api/ragwortdoor/v1"
	"github.com/ragwortdoor/ragwortdoor/internal/external"
)

func (w *writer) succeeded() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.pause = 0
	w.resume = time.Time{}
}

func (w *writer) written(batch []*op, version int64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, o := range batch {
		w.deliver(o, opResult{version: version})
	}
}

// deliver ends an op. A claim that was written though nobody waits for it any
// more was never sent, so its key is freed.
func (w *writer) deliver(o *op, res opResult) {
	claimed := res.err == nil && res.existing == nil
	if claimed && o.abandoned && !o.final() {
		w.addFinal(newOp(o.key, res.version, notRun(o.row)))
	}
	o.deliver(res)
}

func notRun(claimed *apiv1.ClaimRow) *apiv1.ClaimRow {
	row := proto.CloneOf(claimed)
	row.State = apiv1.ClaimState_CLAIM_STATE_NOT_RUN
	return row
}

// conflicted settles the ops whose checks failed and returns those that are to
// be written again.
func (w *writer) conflicted(batch []*op, conflicts []external.Row) []*op {
	present := make(map[string]external.Row, len(conflicts))
	for _, row := range conflicts {
		present[row.Key] = row
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	var again []*op
	for _, o := range batch {
		row, failed := present[o.key]
		if !failed {
			again = append(again, o)
			continue
		}
		outcome, existing := settle(o, row)
		switch outcome {
		case settleWritten:
			w.deliver(o, opResult{version: row.Version})
		case settleExisting:
			w.deliver(o, opResult{version: row.Version, existing: existing})
		case settleAgain:
			again = append(again, o)
		}
	}
	return again
}

// failed handles a transaction without an answer.
func (w *writer) failed(batch []*op, err error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if external.KindOf(err) == external.KindInvalid {
		w.invalid(batch, err)
		return
	}
	w.backOff()
	w.refuseWaiting(err)
	var again []*op
	for _, o := range batch {
		if o = w.afterFailure(o, err); o != nil {
			again = append(again, o)
		}
	}
	w.requeue(again)
}

// refuseWaiting ends the claims that were not written yet.
func (w *writer) refuseWaiting(err error) {
	w.pending = slices.DeleteFunc(w.pending, func(o *op) bool {
		if o.final() || o.unsettled {
			return false
		}
		w.count(o, -1)
		o.deliver(opResult{err: unavailable(w.pause, err)})
		return true
	})
}

// backOff delays the next transaction, longer with each failure in a row.
func (w *writer) backOff() {
	w.pause = min(max(2*w.pause, pauseMin), pauseMax)
	jittered := w.pause/2 + rand.N(w.pause)
	w.resume = w.opts.Now().Add(jittered)
}

// afterFailure returns the op that goes on after a transaction without an
// answer, or nil.
func (w *writer) afterFailure(o *op, err error) *op {
	o.unsettled = o.unsettled || external.OutcomeUnknown(err)
	o.tries++
	switch {
	case o.final():
		return o
	case !o.unsettled:
		o.deliver(opResult{err: unavailable(w.pause, err)})
		return nil
	case o.tries < claimTries && !o.abandoned:
		return o
	default:
		return w.freeUnsettled(o, err)
	}
}

// freeUnsettled gives up a claim that may have been written. The op that takes
// its place writes NOT_RUN under the same check: either it comes first, and a
// late write of the claim fails, or it finds the claim and changes it.
func (w *writer) freeUnsettled(o *op, err error) *op {
	if !o.abandoned {
		o.deliver(opResult{err: unavailable(w.pause, err)})
	} else {
		o.deliver(opResult{err: errAbandoned})
	}
	free := newOp(o.key, o.check, notRun(o.row))
	if w.full(free) {
		return nil
	}
	return free
}

// invalid finds the op that the table refuses by writing each one alone.
func (w *writer) invalid(batch []*op, err error) {
	if len(batch) == 1 {
		batch[0].deliver(opResult{err: &Error{Kind: KindInvalid, Err: err}})
		return
	}
	for _, o := range batch {
		o.alone = true
	}
	w.requeue(batch)
}
