package placement

import "fmt"

// OrderKind is a change of a slot row.
type OrderKind int

// Kinds of order.
const (
	// Create adds a row that did not exist, assigned to a host.
	Create OrderKind = iota + 1
	// Assign gives a free row to a host.
	Assign
	// Release starts to take a slot back from its host.
	Release
	// Free ends a release: the host has confirmed it or is gone.
	Free
)

var orderKindNames = [...]string{
	Create:  "create",
	Assign:  "assign",
	Release: "release",
	Free:    "free",
}

// String names the kind.
func (k OrderKind) String() string {
	if k <= 0 || int(k) >= len(orderKindNames) {
		return fmt.Sprintf("order kind %d", int(k))
	}
	return orderKindNames[k]
}

// Reason says why an order was given.
type Reason string

// Reasons of orders.
const (
	// ReasonBelowMin: the model has fewer usable slots than min_replicas.
	ReasonBelowMin Reason = "below min_replicas"
	// ReasonLoad: replicas are above target_in_flight.
	ReasonLoad Reason = "above target_in_flight"
	// ReasonMove: a slot must leave its host and another one replaces it.
	ReasonMove Reason = "replaces a slot that moves"
	// ReasonSilent: the host of another slot does not answer.
	ReasonSilent Reason = "host of another slot is silent"
	// ReasonIdle: more slots exist than the load needs.
	ReasonIdle Reason = "more slots than the load needs"
	// ReasonAboveMax: more slots exist than max_replicas allows.
	ReasonAboveMax Reason = "above max_replicas"
	// ReasonUnconfigured: the configuration does not name the model.
	ReasonUnconfigured Reason = "model not configured"
	// ReasonDraining: the host is draining or leaving.
	ReasonDraining Reason = "host draining or leaving"
	// ReasonMisplaced: the placement does not allow the host.
	ReasonMisplaced Reason = "host not allowed by placement"
	// ReasonUnlisted: the host list does not name the host.
	ReasonUnlisted Reason = "host not listed"
	// ReasonConfirmed: the sidecar has confirmed the release.
	ReasonConfirmed Reason = "release confirmed"
	// ReasonHostGone: the host stayed unlisted for the grace period.
	ReasonHostGone Reason = "host gone"
)

// Order is one decided change of a slot row.
type Order struct {
	Kind  OrderKind
	Model string
	Slot  uint32
	// Host is the host that gets or held the slot.
	Host string
	// Generation is the generation of the row after the order.
	Generation uint64
	// Version is the table version of the row that the order changes; 0 for
	// Create.
	Version int64
	Reason  Reason
	// Alternatives are the next best hosts, best first, for the log.
	Alternatives []string
}
