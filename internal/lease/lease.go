// Package lease competes for named leases in the table service and keeps the
// won ones renewed. Expiry is measured on each process's own monotonic clock:
// a holder stops to rely on a lease well before another may take it over.
// Where the clocks fail, the check of the epoch row in each transaction still
// keeps a former holder from changing anything.
package lease

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"

	"github.com/ragwortdoor/ragwortdoor/internal/external"
	"github.com/ragwortdoor/ragwortdoor/internal/view"
)

// DefaultTTL is the time to live of a lease whose Options name none.
const DefaultTTL = 5 * time.Second

// CommitFunc applies a transaction and settles lost answers.
type CommitFunc func(ctx context.Context, table external.TableService, txn external.Txn) (external.TxnResult, error)

// Options configure a Manager.
type Options struct {
	Table external.TableService
	// View shows the lease rows that the router polls.
	View *view.Store
	// Holder is the host id of this router.
	Holder string
	// Address is where this router is reached, "IP:PORT".
	Address string
	// Names are the leases to compete for.
	Names []string
	// TTL is how long a row must be unchanged before others take it over; 0
	// means DefaultTTL.
	TTL time.Duration
	// Now tells the time with a monotonic reading; nil means time.Now.
	Now func() time.Time
	// Log may be nil.
	Log *log.Logger
	// Seed varies the jitter and the transaction ids; 0 takes a random one.
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
	Check external.Check
}

// Manager competes for leases and renews the held ones.
type Manager struct {
	opts   Options
	timing timing
	ids    *txnIDs
	random *rand.Rand

	// The fields below belong to the goroutine of Run, but for the atomic
	// grants inside the entries.
	entries      []*entry
	byName       map[string]*entry // never changes after New
	peers        []string
	snapshot     *view.Snapshot
	nextRenewal  time.Time
	nextHandover time.Time
	// renewFailures and takeFailures count the commits without an answer since
	// the last that had one.
	renewFailures int
	nextTake      time.Time
	takeFailures  int

	stats counters
}

// New makes a manager. Call Run to start it.
func New(opts Options) *Manager {
	if opts.TTL <= 0 {
		opts.TTL = DefaultTTL
	}
	if opts.Now == nil {
		opts.Now = time.Now
	}
	if opts.Seed == 0 {
		opts.Seed = rand.Uint64()
	}
	if opts.Commit == nil {
		opts.Commit = commitOnce
	}
	m := &Manager{
		opts:   opts,
		timing: timing{ttl: opts.TTL},
		ids:    newTxnIDs(opts.Holder, opts.Seed),
		random: rand.New(rand.NewPCG(opts.Seed, 0)),
		byName: make(map[string]*entry, len(opts.Names)),
	}
	for _, name := range opts.Names {
		e := &entry{name: name}
		m.watch(e, opts.Now())
		m.entries = append(m.entries, e)
		m.byName[name] = e
	}
	return m
}

func commitOnce(ctx context.Context, table external.TableService, txn external.Txn) (external.TxnResult, error) {
	return table.Commit(ctx, txn)
}

// Run competes for the leases until ctx ends, then releases the held ones so
// that others take them over at once.
func (m *Manager) Run(ctx context.Context) error {
	ticker := time.NewTicker(m.timing.tick())
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			m.releaseAll(context.WithoutCancel(ctx))
			return nil
		case <-ticker.C:
			m.step(ctx)
		}
	}
}

// step does all that is due now.
func (m *Manager) step(ctx context.Context) {
	m.observe()
	m.rankPeers()
	m.claimOwn(ctx)
	m.renew(ctx)
	m.contend(ctx)
}

// Guard returns the guard of a lease while it is surely held by this
// process's clock. It is safe for concurrent use.
func (m *Manager) Guard(name string) (Guard, bool) {
	e := m.byName[name]
	if e == nil {
		return Guard{}, false
	}
	// One load gives a guard and the limit that belongs to it. A lease lost
	// after the load is caught by the check of the epoch row.
	g := e.grant.Load()
	if g == nil || !m.opts.Now().Before(g.validUntil) {
		return Guard{}, false
	}
	return g.guard, true
}

// Stats counts what a manager did since its start.
type Stats struct {
	// Held is the number of leases held at this moment.
	Held uint64 `json:"held"`
	// Renewals counts commits that renewed the held leases.
	Renewals  uint64 `json:"renewals"`
	Takeovers uint64 `json:"takeovers"`
	// Handovers counts leases given to the router that should hold them.
	Handovers uint64 `json:"handovers"`
	// Lost counts leases that another router took over.
	Lost uint64 `json:"lost"`
	// Failures counts commits that brought no answer.
	Failures uint64 `json:"failures"`
}

type counters struct {
	renewals, takeovers, handovers, lost, failures atomic.Uint64
}

// Stats returns the counters. It is safe for concurrent use.
func (m *Manager) Stats() Stats {
	s := Stats{
		Renewals:  m.stats.renewals.Load(),
		Takeovers: m.stats.takeovers.Load(),
		Handovers: m.stats.handovers.Load(),
		Lost:      m.stats.lost.Load(),
		Failures:  m.stats.failures.Load(),
	}
	for name := range m.byName {
		if _, ok := m.Guard(name); ok {
			s.Held++
		}
	}
	return s
}
