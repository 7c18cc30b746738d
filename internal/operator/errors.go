package operator

import (
	"context"
	"errors"
	"fmt"
	"net/http"

	"github.com/ragwortdoor/ragwortdoor/internal/config"
	"github.com/ragwortdoor/ragwortdoor/internal/external"
)

// ErrorKind classifies a failed call of the operators' API.
type ErrorKind string

// Kinds of error.
const (
	// KindBadRequest means that the request itself can't be read.
	KindBadRequest ErrorKind = "bad_request"
	// KindUnauthorized means that the token is missing or wrong.
	KindUnauthorized ErrorKind = "unauthorized"
	// KindInvalid means that the object set has faults; see Faults.
	KindInvalid ErrorKind = "invalid"
	// KindNotFound means that the revision, request or host is not known.
	KindNotFound ErrorKind = "not_found"
	// KindConflict means that another publication came first; see Winner.
	KindConflict ErrorKind = "conflict"
	// KindUnavailable means that the platform or the router did not answer.
	KindUnavailable ErrorKind = "unavailable"
	// KindInternal means a fault of the router.
	KindInternal ErrorKind = "internal"
)

var statusOf = map[ErrorKind]int{
	KindBadRequest:   http.StatusBadRequest,
	KindUnauthorized: http.StatusUnauthorized,
	KindInvalid:      http.StatusUnprocessableEntity,
	KindNotFound:     http.StatusNotFound,
	KindConflict:     http.StatusConflict,
	KindUnavailable:  http.StatusServiceUnavailable,
	KindInternal:     http.StatusInternalServerError,
}

// Error is a failed call of the operators' API, as server and client know it.
type Error struct {
	Kind    ErrorKind `json:"kind"`
	Message string    `json:"message"`
	Remedy  string    `json:"remedy"`
	// OutcomeUnknown is true when the change may have taken effect.
	OutcomeUnknown bool            `json:"outcome_unknown,omitempty"`
	Problems       config.Problems `json:"faults,omitempty"`
	// Winner is the publication that came first, and Head the revision in force.
	Winner *Revision `json:"winner,omitempty"`
	Head   *Revision `json:"head,omitempty"`
}

// Error implements error.
func (e *Error) Error() string {
	if e.Remedy == "" {
		return e.Message
	}
	return fmt.Sprintf("%s (%s)", e.Message, e.Remedy)
}

// errorReply is the body of every failed call.
type errorReply struct {
	Error *Error `json:"error"`
}

func badRequest(message, remedy string) *Error {
	return &Error{Kind: KindBadRequest, Message: message, Remedy: remedy}
}

// toError turns the errors of the packages below into the API's.
func toError(err error) *Error {
	var (
		own      *Error
		invalid  *config.InvalidError
		conflict *config.ConflictError
		revision *config.RevisionError
	)
	switch {
	case errors.As(err, &own):
		return own
	case errors.As(err, &invalid):
		return invalidSet(invalid.Problems)
	case errors.As(err, &conflict):
		return toConflict(conflict)
	case errors.As(err, &revision):
		return &Error{Kind: KindNotFound, Message: revision.Error()}
	default:
		return toPlatformError(err)
	}
}

func invalidSet(faults config.Problems) *Error {
	return &Error{
		Kind:     KindInvalid,
		Message:  fmt.Sprintf("invalid object set with %d faults", len(faults)),
		Remedy:   "mend the faults and apply again",
		Problems: faults,
	}
}

func toConflict(err *config.ConflictError) *Error {
	winner, head := toRevision(err.Winner), toRevision(err.Head)
	return &Error{Kind: KindConflict, Message: err.Error(), Winner: &winner, Head: &head}
}

func toPlatformError(err error) *Error {
	var platformErr *external.Error
	isPlatform := errors.As(err, &platformErr)
	ended := errors.Is(err, context.Canceled) || errors.Is(err, context.DeadlineExceeded)
	if !isPlatform && !ended {
		return &Error{Kind: KindInternal, Message: err.Error(), Remedy: "see the router's log"}
	}
	return &Error{
		Kind:           KindUnavailable,
		Message:        err.Error(),
		Remedy:         "try again once the platform answers",
		OutcomeUnknown: external.OutcomeUnknown(err),
	}
}
