// Package external holds the interfaces to the systems that ragwortdoor does
// not own: the table service, the object store, the weight store, the host
// list, model engines and plain services.
package external

import (
	"context"
	"io"
	"net/http"
	"time"
)

// Row is one row of the table service.
type Row struct {
	Key   string `json:"key"`
	Value []byte `json:"value,omitempty"`
	// Version is the table revision of the row's last write; 0 means absent.
	Version int64 `json:"version"`
	// TxnID is the id of the transaction that wrote the row last.
	TxnID string `json:"txn_id,omitempty"`
}

// Check demands that a row still has a version. Version 0 demands absence.
type Check struct {
	Key     string `json:"key"`
	Version int64  `json:"version"`
}

// Put writes one row.
type Put struct {
	Key   string `json:"key"`
	Value []byte `json:"value"`
}

// Txn is an atomic conditional write. All checks hold or nothing is written.
type Txn struct {
	// ID is unique for each transaction and is stored with every row it writes.
	ID      string   `json:"id"`
	Checks  []Check  `json:"checks,omitempty"`
	Puts    []Put    `json:"puts,omitempty"`
	Deletes []string `json:"deletes,omitempty"`
}

// TxnResult tells whether a transaction took effect.
type TxnResult struct {
	Committed bool `json:"committed"`
	// Version is the table revision of the commit.
	Version int64 `json:"version"`
	// Conflicts holds the present state of each row whose check failed; an
	// absent row has Version 0.
	Conflicts []Row `json:"conflicts,omitempty"`
}

// Changes are the rows under a prefix that were written after a revision.
type Changes struct {
	Rows []Row `json:"rows"`
	// Revision is the table revision at which the rows were read.
	Revision int64 `json:"revision"`
}

// TableService is the platform's transactional table. Errors are of type
// *Error; OutcomeUnknown is set when a commit may have taken effect.
type TableService interface {
	// Get reads one row; a row with Version 0 is absent.
	Get(ctx context.Context, key string) (Row, error)
	// Changes lists the rows under prefix with a Version above after. Deleted
	// rows are not reported.
	Changes(ctx context.Context, prefix string, after int64) (Changes, error)
	// Commit applies a transaction.
	Commit(ctx context.Context, txn Txn) (TxnResult, error)
}

// ObjectStore keeps immutable bodies under keys.
type ObjectStore interface {
	Put(ctx context.Context, key string, body []byte) error
	// Get returns an *Error of KindNotFound for an absent key.
	Get(ctx context.Context, key string) ([]byte, error)
	// List returns the keys under a prefix in order.
	List(ctx context.Context, prefix string) ([]string, error)
}

// CheckpointInfo describes a checkpoint of the weight store.
type CheckpointInfo struct {
	Checkpoint string `json:"checkpoint"`
	SizeMiB    uint32 `json:"size_mib"`
}

// WeightStore holds checkpoints. Engines read them; ragwortdoor only asks
// about them.
type WeightStore interface {
	Stat(ctx context.Context, checkpoint string) (CheckpointInfo, error)
}

// HostState is the state of a host in the platform's list.
type HostState string

// States of a host.
const (
	HostLive    HostState = "live"
	HostLeaving HostState = "leaving"
)

// HostRole is what runs on a host.
type HostRole string

// Roles of a host.
const (
	RoleRouter   HostRole = "router"
	RoleUpstream HostRole = "upstream"
)

// Host is one entry of the platform's list.
type Host struct {
	ID   string   `json:"id"`
	Role HostRole `json:"role"`
	// Address is where the router's gossip or the sidecar listens, "IP:PORT".
	Address string `json:"address"`
	// OperatorAddress is where the process serves operators, "IP:PORT".
	OperatorAddress string    `json:"operator_address"`
	Pool            string    `json:"pool"`
	FailureDomain   string    `json:"failure_domain"`
	Region          string    `json:"region"`
	State           HostState `json:"state"`
	// MemoryMiB is the accelerator memory of an upstream host.
	MemoryMiB uint32 `json:"memory_mib"`
	// Service names the plain service of an upstream host, if it runs one.
	Service string `json:"service"`
}

// HostListing is the platform's list of hosts. It lags.
type HostListing struct {
	Hosts []Host `json:"hosts"`
	// Revision grows with each change of the list.
	Revision int64 `json:"revision"`
}

// HostList reads the platform's list of hosts.
type HostList interface {
	Hosts(ctx context.Context) (HostListing, error)
}

// OrderKind is what an engine is told to do.
type OrderKind string

// Kinds of order.
const (
	OrderLoad          OrderKind = "load"
	OrderUnload        OrderKind = "unload"
	OrderLoadAdapter   OrderKind = "load_adapter"
	OrderUnloadAdapter OrderKind = "unload_adapter"
)

// Order tells an engine to change what it holds.
type Order struct {
	// ID is unique; an engine applies an order once.
	ID   string    `json:"id"`
	Kind OrderKind `json:"kind"`
	// Epoch is the fencing number; an engine that checks it refuses a number
	// lower than the highest that it has seen for the model.
	Epoch      uint64 `json:"epoch"`
	Model      string `json:"model"`
	Version    string `json:"version"`
	Adapter    string `json:"adapter,omitempty"`
	Checkpoint string `json:"checkpoint"`
	MemoryMiB  uint32 `json:"memory_mib"`
}

// Tier is the nearest place from which an engine can load a checkpoint.
type Tier string

// Tiers, nearest first.
const (
	TierMemory Tier = "memory"
	TierDisk   Tier = "disk"
	TierRemote Tier = "remote"
)

// ModelState is the state of a model in an engine.
type ModelState string

// States of a model.
const (
	ModelLoading   ModelState = "loading"
	ModelReady     ModelState = "ready"
	ModelUnloading ModelState = "unloading"
)

// EngineModel is one model that an engine holds, loads or unloads.
type EngineModel struct {
	Model     string          `json:"model"`
	Version   string          `json:"version"`
	MemoryMiB uint32          `json:"memory_mib"`
	State     ModelState      `json:"state"`
	Adapters  []EngineAdapter `json:"adapters"`
}

// EngineAdapter is one adapter that an engine holds.
type EngineAdapter struct {
	Adapter   string     `json:"adapter"`
	MemoryMiB uint32     `json:"memory_mib"`
	State     ModelState `json:"state"`
}

// CachedCheckpoint is a checkpoint that an engine's host holds.
type CachedCheckpoint struct {
	Checkpoint string `json:"checkpoint"`
	Tier       Tier   `json:"tier"`
}

// Inventory is what an engine holds at this moment.
type Inventory struct {
	// BootID is unique for each start of the engine.
	BootID         string             `json:"boot_id"`
	MemoryTotalMiB uint32             `json:"memory_total_mib"`
	Models         []EngineModel      `json:"models"`
	Cached         []CachedCheckpoint `json:"cached"`
}

// EngineLoad is an engine's own load report. It lags.
type EngineLoad struct {
	Running int `json:"running"`
	Waiting int `json:"waiting"`
}

// Generation asks an engine for tokens.
type Generation struct {
	RequestID string `json:"request_id"`
	Model     string `json:"model"`
	Adapter   string `json:"adapter,omitempty"`
	Prompt    string `json:"prompt"`
	MaxTokens int    `json:"max_tokens"`
	// Offset is the first token that is wanted. An engine that still has the
	// stream of RequestID goes on with it; another computes up to it anew.
	Offset   int `json:"offset"`
	Priority int `json:"priority"`
}

// TokenEvent is one line of an engine's stream.
type TokenEvent struct {
	RequestID string `json:"request_id"`
	// Offset is the position of the token in the whole answer.
	Offset int    `json:"offset"`
	Text   string `json:"text"`
	// Done marks the end; Offset is then the number of tokens of the answer.
	Done         bool   `json:"done"`
	FinishReason string `json:"finish_reason,omitempty"`
	Error        string `json:"error,omitempty"`
}

// TokenStream yields the events of one generation.
type TokenStream interface {
	// Next returns io.EOF after the event that has Done set, and an *Error
	// when the stream was cut before it.
	Next() (TokenEvent, error)
	Close() error
}

// CacheEvent is a change of an engine's prompt prefix cache. Events come late
// and with gaps in Sequence.
type CacheEvent struct {
	Sequence   int64  `json:"sequence"`
	Model      string `json:"model"`
	PrefixHash uint64 `json:"prefix_hash"`
	Stored     bool   `json:"stored"`
}

// Engine is a model engine. A failed Do has OutcomeUnknown set when the order
// may have taken effect; the inventory settles it.
type Engine interface {
	// Do applies an order and returns once it is complete. It may take minutes.
	Do(ctx context.Context, order Order) error
	Inventory(ctx context.Context) (Inventory, error)
	Load(ctx context.Context) (EngineLoad, error)
	// Generate starts or resumes a stream.
	Generate(ctx context.Context, gen Generation) (TokenStream, error)
	// Cancel ends the stream of a request; an unknown one is no error.
	Cancel(ctx context.Context, requestID string) error
	// CacheEvents lists the events after a sequence number.
	CacheEvents(ctx context.Context, after int64) ([]CacheEvent, error)
}

// ServiceCall is one call of a plain service.
type ServiceCall struct {
	RequestID string
	Method    string
	// Path includes the query.
	Path   string
	Header http.Header
	Body   io.Reader
}

// ServiceResponse is the answer of a plain service. Close the body.
type ServiceResponse struct {
	Status int
	Header http.Header
	Body   io.ReadCloser
}

// Service is a plain service. A failed Call has OutcomeUnknown set once a byte
// of the call may have reached the service.
type Service interface {
	Call(ctx context.Context, call ServiceCall) (ServiceResponse, error)
}

// Clock tells the time; tests inject their own.
type Clock interface {
	Now() time.Time
}
