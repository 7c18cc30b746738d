package external

import (
	"errors"
	"fmt"
)

// Kind classifies an error of a platform service.
type Kind int

// Kinds of error.
const (
	// KindUnavailable means that no usable response came; see Error.OutcomeUnknown.
	KindUnavailable Kind = iota + 1
	// KindNotFound means that the key, host or stream does not exist.
	KindNotFound
	// KindFenced means that an order carried an outdated fencing token.
	KindFenced
	// KindNoMemory means that the accelerator lacks free memory.
	KindNoMemory
	// KindInvalid means that the call itself is wrong and must not be retried.
	KindInvalid
	// KindOverloaded means that the service asks to retry later.
	KindOverloaded
)

var kindNames = [...]string{
	KindUnavailable: "unavailable",
	KindNotFound:    "not found",
	KindFenced:      "fenced",
	KindNoMemory:    "no memory",
	KindInvalid:     "invalid",
	KindOverloaded:  "overloaded",
}

// String returns the name that ErrorBody carries.
func (k Kind) String() string {
	if k <= 0 || int(k) >= len(kindNames) {
		return fmt.Sprintf("kind %d", int(k))
	}
	return kindNames[k]
}

// ParseKind is the inverse of Kind.String.
func ParseKind(name string) (Kind, bool) {
	for kind, known := range kindNames {
		if known != "" && known == name {
			return Kind(kind), true
		}
	}
	return 0, false
}

// Error is a failed call to a platform service.
type Error struct {
	Kind Kind
	// Op names the operation, for example "table commit".
	Op string
	// OutcomeUnknown is true when the call may have taken effect.
	OutcomeUnknown bool
	// Remedy says what an operator can do.
	Remedy string
	Err    error
}

// Error implements error.
func (e *Error) Error() string {
	msg := fmt.Sprintf("%s: %s", e.Op, e.Kind)
	if e.Err != nil {
		msg += ": " + e.Err.Error()
	}
	if e.Remedy != "" {
		msg += " (" + e.Remedy + ")"
	}
	return msg
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// KindOf returns the kind of the *Error in err's chain, or
// KindUnavailable for any other error.
func KindOf(err error) Kind {
	var e *Error
	if errors.As(err, &e) {
		return e.Kind
	}
	return KindUnavailable
}

// OutcomeUnknown reports whether the failed call may have taken effect. Any error
// without an *Error in its chain counts as unknown.
func OutcomeUnknown(err error) bool {
	var e *Error
	if errors.As(err, &e) {
		return e.OutcomeUnknown
	}
	return err != nil
}
