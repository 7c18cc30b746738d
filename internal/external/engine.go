package external

// Paths of model engines.
const (
	PathOrders    = "/v1/orders"
	PathInventory = "/v1/inventory"
	PathChat      = "/v1/chat/completions"
)

// Headers between callers, routers and upstreams.
const (
	// HeaderRequestID carries the id of a request both ways.
	HeaderRequestID = "Ragwortdoor-Request-Id"
	// HeaderUpstream is the id of the host that a request is meant for; another
	// one answers 421.
	HeaderUpstream = "Ragwortdoor-Upstream"
	// HeaderModel names what an engine is to run, as it was ordered: MODEL or
	// MODEL:ADAPTER.
	HeaderModel = "Ragwortdoor-Model"
	// HeaderDeadline is the time that is left for a request, in milliseconds.
	HeaderDeadline = "Ragwortdoor-Deadline-Ms"
	// HeaderRank is the rank of a request at an engine, 0 first.
	HeaderRank = "Ragwortdoor-Rank"
	// HeaderOutcome is OutcomeNotRun or OutcomeMayHaveRun on answers that are none.
	HeaderOutcome = "Ragwortdoor-Outcome"
	// HeaderLastEvent is the id of the last event that a resumed stream had.
	HeaderLastEvent = "Last-Event-Id"
)

// Values of HeaderOutcome.
const (
	OutcomeNotRun     = "not-run"
	OutcomeMayHaveRun = "unknown"
)

// Order tells an engine to load or unload a model, or an adapter of a model that
// it holds. An engine carries out one order for a model at a time and answers:
// 202 when the order is accepted, 200 when it is in that state already, 409 while
// another order is under way or when ExpectedOrders differs, 412 for an old fence,
// 421 for another host's order, 400 for an order that it can't carry out.
type Order struct {
	Unload     bool   `json:"unload,omitempty"`
	Model      string `json:"model"`
	Adapter    string `json:"adapter,omitempty"`
	Checkpoint string `json:"checkpoint,omitempty"`
	MemoryMiB  uint32 `json:"memory_mib,omitempty"`
	// ExpectedOrders is the number of orders that the engine has accepted since
	// its start; absent skips the check.
	ExpectedOrders *int64 `json:"expected_orders,omitempty"`
	// Holder and Fence say who orders. An engine that checks fences refuses a
	// lower one than the highest that it has seen.
	Holder string `json:"holder"`
	Fence  int64  `json:"fence"`
}

// EngineModel is a model that an engine holds, with its adapters.
type EngineModel struct {
	Model    string   `json:"model"`
	Adapters []string `json:"adapters"`
}

// Inventory is what an engine reports. It may lag.
type Inventory struct {
	StartedUnixMs int64         `json:"started_unix_ms"`
	Models        []EngineModel `json:"models"`
	// LoadingAdapters are the adapters on their way, as MODEL:ADAPTER.
	LoadingAdapters []string `json:"coming"`
	// Busy is set while a model is loaded or unloaded.
	Busy bool `json:"busy"`
	// Orders counts the orders accepted since the start.
	Orders  int64 `json:"orders"`
	Running int   `json:"running"`
	Waiting int   `json:"waiting"`
	// OnDisk and InMemory name the models whose weights the host keeps.
	OnDisk   []string `json:"on_disk"`
	InMemory []string `json:"in_memory"`
}
