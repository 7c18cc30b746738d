package entry

import (
	"errors"

	apiv1 "github.com/ragwortdoor/ragwortdoor/api/ragwortdoor/v1"
	"github.com/ragwortdoor/ragwortdoor/internal/cell"
)

// errUpstreamLeft means that a request was not sent, because its upstream takes no more.
var errUpstreamLeft = errors.New("the upstream drains, is cordoned or was removed since it was chosen")

// errStopping means that a request was not sent, because this router stops soon.
var errStopping = errors.New("this router stops")

// checkChoice returns an error if an upstream may no longer get the request that it was chosen
// for: errUpstreamLeft, errPaused, errStopping or errKeyWithdrawn. A request waits between its choice and its first
// byte, for an upstream that recovers from a pause and for a connection.
func (cr *callerRequest) checkChoice(upstreamID string) error {
	if cr.isTooLateToSend() {
		return errStopping
	}
	if err := cr.checkKey(); err != nil {
		return err
	}
	if cr.handler.directory.Load().KnownUnusable(upstreamID) {
		return errUpstreamLeft
	}
	if cr.handler.pauses.left(upstreamID) > 0 {
		return errPaused
	}
	return nil
}

// checkPlacement is checkChoice for a placement. It also returns a *cell.RefusedError if the
// prompt was blocked meanwhile.
func (cr *callerRequest) checkPlacement(placement cell.Placement) error {
	if err := cr.checkChoice(placement.UpstreamID); err != nil || placement.Trial {
		return err
	}
	return cr.checkBlocklist()
}

// isChoiceVoid reports whether an attempt ended before its first byte for an error of
// checkChoice or checkPlacement.
func isChoiceVoid(err error) bool {
	var refused *cell.RefusedError
	return errors.Is(err, errUpstreamLeft) || errors.Is(err, errPaused) || errors.Is(err, errStopping) || errors.Is(err, errKeyWithdrawn) || errors.As(err, &refused)
}

// handleVoidChoice handles an error of checkPlacement. It reports false if another
// one may be tried.
func (cr *callerRequest) handleVoidChoice(err error, report func(apiv1.PlacementOutcome)) bool {
	report(apiv1.PlacementOutcome_PLACEMENT_OUTCOME_CANCELLED)
	var refused *cell.RefusedError
	if errors.As(err, &refused) {
		cr.failPlacement(err)
		return true
	}
	return false
}
