package agent

import (
	"context"
	"slices"
	"time"

	apiv1 "github.com/ragwortdoor/ragwortdoor/api/ragwortdoor/v1"
	"github.com/ragwortdoor/ragwortdoor/internal/agent/planner"
)

const (
	// maxPermitFrames bounds the frames that wait for a slow router.
	maxPermitFrames = 1024
	defaultRefresh  = 10 * time.Second
)

// watcher is one router that watches the host. Its fields but wake are guarded
// by the agent's lock.
type watcher struct {
	delta   threshold
	refresh time.Duration
	// wake holds one token while something may have to be sent.
	wake    chan struct{}
	permits []*apiv1.PermitRequest
	// overrun ends a watch whose router reads too slowly.
	overrun  bool
	sequence uint64
	last     *apiv1.LoadReport
}

func newWatcher(in *apiv1.Watch) *watcher {
	w := &watcher{
		delta:   threshold{requests: max(1, in.GetInFlightDelta()), percent: in.GetInFlightPercent()},
		refresh: time.Duration(in.GetRefreshMs()) * time.Millisecond,
		wake:    make(chan struct{}, 1),
	}
	if w.refresh == 0 {
		w.refresh = defaultRefresh
	}
	return w
}

// ask queues a permit frame.
func (w *watcher) ask(request *apiv1.PermitRequest) {
	if len(w.permits) >= maxPermitFrames {
		w.overrun = true
	} else {
		w.permits = append(w.permits, request)
	}
	w.notify()
}

func (w *watcher) notify() {
	select {
	case w.wake <- struct{}{}:
	default: // already woken
	}
}

// notify wakes all watchers. The lock must be held.
func (a *Agent) notify() {
	a.lastReport = nil
	for w := range a.watchers {
		w.notify()
	}
}

// watch reports to one router until its stream ends. Only this goroutine waits
// for a slow router.
func (a *Agent) watch(ctx context.Context, s frameStream, in *apiv1.Watch) {
	w := newWatcher(in)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	a.addWatcher(w)
	defer a.removeWatcher(w)
	wait := receive(s, cancel, func(frame *apiv1.RouterFrame) {
		if permit := frame.GetPermit(); permit != nil {
			a.permitAnswer(w, permit)
		}
	})
	defer wait()
	refresh := time.NewTimer(w.refresh)
	defer refresh.Stop()
	due := true
	for {
		if err := a.sendWatch(s, w, due); err != nil {
			return
		}
		if due {
			refresh.Reset(w.refresh)
		}
		select {
		case <-w.wake:
			due = false
		case <-refresh.C:
			due = true
		case <-ctx.Done():
			return
		}
	}
}

func (a *Agent) addWatcher(w *watcher) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.watchers[w] = struct{}{}
	for _, ask := range a.permits {
		ask.silent[w] = struct{}{}
		w.ask(ask.request)
	}
}

func (a *Agent) removeWatcher(w *watcher) {
	a.do(func(now time.Time) []planner.Action {
		delete(a.watchers, w)
		var actions []planner.Action
		for _, ask := range a.permits {
			if _, ok := ask.silent[w]; ok {
				actions = append(actions, a.permitSilent(now, ask, w)...)
			}
		}
		return actions
	})
}

// sendWatch sends the frames that are due.
func (a *Agent) sendWatch(s frameStream, w *watcher, due bool) error {
	a.mu.Lock()
	report := a.report(w, due)
	permits := w.permits
	w.permits = nil
	overrun := w.overrun
	a.mu.Unlock()
	if overrun {
		return errOverrun
	}
	for _, permit := range permits {
		if err := s.Send(&apiv1.SidecarFrame{Body: &apiv1.SidecarFrame_Permit{Permit: permit}}); err != nil {
			return err
		}
	}
	if report == nil {
		return nil
	}
	a.counters.reports.Add(1)
	return s.Send(&apiv1.SidecarFrame{Body: &apiv1.SidecarFrame_Report{Report: report}})
}

// report returns the watcher's next report, or nil when nothing changed that is
// worth one. The lock must be held.
func (a *Agent) report(w *watcher, due bool) *apiv1.LoadReport {
	shared := a.sharedReport()
	if !due && !worthReporting(w.last, shared, w.delta) {
		return nil
	}
	w.sequence++
	report := &apiv1.LoadReport{
		Host:              shared.GetHost(),
		BootId:            shared.GetBootId(),
		Sequence:          w.sequence,
		ConfigRevision:    shared.GetConfigRevision(),
		TableRevision:     shared.GetTableRevision(),
		MemoryTotalMib:    shared.GetMemoryTotalMib(),
		MemoryReservedMib: shared.GetMemoryReservedMib(),
		Draining:          shared.GetDraining(),
		Replicas:          shared.GetReplicas(),
		Cached:            shared.GetCached(),
		CallsInFlight:     shared.GetCallsInFlight(),
	}
	if w.last != nil && sameCached(w.last, shared) {
		report.Cached = nil
		report.CachedUnchanged = true
	}
	w.last = shared
	return report
}

// sharedReport is built once for all watchers after each event. It is not
// changed afterwards, so that watchers may send it without the lock.
func (a *Agent) sharedReport() *apiv1.LoadReport {
	if a.lastReport == nil {
		a.lastReport = a.planner.Report(a.opts.Clock.Now())
		a.lastReport.Draining = a.draining || a.leaving
		a.lastReport.CallsInFlight = uint32(a.calls)
	}
	return a.lastReport
}

// threshold is the change of requests in flight that is worth a report: a number
// of requests or a share of those last reported, whichever is larger.
type threshold struct {
	requests uint32
	percent  uint32
}

func (t threshold) passed(last, next uint32) bool {
	apart := max(last, next) - min(last, next)
	return apart >= max(t.requests, last*t.percent/100)
}

// worthReporting tells whether a report differs from the last one by more than
// a small change of requests in flight.
func worthReporting(last, next *apiv1.LoadReport, delta threshold) bool {
	if last == nil || last.GetBootId() != next.GetBootId() || last.GetDraining() != next.GetDraining() {
		return true
	}
	if last.GetConfigRevision() != next.GetConfigRevision() || last.GetTableRevision() != next.GetTableRevision() {
		return true
	}
	if delta.passed(last.GetCallsInFlight(), next.GetCallsInFlight()) {
		return true
	}
	sameReplicas := slices.EqualFunc(last.GetReplicas(), next.GetReplicas(), func(a, b *apiv1.ReplicaReport) bool {
		return sameReplica(a, b) && !delta.passed(a.GetInFlight(), b.GetInFlight())
	})
	return !sameReplicas || !sameCached(last, next)
}

func sameCached(last, next *apiv1.LoadReport) bool {
	return slices.EqualFunc(last.GetCached(), next.GetCached(), func(a, b *apiv1.CachedCheckpoint) bool {
		return a.GetCheckpoint() == b.GetCheckpoint() && a.GetTier() == b.GetTier()
	})
}

func sameReplica(a, b *apiv1.ReplicaReport) bool {
	return a.GetModel() == b.GetModel() &&
		a.GetSlot() == b.GetSlot() &&
		a.GetGeneration() == b.GetGeneration() &&
		a.GetState() == b.GetState() &&
		slices.Equal(a.GetAdapters(), b.GetAdapters())
}
