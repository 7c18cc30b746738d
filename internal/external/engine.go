package external

// Paths that model engines serve.
const (
	PathOrders    = "/v1/orders"
	PathInventory = "/v1/inventory"
	PathChat      = "/v1/chat/completions"
)

// Headers between callers, routers and upstreams.
const (
	// HeaderRequestID is the id of a request, repeated in the response.
	HeaderRequestID = "Ragwortdoor-Request-Id"
	// HeaderUpstream is the id of the host that a request is addressed to; any
	// other host responds 421.
	HeaderUpstream = "Ragwortdoor-Upstream"
	// HeaderModel names the model to run as in the load order: MODEL or
	// MODEL:ADAPTER.
	HeaderModel = "Ragwortdoor-Model"
	// HeaderDeadline is the time left for a request, in milliseconds.
	HeaderDeadline = "Ragwortdoor-Deadline-Ms"
	// HeaderRank is the rank of a request at an engine; 0 runs first.
	HeaderRank = "Ragwortdoor-Rank"
	// HeaderOutcome is OutcomeNotRun or OutcomeMayHaveRun on error responses.
	HeaderOutcome = "Ragwortdoor-Outcome"
	// HeaderDraining is DrainingNow on all responses of an upstream that is about to
	// leave: it wants no new requests.
	HeaderDraining = "Ragwortdoor-Draining"
	// HeaderPause is, on a 503 response, how long the upstream wants nothing from this
	// router, in milliseconds.
	HeaderPause = "Ragwortdoor-Pause-Ms"
	// HeaderLimit is, on all responses of an upstream in need, the requests a second that it
	// takes from all routers together, as a decimal number.
	HeaderLimit = "Ragwortdoor-Limit"
	// HeaderLastEvent is the id of the last event received before a stream is resumed.
	HeaderLastEvent = "Last-Event-Id"
)

// DrainingNow is the value of HeaderDraining.
const DrainingNow = "1"

// Values of HeaderOutcome.
const (
	OutcomeNotRun     = "not-run"
	OutcomeMayHaveRun = "unknown"
)

// Order asks an engine to load or unload a model, or an adapter of a loaded model.
// An engine carries out one order for a model at a time. It responds with
//
//   - 202 when it accepts the order;
//   - 200 when it is in the ordered state already;
//   - 409 while another order is in progress or when ExpectedOrders differs;
//   - 412 for a fencing token below the highest seen;
//   - 421 for an order addressed to another host;
//   - 400 for an order that it can't carry out.
type Order struct {
	Unload     bool   `json:"unload,omitempty"`
	Model      string `json:"model"`
	Adapter    string `json:"adapter,omitempty"`
	Checkpoint string `json:"checkpoint,omitempty"`
	MemoryMiB  uint32 `json:"memory_mib,omitempty"`
	// ExpectedOrders is the number of orders that the engine is expected to have
	// accepted since its start; nil skips the check.
	ExpectedOrders *int64 `json:"expected_orders,omitempty"`
	// Holder is the lease holder that sends the order and Fence its fencing token.
	// An engine that checks fences rejects a token below the highest seen.
	Holder string `json:"holder"`
	Fence  int64  `json:"fence"`
}

// EngineModel is a loaded model with its loaded adapters.
type EngineModel struct {
	Model    string   `json:"model"`
	Adapters []string `json:"adapters"`
}

// Inventory is the state that an engine reports. It may be out of date.
type Inventory struct {
	StartedUnixMs int64         `json:"started_unix_ms"`
	Models        []EngineModel `json:"models"`
	// LoadingAdapters are the adapters being loaded, as MODEL:ADAPTER.
	LoadingAdapters []string `json:"coming"`
	// Busy is set while a model is being loaded or unloaded.
	Busy bool `json:"busy"`
	// Orders counts the orders accepted since the engine started.
	Orders  int64 `json:"orders"`
	Running int   `json:"running"`
	Waiting int   `json:"waiting"`
	// OnDisk and InMemory name the models whose weights are cached on the host.
	OnDisk   []string `json:"on_disk"`
	InMemory []string `json:"in_memory"`
}
