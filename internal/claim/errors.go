package claim

import (
	"errors"
	"fmt"
	"time"
)

// Kind classifies an Error.
type Kind int

// Kinds of error.
const (
	// KindUnavailable means that the table service does not answer.
	KindUnavailable Kind = iota + 1
	// KindOverloaded means that too many rows wait to be written.
	KindOverloaded
	// KindInvalid means that the table service refuses the row.
	KindInvalid
)

// Error is a claim or an outcome that was not written.
type Error struct {
	Kind Kind
	// RetryAfter is when another try may succeed.
	RetryAfter time.Duration
	Err        error
}

// Error implements error.
func (e *Error) Error() string {
	switch e.Kind {
	case KindOverloaded:
		return fmt.Sprintf("too many claims wait to be written: repeat the call after %s with the same idempotency key", e.RetryAfter)
	case KindInvalid:
		return fmt.Sprintf("the table service refuses the claim: %v (use a shorter idempotency key)", e.Err)
	default:
		return fmt.Sprintf("the table service can't be written: %v (repeat the call after %s with the same idempotency key)", e.Err, e.RetryAfter)
	}
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

var (
	// errAbandoned is the result of an op that nobody waits for.
	errAbandoned = errors.New("claim abandoned")
	// errLastWrite is the cause of a refusal without a write.
	errLastWrite = errors.New("the last write failed")
)

func unavailable(retryAfter time.Duration, err error) *Error {
	return &Error{Kind: KindUnavailable, RetryAfter: retryAfter, Err: err}
}

func overloaded() *Error {
	return &Error{Kind: KindOverloaded, RetryAfter: time.Second}
}
