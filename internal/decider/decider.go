// Package decider runs the decision loop of a router: for each shard whose
// lease it holds it decides, commits the orders and sees releases through.
package decider

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"golang.org/x/time/rate"

	apiv1 "github.com/ragwortdoor/ragwortdoor/api/ragwortdoor/v1"
	"github.com/ragwortdoor/ragwortdoor/internal/external"
	"github.com/ragwortdoor/ragwortdoor/internal/lease"
	"github.com/ragwortdoor/ragwortdoor/internal/placement"
	"github.com/ragwortdoor/ragwortdoor/internal/view"
)

// Sidecars sends orders to sidecars.
type Sidecars interface {
	// Release asks a host's sidecar to unload a slot. Only a reply with
	// released set frees the slot.
	Release(ctx context.Context, host string, order *apiv1.ReleaseSlot) (*apiv1.ReleaseReply, error)
}

// Leases tells which leases are held; *lease.Manager implements it.
type Leases interface {
	Guard(name string) (lease.Guard, bool)
}

// Options configure a Decider.
type Options struct {
	Table external.TableService
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
	// Seed varies the jitter and the transaction ids; 0 takes a random one.
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
	// Unknown counts orders that brought no answer.
	Unknown uint64 `json:"unknown"`
	// Releases counts releases that sidecars confirmed.
	Releases uint64 `json:"releases"`
	// ReleaseFailures counts releases that a sidecar refused or left unanswered.
	ReleaseFailures uint64 `json:"release_failures"`
	// Stranded is the number of releasing slots whose host does not answer.
	Stranded uint64 `json:"stranded"`
	// ModelsShort is the number of models with fewer usable slots than their
	// min_replicas.
	ModelsShort uint64 `json:"models_short"`
	// ShardsHeld is the number of shards decided in the last round.
	ShardsHeld uint64 `json:"shards_held"`
}

type counters struct {
	rounds, committed, conflicts, unknown, releases, releaseFailures atomic.Uint64
	stranded, modelsShort, shardsHeld                                atomic.Uint64
}

// Decider runs the decision loop.
type Decider struct {
	opts Options
	// shardLeases are the lease names by shard.
	shardLeases []string

	// The fields below belong to the goroutine of Run.
	memory  *placement.Memory
	limiter *rate.Limiter
	random  *rand.Rand
	// readEpochs holds, for each shard, the epoch under which the table was
	// read after the takeover.
	readEpochs map[uint32]uint64
	txns       uint64
	failures   int

	releases *releaser
	stats    counters
	// hosts is replaced whole each round and read by Hosts.
	hosts atomic.Pointer[[]string]
}

// New makes a decider. Call Run to start it.
func New(opts Options) *Decider {
	opts = withDefaults(opts)
	d := &Decider{
		opts:       opts,
		memory:     placement.NewMemory(),
		limiter:    rate.NewLimiter(0, 0),
		random:     rand.New(rand.NewPCG(opts.Seed, 1)),
		readEpochs: make(map[uint32]uint64),
	}
	for shard := range opts.Shards {
		d.shardLeases = append(d.shardLeases, external.ShardLease(shard))
	}
	d.releases = newReleaser(opts.Sidecars, &d.stats, opts.Now)
	return d
}

func withDefaults(opts Options) Options {
	if opts.Shards == 0 {
		opts.Shards = 1
	}
	if opts.Round <= 0 {
		opts.Round = DefaultRound
	}
	if opts.OrdersPerSecond <= 0 {
		opts.OrdersPerSecond = DefaultOrdersPerSecond
	}
	if opts.Timing == (placement.Timing{}) {
		opts.Timing = placement.DefaultTiming()
	}
	if opts.Now == nil {
		opts.Now = time.Now
	}
	if opts.Seed == 0 {
		opts.Seed = rand.Uint64()
	}
	if opts.Commit == nil {
		opts.Commit = func(ctx context.Context, table external.TableService, txn external.Txn) (external.TxnResult, error) {
			return table.Commit(ctx, txn)
		}
	}
	return opts
}

// Run decides in rounds until ctx ends, and returns once its calls of sidecars
// have ended.
func (d *Decider) Run(ctx context.Context) error {
	defer d.releases.wait()
	timer := time.NewTimer(d.nextWait())
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-timer.C:
			d.round(ctx)
			timer.Reset(d.nextWait())
		}
	}
}

// maxBackoffDoublings bounds the wait after rounds in which the table failed.
const maxBackoffDoublings = 4

// nextWait is the jittered time to the next round; it grows while the table
// doesn't answer.
func (d *Decider) nextWait() time.Duration {
	wait := d.opts.Round << min(d.failures, maxBackoffDoublings)
	jitter := time.Duration(d.random.Int64N(int64(wait)/4 + 1))
	return wait - wait/8 + jitter
}

// Hosts returns the hosts that hold slots of the shards decided in the last
// round. Their load reports are wanted. It is safe for concurrent use.
func (d *Decider) Hosts() []string {
	hosts := d.hosts.Load()
	if hosts == nil {
		return nil
	}
	return *hosts
}

// Stats returns the counters. It is safe for concurrent use.
func (d *Decider) Stats() Stats {
	return Stats{
		Rounds:          d.stats.rounds.Load(),
		Committed:       d.stats.committed.Load(),
		Conflicts:       d.stats.conflicts.Load(),
		Unknown:         d.stats.unknown.Load(),
		Releases:        d.stats.releases.Load(),
		ReleaseFailures: d.stats.releaseFailures.Load(),
		Stranded:        d.stats.stranded.Load(),
		ModelsShort:     d.stats.modelsShort.Load(),
		ShardsHeld:      d.stats.shardsHeld.Load(),
	}
}
