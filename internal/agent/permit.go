package agent

import (
	"time"

	apiv1 "github.com/ragwortdoor/ragwortdoor/api/ragwortdoor/v1"
	"github.com/ragwortdoor/ragwortdoor/internal/agent/planner"
)

// permitPatience is how many permit timeouts a load waits for a router that has
// not answered after others said that they hold no permits.
const permitPatience = 10

// permitRepeat is the period at which a queued load asks its allocator again. A
// router that lost the allocator's lease has lost the queue as well.
const permitRepeat = 2 * time.Second

// permitAsk is one load that waits for a permit.
type permitAsk struct {
	request *apiv1.PermitRequest
	// silent holds the watchers that have not answered.
	silent map[*watcher]struct{}
	// answered is true once a router said that it keeps no permits.
	answered bool
	// queued is true once the allocator has said that the load is in its queue.
	queued bool
	// allocator is the watcher that said so.
	allocator *watcher
	timer     *time.Timer
}

// askPermit sends a permit request on every watch. The lock must be held, as
// for the other functions of this file that say nothing else.
func (a *Agent) askPermit(action planner.AskPermit) []planner.Action {
	request := &apiv1.PermitRequest{Id: action.Load, Model: action.Model, Priority: action.Priority}
	if open := a.permits[action.Load]; open != nil {
		a.raisePermit(open, request)
		return nil
	}
	ask := &permitAsk{request: request, silent: make(map[*watcher]struct{})}
	a.permits[action.Load] = ask
	return a.askAll(a.opts.Clock.Now(), ask)
}

// raisePermit sends an open request once more, with a higher priority.
func (a *Agent) raisePermit(ask *permitAsk, request *apiv1.PermitRequest) {
	ask.request = request
	if ask.queued {
		ask.allocator.ask(request) // does nothing when its watch has ended
		return
	}
	for w := range ask.silent {
		w.ask(request)
	}
}

// askAll sends a request on every watch and waits for the answers.
func (a *Agent) askAll(now time.Time, ask *permitAsk) []planner.Action {
	for w := range a.watchers {
		ask.silent[w] = struct{}{}
		w.ask(ask.request)
	}
	if len(ask.silent) == 0 {
		return a.noPermit(now, ask)
	}
	a.armPermit(ask, a.opts.PermitTimeout, false)
	return nil
}

// askAgain looks for another allocator than the one that queued the load.
func (a *Agent) askAgain(now time.Time, ask *permitAsk) []planner.Action {
	ask.timer.Stop()
	ask.queued = false
	ask.allocator = nil
	ask.answered = false
	clear(ask.silent)
	return a.askAll(now, ask)
}

// armRepeat asks the allocator of a queued load from time to time whether it still
// keeps it. An allocator ignores the repeats of a load that waits.
func (a *Agent) armRepeat(ask *permitAsk) {
	ask.timer.Stop()
	ask.timer = time.AfterFunc(permitRepeat, func() {
		a.do(func(now time.Time) []planner.Action { return a.repeatPermit(now, ask) })
	})
}

func (a *Agent) repeatPermit(now time.Time, ask *permitAsk) []planner.Action {
	if a.permits[ask.request.GetId()] != ask || a.runCtx == nil || !ask.queued {
		return nil
	}
	if _, watches := a.watchers[ask.allocator]; !watches {
		return a.askAgain(now, ask)
	}
	ask.allocator.ask(ask.request)
	a.armRepeat(ask)
	return nil
}

func (a *Agent) armPermit(ask *permitAsk, wait time.Duration, last bool) {
	ask.timer = time.AfterFunc(wait, func() {
		a.do(func(now time.Time) []planner.Action { return a.permitTimeout(now, ask, last) })
	})
}

func (a *Agent) permitTimeout(now time.Time, ask *permitAsk, last bool) []planner.Action {
	if a.permits[ask.request.GetId()] != ask || a.runCtx == nil || ask.queued {
		return nil
	}
	if ask.answered && !last {
		a.armPermit(ask, (permitPatience-1)*a.opts.PermitTimeout, true)
		return nil
	}
	return a.noPermit(now, ask)
}

func (a *Agent) noPermit(now time.Time, ask *permitAsk) []planner.Action {
	if ask.timer != nil {
		ask.timer.Stop()
	}
	delete(a.permits, ask.request.GetId())
	a.opts.Log.Info("load without permit", "host", a.opts.Host, "model", ask.request.GetModel(),
		"reason", "no permit allocator answered")
	return a.planner.NoPermit(now, ask.request.GetId())
}

// permitAnswer takes a router's answer. It takes the lock.
func (a *Agent) permitAnswer(w *watcher, answer *apiv1.LoadPermit) {
	a.do(func(now time.Time) []planner.Action {
		ask := a.permits[answer.GetId()]
		switch {
		case ask == nil:
			return nil
		case answer.GetNoAllocator() && ask.queued && ask.allocator == w:
			return a.askAgain(now, ask)
		case answer.GetNoAllocator():
			ask.answered = true
			return a.permitSilent(now, ask, w)
		case answer.GetQueued():
			ask.queued = true
			ask.allocator = w
			a.armRepeat(ask)
			return nil
		default:
			ask.timer.Stop()
			delete(a.permits, answer.GetId())
			return a.planner.Permit(now, answer.GetId(), answer.GetBehind())
		}
	})
}

// permitSilent notes that a watcher will not grant a load, and falls back when
// it was the last one.
func (a *Agent) permitSilent(now time.Time, ask *permitAsk, w *watcher) []planner.Action {
	delete(ask.silent, w)
	if len(ask.silent) > 0 {
		return nil
	}
	return a.noPermit(now, ask)
}

func (a *Agent) dropPermit(action planner.DropPermit) {
	if ask := a.permits[action.Load]; ask != nil {
		ask.timer.Stop()
		delete(a.permits, action.Load)
	}
	for w := range a.watchers {
		w.ask(&apiv1.PermitRequest{Id: action.Load, Model: action.Model, Done: true})
	}
}
