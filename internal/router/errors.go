package router

import (
	"fmt"
	"net/http"
	"time"

	apiv1 "github.com/ragwortdoor/ragwortdoor/api/ragwortdoor/v1"
)

// Kind classifies an Error.
type Kind string

// Kinds of error. Callers find them in the field error.kind of an answer.
const (
	KindBadRequest       Kind = "bad_request"
	KindUnknownPath      Kind = "unknown_path"
	KindUnknownModel     Kind = "unknown_model"
	KindUnknownService   Kind = "unknown_service"
	KindMethodNotAllowed Kind = "method_not_allowed"
	KindBodyTooLarge     Kind = "body_too_large"
	KindNotReady         Kind = "not_ready"
	KindDraining         Kind = "draining"
	KindQueueFull        Kind = "queue_full"
	KindShed             Kind = "shed"
	KindDeadline         Kind = "deadline"
	KindNoMemory         Kind = "no_memory"
	KindNoHost           Kind = "no_host"
	KindUpstream         Kind = "upstream_failed"
	KindCut              Kind = "answer_cut"
	KindCallerGone       Kind = "caller_gone"
	KindClaims           Kind = "claims_unavailable"
	KindKeyReused        Kind = "key_reused"
	KindClaimOpen        Kind = "earlier_call_open"
	KindBodyOmitted      Kind = "stored_answer_too_long"
)

// Error is why a request was not served.
type Error struct {
	Kind Kind
	// Status is the HTTP status of the answer.
	Status int
	// Outcome is OUTCOME_NOT_RUN or OUTCOME_UNKNOWN.
	Outcome apiv1.Outcome
	Message string
	// Remedy tells the caller what to do.
	Remedy string
	// RetryAfter is when another try may succeed; 0 when that is not known.
	RetryAfter time.Duration
	// Allow lists the methods of the path, for KindMethodNotAllowed.
	Allow string
}

// Error implements error.
func (e *Error) Error() string {
	return fmt.Sprintf("%s: %s (%s)", e.Kind, e.Message, e.Remedy)
}

const (
	remedyRetry    = "repeat the request after the time in Retry-After"
	remedyDeadline = "repeat the request after the time in Retry-After, or raise Ragwortdoor-Deadline-Ms"
	remedyCheck    = "check whether the call took effect before repeating it"
	remedyAgain    = "send the request again"
)

// notRun makes the Error of a request that certainly did not run.
func notRun(kind Kind, status int, remedy, format string, args ...any) *Error {
	return &Error{
		Kind:    kind,
		Status:  status,
		Outcome: apiv1.Outcome_OUTCOME_NOT_RUN,
		Message: fmt.Sprintf(format, args...),
		Remedy:  remedy,
	}
}

// unknown makes the Error of a request that may have run.
func unknown(kind Kind, status int, remedy, format string, args ...any) *Error {
	e := notRun(kind, status, remedy, format, args...)
	e.Outcome = apiv1.Outcome_OUTCOME_UNKNOWN
	return e
}

// after sets when another try may succeed.
func (e *Error) after(d time.Duration) *Error {
	e.RetryAfter = d
	return e
}

// unknownIf turns the outcome to unknown if a part of the request may have run.
func (e *Error) unknownIf(mayHaveRun bool) *Error {
	if !mayHaveRun {
		return e
	}
	e.Outcome = apiv1.Outcome_OUTCOME_UNKNOWN
	switch {
	case e.Status != http.StatusServiceUnavailable:
	case e.Kind == KindDeadline:
		e.Status = http.StatusGatewayTimeout
	default:
		e.Status = http.StatusBadGateway
	}
	return e
}

func badRequest(remedy, format string, args ...any) *Error {
	return notRun(KindBadRequest, http.StatusBadRequest, remedy, format, args...)
}

func callerGone(sent bool) *Error {
	return notRun(KindCallerGone, statusClientClosed, remedyAgain, "the caller closed the connection").unknownIf(sent)
}

// statusClientClosed is logged for a caller that has gone; nobody reads it.
const statusClientClosed = 499
