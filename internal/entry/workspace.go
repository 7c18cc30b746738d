package entry

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"time"

	apiv1 "github.com/ragwortdoor/ragwortdoor/api/ragwortdoor/v1"
	"github.com/ragwortdoor/ragwortdoor/internal/fleet"
	"github.com/ragwortdoor/ragwortdoor/internal/workspace"
)

// errKeyWithdrawn means that a request was not sent, because the key of its caller was withdrawn
// since it arrived, or given to another workspace.
var errKeyWithdrawn = errors.New("the caller's key was withdrawn or given to another workspace")

// staleKeysRetryDelay is the Retry-After while this router can't know which keys are withdrawn.
const staleKeysRetryDelay = 500 * time.Millisecond

// authorize finds the workspace of the caller. If the caller needs a key and has none that a
// workspace holds, it writes the error response and reports false.
func (cr *callerRequest) authorize(snapshot *fleet.Snapshot) bool {
	holder, ok := cr.keyHolder(snapshot)
	if !ok {
		cr.refuseKey("no workspace holds the caller's key: send a valid one as a bearer token")
		return false
	}
	if snapshot.AsksForKeys() && !cr.route.Public && cr.handler.keysAreStale() {
		cr.refuse(staleKeysRetryDelay, "this router can't know which keys are withdrawn: it has had no news of the configuration for too long")
		return false
	}
	cr.workspace = holder
	if holder != nil {
		cr.record.Workspace = holder.Name
		if holder.Priority != nil {
			cr.rank.Priority = *holder.Priority
		}
	}
	return true
}

// keyHolder returns the workspace of the caller, nil without one. ok is false if the caller needs
// a key that a workspace holds.
func (cr *callerRequest) keyHolder(snapshot *fleet.Snapshot) (holder *workspace.Workspace, ok bool) {
	if !snapshot.AsksForKeys() {
		return nil, true
	}
	if cr.call.HasKey {
		holder = snapshot.KeyHolder(cr.call.Key)
	}
	return holder, holder != nil || cr.route.Public
}

// recheckKey reports whether the caller's key is valid now, or none is needed, and whether the
// request still is that of its workspace.
func (cr *callerRequest) recheckKey() (valid, same bool) {
	holder, ok := cr.keyHolder(cr.handler.directory.Load())
	return ok, ok && workspaceName(holder) == workspaceName(cr.workspace)
}

// checkKey returns errKeyWithdrawn if the caller may no longer send the request for its
// workspace.
func (cr *callerRequest) checkKey() error {
	if _, same := cr.recheckKey(); !same {
		return errKeyWithdrawn
	}
	return nil
}

func workspaceName(w *workspace.Workspace) string {
	if w == nil {
		return ""
	}
	return w.Name
}

// claimFor names the caller's workspace in a placement request. Its weight is its quota: what it is
// entitled to.
func (cr *callerRequest) claimFor(ask *apiv1.PlacementAsk) *apiv1.PlacementAsk {
	if cr.workspace != nil {
		ask.Workspace = cr.workspace.Name
		ask.WorkspaceWeight = cr.workspace.Quota.PerSecond
	}
	return ask
}

// refuseKey responds with 401 to a request that has not run.
func (cr *callerRequest) refuseKey(reason string) {
	if cr.record.MayHaveRun || cr.responseStarted || cr.callerDisconnected() {
		cr.fail(reason)
		return
	}
	cr.answerBeforeBody()
	cr.record.Outcome = OutcomeUnauthorized
	cr.record.Reason = reason
	cr.writeError(ErrorResponse{Status: http.StatusUnauthorized, Kind: "unknown_key", Text: reason})
}

// answerBeforeBody lets a response be sent before the request's body has been read. On a connection
// that is kept open, net/http reads the body first.
func (cr *callerRequest) answerBeforeBody() {
	if cr.body == nil && cr.r.ContentLength != 0 {
		cr.w.Header().Set("Connection", "close")
	}
}

// mayNotContinue ends a request that may not be sent any more, or not again: this router stops, or
// the caller's key was withdrawn. It reports whether it did.
func (cr *callerRequest) mayNotContinue() bool {
	if cr.isTooLateToSend() {
		cr.refuse(stopRetryDelay, errStopping.Error())
		return true
	}
	valid, same := cr.recheckKey()
	switch {
	case same:
		return false
	case valid:
		cr.refuse(minRetryDelay, errKeyWithdrawn.Error())
	default:
		cr.refuseKey(errKeyWithdrawn.Error())
	}
	return true
}

// keysAreStale reports whether this router must assume that keys were withdrawn without its
// knowledge.
func (h *Handler) keysAreStale() bool {
	limit := h.settings.StrictKeyAge
	return limit > 0 && time.Since(h.directory.ConfigReadAt()) > limit && time.Since(h.scheduler.ConfigReadAt()) > limit
}

// keyWaits are the requests that wait to be sent, with what ends their wait. It is safe for
// concurrent use; the zero value is empty.
type keyWaits struct {
	mu    sync.Mutex
	waits map[*callerRequest]context.CancelFunc
}

// add registers a wait until the returned function is called.
func (k *keyWaits) add(cr *callerRequest, cancel context.CancelFunc) (remove func()) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.waits == nil {
		k.waits = make(map[*callerRequest]context.CancelFunc)
	}
	k.waits[cr] = cancel
	return func() {
		k.mu.Lock()
		defer k.mu.Unlock()
		delete(k.waits, cr)
	}
}

// recheck ends the waits of callers whose keys were withdrawn.
func (k *keyWaits) recheck() {
	k.mu.Lock()
	defer k.mu.Unlock()
	for cr, cancel := range k.waits {
		if cr.checkKey() != nil {
			cancel()
		}
	}
}
