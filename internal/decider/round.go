package decider

import (
	"cmp"
	"context"
	"math"
	"slices"
	"time"

	"golang.org/x/time/rate"

	apiv1 "github.com/ragwortdoor/ragwortdoor/api/ragwortdoor/v1"
	"github.com/ragwortdoor/ragwortdoor/internal/external"
	"github.com/ragwortdoor/ragwortdoor/internal/lease"
	"github.com/ragwortdoor/ragwortdoor/internal/placement"
	"github.com/ragwortdoor/ragwortdoor/internal/view"
)

// tableTimeout bounds one call of the table.
const tableTimeout = 2 * time.Second

// guards are the held shards.
type guards map[uint32]lease.Guard

// round decides once for every held shard.
func (d *Decider) round(ctx context.Context) {
	d.stats.rounds.Add(1)
	held := d.heldShards(ctx)
	d.stats.shardsHeld.Store(uint64(len(held)))
	if len(held) == 0 {
		d.hosts.Store(nil)
		return
	}
	state := d.state(held)
	d.memory.Observe(state)
	d.stats.modelsShort.Store(uint64(placement.ModelsShort(state)))
	d.release(ctx, state)
	state.Confirmed = d.releases.confirmedSlots()
	d.execute(ctx, held, state.Config, placement.Decide(state))
}

// heldShards returns the shards whose lease is held and whose rows were read
// since the takeover.
func (d *Decider) heldShards(ctx context.Context) guards {
	held := make(guards)
	fresh := true
	for shard, name := range d.shardLeases {
		guard, ok := d.opts.Leases.Guard(name)
		if !ok {
			continue
		}
		held[uint32(shard)] = guard
		fresh = fresh && d.readEpochs[uint32(shard)] == guard.Epoch
	}
	if !fresh && !d.readAfresh(ctx, held) {
		for shard, guard := range held {
			if d.readEpochs[shard] != guard.Epoch {
				delete(held, shard)
			}
		}
	}
	return held
}

// readAfresh reads all slot rows, so that nothing is decided from rows that
// were read under an earlier holder.
func (d *Decider) readAfresh(ctx context.Context, held guards) bool {
	ctx, cancel := context.WithTimeout(ctx, tableTimeout)
	defer cancel()
	changes, err := d.opts.Table.Changes(ctx, external.SlotPrefix, 0)
	if err != nil {
		d.failures++
		d.warn("slots not read after a takeover: check the table service", "err", err)
		return false
	}
	d.failures = 0
	// The revision is left out: rows under other prefixes were not read.
	d.opts.View.ApplyRows(external.Changes{Rows: changes.Rows})
	for shard, guard := range held {
		d.readEpochs[shard] = guard.Epoch
	}
	return true
}

// state gathers the input of placement.
func (d *Decider) state(held guards) placement.State {
	now := d.opts.Now()
	snapshot := d.opts.View.Load()
	return placement.State{
		Config:    snapshot.Config,
		Slots:     snapshot.Slots,
		Listing:   snapshot.Hosts.Hosts,
		Hosts:     snapshot.ByHost,
		HostReads: snapshot.HostReads,
		Drains:    snapshot.Drains,
		Report:    d.opts.View.Report,
		Silent:    d.silent(),
		Mine: func(model string) bool {
			_, mine := held[placement.ShardOf(model, d.opts.Shards)]
			return mine
		},
		Now:    now,
		Memory: d.memory,
		Budget: d.budget(now, len(held)),
		Seed:   d.stats.rounds.Load() + d.opts.Seed,
		Timing: d.opts.Timing,
	}
}

// silent joins the hosts that others know as silent with those that left a
// release unanswered.
func (d *Decider) silent() map[string]bool {
	silent := d.releases.silentHosts()
	if d.opts.Silent == nil {
		return silent
	}
	for host, is := range d.opts.Silent() {
		if is {
			silent[host] = true
		}
	}
	return silent
}

// budget returns the orders allowed now: the held shards' share of what all
// deciders may write, so that a lost failure domain doesn't overload the table.
func (d *Decider) budget(now time.Time, held int) int {
	share := d.opts.OrdersPerSecond * float64(held) / float64(d.opts.Shards)
	burst := max(1, int(math.Ceil(share*d.opts.Round.Seconds()*2)))
	if d.limiter.Limit() != rate.Limit(share) {
		d.limiter.SetBurstAt(now, burst)
		d.limiter.SetLimitAt(now, rate.Limit(share))
	}
	return int(d.limiter.TokensAt(now))
}

// release asks the sidecars for the releases that are under way.
func (d *Decider) release(ctx context.Context, state placement.State) {
	var releasing []view.Slot
	hosts := make(map[string]bool)
	for model, slots := range state.Slots {
		if !state.Mine(model) {
			continue
		}
		for _, slot := range slots {
			switch slot.Row.GetState() {
			case apiv1.SlotState_SLOT_STATE_RELEASING:
				releasing = append(releasing, slot)
			case apiv1.SlotState_SLOT_STATE_FREE:
				continue
			}
			hosts[slot.Row.GetHost()] = true
		}
	}
	slices.SortFunc(releasing, func(a, b view.Slot) int {
		return cmp.Or(
			cmp.Compare(a.Row.GetModel(), b.Row.GetModel()),
			cmp.Compare(a.Row.GetSlot(), b.Row.GetSlot()),
		)
	})
	d.noteHosts(hosts)
	d.releases.ask(ctx, releasing, state.Hosts)
}

func (d *Decider) noteHosts(hosts map[string]bool) {
	list := make([]string, 0, len(hosts))
	for host := range hosts {
		list = append(list, host)
	}
	slices.Sort(list)
	d.hosts.Store(&list)
}

func (d *Decider) warn(msg string, keyvals ...any) {
	if d.opts.Log != nil {
		d.opts.Log.Warn(msg, keyvals...)
	}
}
