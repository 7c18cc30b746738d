package entry

import "time"

// sendShare is the fraction of StopGrace after which a stopping router sends no request for the
// first time, unless its drain delay is longer.
const sendShare = 0.55

// stop makes the router unready. Requests are still accepted, because callers keep
// using their open connections.
func (h *Handler) stop() {
	now := time.Now()
	h.stopAt.Store(&now)
	settings := h.reloadable.Load()
	time.AfterFunc(max(settings.drainDelay, time.Duration(sendShare*float64(settings.stopGrace))), h.endSend)
}

func (h *Handler) isStopping() bool { return h.stopAt.Load() != nil }

// isTooLateToSend reports whether a request that has not run is refused, because the router
// stops soon: other routers serve it.
func (cr *callerRequest) isTooLateToSend() bool {
	return !cr.record.MayHaveRun && cr.handler.lateCtx.Err() != nil
}

// isDrainDelayOver reports whether a request accepted now could be aborted by the end
// of the process.
func (h *Handler) isDrainDelayOver() bool {
	at := h.stopAt.Load()
	return at != nil && time.Since(*at) > h.drainDelay()
}

func (h *Handler) drainDelay() time.Duration {
	return h.reloadable.Load().drainDelay
}
