package fleet

import (
	"context"
	"errors"
)

// AdapterRef names an adapter of a model.
type AdapterRef struct{ Model, Adapter string }

// Inventory is what an engine reports about itself. It lags by a few hundred
// milliseconds.
type Inventory struct {
	StartedMs int64
	Models    []LoadedModel
	// LoadingAdapters are the adapters that are being loaded.
	LoadingAdapters []AdapterRef
	// Busy is set while the engine loads or unloads a model.
	Busy bool
	// Orders is the number of orders that this incarnation has accepted.
	Orders   int64
	Waiting  int
	Running  int
	KVUsed   int64 // tokens in the KV cache that can't be evicted
	KVTotal  int64 // KV cache capacity in tokens
	OnDisk   []string
	InMemory []string
	// Slowdown is how long work takes, as a multiple of the usual time; 0 if unknown.
	Slowdown float64
}

// Order instructs an engine to load or unload a model, or an adapter of a model
// that is loaded.
type Order struct {
	Unload  bool
	Model   string
	Adapter string // empty for the model itself
	// ExpectedOrders must equal the engine's count of accepted orders
	// (Inventory.Orders), so that a late copy of the order has no effect; nil skips
	// the check.
	ExpectedOrders *int64
	// Holder is the holder of the scheduler's lease, Fence its fencing token.
	Holder string
	Fence  int64
}

// OrderResult is the result of sending an order.
type OrderResult int

// Values of OrderResult.
const (
	// OrderUnknown means that no valid reply arrived: the order may have been
	// accepted, or may still be executed later.
	OrderUnknown OrderResult = iota
	// OrderAccepted means that the engine is executing the order.
	OrderAccepted
	// OrderSatisfied means that the engine already is in the ordered state.
	OrderSatisfied
	// OrderConflict means that another order is in progress or that the engine's
	// count of accepted orders differs from ExpectedOrders.
	OrderConflict
	// OrderFenced means that the engine has seen a higher fencing token, from
	// another holder.
	OrderFenced
	// OrderWrongUpstream means that another upstream now has this address.
	OrderWrongUpstream
	// OrderInvalid means that the engine does not know the model or adapter.
	OrderInvalid
)

var orderResultNames = [...]string{"unknown", "accepted", "holds", "conflict", "fenced", "wrong upstream", "invalid"}

// String returns the result's name as written to logs.
func (r OrderResult) String() string { return orderResultNames[r] }

// ErrNotAsked means that a call was not sent to an engine, so that its failure tells
// nothing about the engine.
var ErrNotAsked = errors.New("the engine was not asked")

// Engines sends orders to engines and reads their inventories.
type Engines interface {
	// Order sends an order. If it returns an error, the result is OrderUnknown.
	Order(ctx context.Context, up *Upstream, order Order) (OrderResult, error)
	// Inspect reads an engine's inventory.
	Inspect(ctx context.Context, up *Upstream) (Inventory, error)
}
