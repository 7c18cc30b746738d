// Package external defines the protocols of the systems around ragwortdoor: the
// table service, the object store and the host list, each with a client, and the
// orders, inventories and headers of model engines.
//
// The lease holder is the router whose scheduler sends orders to the engines. Its
// fence is a fencing token that grows with each new holder, so that engines can
// reject orders of a previous one. An inventory is the list of models and adapters
// that an engine reports on request. The outcome of a failed call is known when
// the call certainly had no effect, and unknown when it may have taken effect.
package external

import "context"

// Row is one row of the table service.
type Row struct {
	Key   string `json:"key"`
	Value []byte `json:"value,omitempty"`
	// Version is the table revision of the row's last write; 0 for an absent row.
	Version int64 `json:"version"`
	// TxnID is the id of the transaction of the last write.
	TxnID string `json:"txn_id,omitempty"`
	// Era is the table's era at the read; see package era. The versions of a table with
	// eras contain it.
	Era int64 `json:"-"`
}

// Check requires that a row has a version. Version 0 requires that it is absent.
type Check struct {
	Key     string `json:"key"`
	Version int64  `json:"version"`
}

// Put writes one row.
type Put struct {
	Key   string `json:"key"`
	Value []byte `json:"value"`
}

// Txn is an atomic conditional write. Nothing is written unless all checks hold.
type Txn struct {
	// ID is unique to the transaction and is stored with every row that it writes.
	ID      string   `json:"id"`
	Checks  []Check  `json:"checks,omitempty"`
	Puts    []Put    `json:"puts,omitempty"`
	Deletes []string `json:"deletes,omitempty"`
}

// TxnResult reports whether a transaction took effect.
type TxnResult struct {
	Committed bool `json:"committed"`
	// Version is the table revision of the commit.
	Version int64 `json:"version"`
	// Conflicts holds the current state of each row whose check failed; an
	// absent row has Version 0.
	Conflicts []Row `json:"conflicts,omitempty"`
	// Era is as in Row.
	Era int64 `json:"-"`
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
	// Get reads one row. An absent row has Version 0.
	Get(ctx context.Context, key string) (Row, error)
	// Changes returns the rows under prefix with a Version above after. Deleted
	// rows are not reported.
	Changes(ctx context.Context, prefix string, after int64) (Changes, error)
	// Commit applies a transaction.
	Commit(ctx context.Context, txn Txn) (TxnResult, error)
}

// ObjectStore stores immutable bodies under keys.
type ObjectStore interface {
	Put(ctx context.Context, key string, body []byte) error
	// Get returns an *Error of KindNotFound for an absent key.
	Get(ctx context.Context, key string) ([]byte, error)
	// List returns the keys under a prefix in key order.
	List(ctx context.Context, prefix string) ([]string, error)
}

// HostState is the lifecycle state of a host.
type HostState string

// Lifecycle states of a host. A draining host is about to be removed and gets no
// new requests.
const (
	HostLive     HostState = "live"
	HostDraining HostState = "leaving"
)

// HostRole is what runs on a host.
type HostRole string

// Roles of a host.
const (
	RoleRouter   HostRole = "router"
	RoleUpstream HostRole = "upstream"
)

// Host is one host of the platform's list.
type Host struct {
	ID   string   `json:"id"`
	Role HostRole `json:"role"`
	// Address is where a router accepts its peers, or where an upstream accepts
	// requests, "IP:PORT".
	Address string `json:"address"`
	// OperatorAddress is where a router serves the operators' API, "IP:PORT".
	OperatorAddress string    `json:"operator_address"`
	Pool            string    `json:"pool"`
	FailureDomain   string    `json:"failure_domain"`
	Region          string    `json:"region"`
	State           HostState `json:"state"`
	// MemoryMiB is the accelerator memory of an upstream host.
	MemoryMiB uint32 `json:"memory_mib"`
	// Service names the plain service of an upstream host; empty for an engine.
	Service string `json:"service"`
	// StartedUnixMs is when the upstream's process started.
	StartedUnixMs int64 `json:"started_unix_ms"`
}

// HostListing is the platform's list of hosts. It may be out of date.
type HostListing struct {
	Hosts []Host `json:"hosts"`
	// Revision increases with each change of the list.
	Revision int64 `json:"revision"`
}

// HostList reads the platform's list of hosts.
type HostList interface {
	Hosts(ctx context.Context) (HostListing, error)
}
