package fleet

import "context"

// AdapterRef names an adapter of a model.
type AdapterRef struct{ Model, Adapter string }

// Inventory is what an engine reports about itself. It lags by some hundred
// milliseconds.
type Inventory struct {
	StartedMs int64
	Models    []LoadedModel
	// LoadingAdapters are the adapters that are on their way to the engine.
	LoadingAdapters []AdapterRef
	// Busy is set while a weight order is carried out.
	Busy bool
	// Orders counts the orders that this incarnation accepted.
	Orders   int64
	Waiting  int
	Running  int
	KVUsed   int64 // tokens that can't be evicted
	KVTotal  int64 // tokens
	OnDisk   []string
	InMemory []string
}

// Order tells an engine to load or unload a model, or an adapter of a model
// that it holds.
type Order struct {
	Unload  bool
	Model   string
	Adapter string // empty for the model itself
	// ExpectedOrders is the count of accepted orders at which this one may be
	// carried out, so that a late copy has no effect; nil skips the check.
	ExpectedOrders *int64
	// Holder and Fence identify who orders.
	Holder string
	Fence  int64
}

// OrderResult is an engine's answer to an order.
type OrderResult int

// Answers to an order.
const (
	// OrderUnknown means that no answer came: the order may have been accepted,
	// or may be carried out later.
	OrderUnknown OrderResult = iota
	// OrderAccepted means that the order is being carried out.
	OrderAccepted
	// OrderSatisfied means that the engine is already in the state ordered.
	OrderSatisfied
	// OrderConflict means that another order is under way or that the count of
	// accepted orders differs.
	OrderConflict
	// OrderFenced means that another holder has a higher fencing number.
	OrderFenced
	// OrderWrongUpstream means that the address belongs to another upstream now.
	OrderWrongUpstream
	// OrderInvalid means that the engine does not know what was ordered.
	OrderInvalid
)

var orderResultNames = [...]string{"unknown", "accepted", "holds", "conflict", "fenced", "wrong upstream", "invalid"}

// String names the result.
func (r OrderResult) String() string { return orderResultNames[r] }

// Engines reaches the engines of the fleet.
type Engines interface {
	// Order sends an order. With an error the result is OrderUnknown.
	Order(ctx context.Context, up *Upstream, order Order) (OrderResult, error)
	// Inspect reads an engine's inventory.
	Inspect(ctx context.Context, up *Upstream) (Inventory, error)
}
