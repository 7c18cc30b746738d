package agent

import (
	"context"
	"time"

	apiv1 "github.com/ragwortdoor/ragwortdoor/api/ragwortdoor/v1"
	"github.com/ragwortdoor/ragwortdoor/internal/agent/planner"
)

// decision ends the wait of a request: exactly one of its fields is set.
type decision struct {
	grant   *planner.Grant
	refusal *apiv1.Refusal
}

// apply carries out the planner's actions. The lock must be held; nothing here
// blocks.
func (a *Agent) apply(actions []planner.Action) {
	for len(actions) > 0 {
		next := actions[0]
		actions = append(actions[1:], a.applyOne(next)...)
	}
	a.notify()
}

// applyOne returns the further actions that an action leads to.
func (a *Agent) applyOne(action planner.Action) []planner.Action {
	switch action := action.(type) {
	case planner.SendOrder:
		a.startOrder(action)
	case planner.AbortOrder:
		if abort := a.aborts[action.Order]; abort != nil {
			abort()
		}
	case planner.AskPermit:
		return a.askPermit(action)
	case planner.DropPermit:
		a.dropPermit(action)
	case planner.ReadInventory:
		a.doubtInventory()
	case planner.WakeAt:
		a.scheduleWake(action.Time)
	case planner.Grant:
		a.decide(action.Request, decision{grant: &action})
	case planner.Refuse:
		a.decide(action.Request, decision{refusal: action.Refusal})
	case planner.Released:
		if ch := a.releases[action.Release]; ch != nil {
			delete(a.releases, action.Release)
			ch <- action // buffered
		}
	}
	return nil
}

func (a *Agent) decide(id uint64, d decision) {
	if ch := a.requests[id]; ch != nil {
		delete(a.requests, id)
		ch <- d // buffered
	}
}

// scheduleWake keeps one timer, for the earliest time that is asked for.
func (a *Agent) scheduleWake(at time.Time) {
	if a.runCtx == nil || (a.wake != nil && !at.Before(a.wakeAt)) {
		return
	}
	if a.wake != nil {
		a.wake.Stop()
	}
	a.wakeAt = at
	a.wake = time.AfterFunc(at.Sub(a.opts.Clock.Now()), func() {
		a.do(func(now time.Time) []planner.Action {
			a.wake = nil
			return a.planner.Wake(now)
		})
	})
}

func (a *Agent) startOrder(action planner.SendOrder) {
	ctx := a.runCtx
	if ctx == nil {
		return // stopping: the next process decides anew
	}
	a.orders.Go(func() { a.runOrder(ctx, action) })
}

func (a *Agent) forgetAbort(order uint64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.aborts, order)
}

func (a *Agent) runOrder(ctx context.Context, action planner.SendOrder) {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	a.mu.Lock()
	a.aborts[action.Order] = cancel
	order, ok, actions := a.planner.Begin(a.opts.Clock.Now(), action.Order)
	a.apply(actions)
	a.mu.Unlock()
	defer a.forgetAbort(action.Order)
	if !ok {
		a.opts.Log.Info("order dropped", "host", a.opts.Host, "reason", "the slot is no longer assigned")
		return
	}
	a.opts.Log.Info("order", "host", a.opts.Host, "kind", order.Kind, "model", order.Model,
		"adapter", order.Adapter, "version", order.Version, "epoch", order.Epoch, "reason", action.Reason)
	began := a.opts.Clock.Now()
	err := a.opts.Engine.Do(ctx, order)
	took := a.opts.Clock.Now().Sub(began)
	if err != nil {
		a.opts.Log.Warn("order failed", "host", a.opts.Host, "kind", order.Kind, "model", order.Model,
			"adapter", order.Adapter, "took", took, "err", err)
	} else {
		a.opts.Log.Info("order done", "host", a.opts.Host, "kind", order.Kind, "model", order.Model,
			"adapter", order.Adapter, "took", took)
	}
	a.do(func(now time.Time) []planner.Action { return a.planner.End(now, action.Order, err) })
}
