// Package external holds the protocols of the systems that ragwortdoor does not
// own, under its own interface: the table service, the object store and the host
// list with their clients, and what model engines are told and report.
package external

import "context"

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

// HostState is the state of a host in the platform's list.
type HostState string

// States of a host.
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

// Host is one entry of the platform's list.
type Host struct {
	ID   string   `json:"id"`
	Role HostRole `json:"role"`
	// Address is where other routers reach a router, or where an upstream takes
	// requests, "IP:PORT".
	Address string `json:"address"`
	// OperatorAddress is where a router serves operators, "IP:PORT".
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
