// Package lease competes for named leases in the table service and keeps the
// won ones renewed. Expiry is measured on each process's own monotonic clock.
package lease

import (
	"context"
	"time"

	"github.com/charmbracelet/log"

	"github.com/ragwortdoor/ragwortdoor/internal/platform"
	"github.com/ragwortdoor/ragwortdoor/internal/view"
)

// CommitFunc applies a transaction and settles lost answers.
type CommitFunc func(ctx context.Context, table platform.TableService, txn platform.Txn) (platform.TxnResult, error)

// Options configure a Manager.
type Options struct {
	Table platform.TableService
	// View shows the lease rows that the router polls.
	View *view.Store
	// Holder is the host id of this router.
	Holder string
	// Address is where this router is reached, "IP:PORT".
	Address string
	// Names are the leases to compete for.
	Names []string
	// TTL is how long a row must be unchanged before others take it over.
	TTL time.Duration
	// Now tells the time with a monotonic reading; nil means time.Now.
	Now func() time.Time
	// Log may be nil.
	Log *log.Logger
	// Seed varies the jitter; 0 takes a random one.
	Seed uint64
	// Peers returns the host ids of the live routers, to spread leases over
	// them; nil means that this router is alone.
	Peers func() []string
	// Commit applies a transaction; nil calls Table.Commit without settling.
	Commit CommitFunc
}

// Guard proves that a lease is held.
type Guard struct {
	// Epoch is the fencing number.
	Epoch uint64
	// Check fails once another holder has taken the lease over.
	Check platform.Check
}

// Manager competes for leases and renews the held ones.
type Manager struct {
	opts Options
}

// New makes a manager. Call Run to start it.
func New(opts Options) *Manager { return &Manager{opts: opts} }

// Run competes for the leases until ctx ends, then releases the held ones.
func (m *Manager) Run(ctx context.Context) error {
	<-ctx.Done()
	return nil
}

// Guard returns the guard of a lease while it is surely held by this
// process's clock. It is safe for concurrent use.
func (m *Manager) Guard(name string) (Guard, bool) {
	return Guard{}, false
}
