package operator

import (
	"context"
	"errors"
	"fmt"
	"net/http"

	"github.com/ragwortdoor/ragwortdoor/internal/config"
	"github.com/ragwortdoor/ragwortdoor/internal/external"
)

// ErrorKind classifies errors of the operator API.
type ErrorKind string

// Kinds of error.
const (
	// KindBadRequest means that the request is malformed.
	KindBadRequest ErrorKind = "bad_request"
	// KindUnauthorized means that the token is missing or wrong.
	KindUnauthorized ErrorKind = "unauthorized"
	// KindInvalid means that the object set is invalid; see Error.Problems.
	KindInvalid ErrorKind = "invalid"
	// KindNotFound means that the revision, request, object or host does not exist.
	KindNotFound ErrorKind = "not_found"
	// KindConflict means that another operator changed the same thing first; see
	// Error.Winner for publications.
	KindConflict ErrorKind = "conflict"
	// KindUnavailable means that the platform or the router did not respond.
	KindUnavailable ErrorKind = "unavailable"
	// KindInternal means an unexpected error in the router.
	KindInternal ErrorKind = "internal"
)

var statusByKind = map[ErrorKind]int{
	KindBadRequest:   http.StatusBadRequest,
	KindUnauthorized: http.StatusUnauthorized,
	KindInvalid:      http.StatusUnprocessableEntity,
	KindNotFound:     http.StatusNotFound,
	KindConflict:     http.StatusConflict,
	KindUnavailable:  http.StatusServiceUnavailable,
	KindInternal:     http.StatusInternalServerError,
}

// Error is an error of the operator API. The server encodes it as JSON and the
// client decodes it.
type Error struct {
	Kind    ErrorKind `json:"kind"`
	Message string    `json:"message"`
	Remedy  string    `json:"remedy"`
	// OutcomeUnknown is true when the change may have taken effect.
	OutcomeUnknown bool            `json:"outcome_unknown,omitempty"`
	Problems       config.Problems `json:"faults,omitempty"`
	// Winner is the conflicting publication, and Head the revision in force.
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

// errorReply is the response body of every failed call.
type errorReply struct {
	Error *Error `json:"error"`
}

func badRequestError(message, remedy string) *Error {
	return &Error{Kind: KindBadRequest, Message: message, Remedy: remedy}
}

// toError maps errors of the config and external packages to an *Error.
func toError(err error) *Error {
	var (
		apiErr   *Error
		invalid  *config.InvalidError
		conflict *config.ConflictError
		revision *config.RevisionError
	)
	switch {
	case errors.As(err, &apiErr):
		return apiErr
	case errors.As(err, &invalid):
		return invalidSetError(invalid.Problems)
	case errors.As(err, &conflict):
		return toConflictError(conflict)
	case errors.As(err, &revision):
		return &Error{Kind: KindNotFound, Message: revision.Error()}
	default:
		return toPlatformError(err)
	}
}

func invalidSetError(problems config.Problems) *Error {
	return &Error{
		Kind:     KindInvalid,
		Message:  fmt.Sprintf("invalid object set: %d problems", len(problems)),
		Remedy:   "fix the problems and apply again",
		Problems: problems,
	}
}

func toConflictError(err *config.ConflictError) *Error {
	winner, head := toRevision(err.Winner), toRevision(err.Head)
	return &Error{Kind: KindConflict, Message: err.Error(), Winner: &winner, Head: &head}
}

func toPlatformError(err error) *Error {
	var platformErr *external.Error
	isPlatform := errors.As(err, &platformErr)
	contextDone := errors.Is(err, context.Canceled) || errors.Is(err, context.DeadlineExceeded)
	if !isPlatform && !contextDone {
		return &Error{Kind: KindInternal, Message: err.Error(), Remedy: "see the router's log"}
	}
	return &Error{
		Kind:           KindUnavailable,
		Message:        err.Error(),
		Remedy:         "retry when the platform responds again",
		OutcomeUnknown: external.OutcomeUnknown(err),
	}
}
