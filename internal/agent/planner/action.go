package planner

import (
	"time"

	apiv1 "github.com/ragwortdoor/ragwortdoor/api/ragwortdoor/v1"
)

// Action is something that the caller of a Planner has to do.
type Action interface{ action() }

// SendOrder asks for the order to be sent: call Begin, then the engine, then
// End, without the Planner's lock around the engine.
type SendOrder struct {
	Order  uint64
	Reason string
}

// AbortOrder asks to wait no longer for the engine's answer to an order. End
// the order with an unknown outcome.
type AbortOrder struct{ Order uint64 }

// AskPermit asks the permit allocator for a load from the weight store. Answer
// with Permit or NoPermit.
type AskPermit struct {
	Load     uint64
	Model    string
	Priority uint32
}

// DropPermit tells the allocator that a load has ended or is no longer wanted.
type DropPermit struct {
	Load  uint64
	Model string
}

// ReadInventory asks for the engine's inventory at once.
type ReadInventory struct{}

// WakeAt asks for a call of Wake at a time.
type WakeAt struct{ Time time.Time }

// Grant lets a request start at the engine. Call Finish when it has ended.
type Grant struct {
	Request uint64
	// Phases tells what the request waited for, from its arrival.
	Phases []*apiv1.Phase
	// Cold is true when the request waited for a load.
	Cold bool
}

// Refuse ends a waiting request.
type Refuse struct {
	Request uint64
	Refusal *apiv1.Refusal
}

// Released answers a Release.
type Released struct {
	Release uint64
	Done    bool
	Reason  string
}

func (SendOrder) action()     {}
func (AbortOrder) action()    {}
func (AskPermit) action()     {}
func (DropPermit) action()    {}
func (ReadInventory) action() {}
func (WakeAt) action()        {}
func (Grant) action()         {}
func (Refuse) action()        {}
func (Released) action()      {}

// refusal makes a Refusal of a request of which nothing was sent.
func refusal(kind apiv1.RefusalKind, retryAfter time.Duration, message string) *apiv1.Refusal {
	return &apiv1.Refusal{Kind: kind, Message: message, RetryAfterMs: millis(retryAfter)}
}

// millis rounds up to whole milliseconds.
func millis(d time.Duration) uint32 {
	if d <= 0 {
		return 0
	}
	return uint32((d + time.Millisecond - 1) / time.Millisecond)
}
