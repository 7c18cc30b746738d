package decider

import (
	"context"
	"fmt"
	"strings"

	"google.golang.org/protobuf/proto"

	apiv1 "github.com/ragwortdoor/ragwortdoor/api/ragwortdoor/v1"
	"github.com/ragwortdoor/ragwortdoor/internal/config"
	"github.com/ragwortdoor/ragwortdoor/internal/external"
	"github.com/ragwortdoor/ragwortdoor/internal/lease"
	"github.com/ragwortdoor/ragwortdoor/internal/placement"
	"github.com/ragwortdoor/ragwortdoor/internal/view"
)

// outcome is how an order ended.
type outcome string

const (
	outcomeCommitted outcome = "committed"
	// outcomeConflict: another write came first; nothing was changed.
	outcomeConflict outcome = "conflict"
	// outcomeUnknown: no answer. The order may take effect until any row of
	// the model changes.
	outcomeUnknown outcome = "unknown"
	// outcomeLeaseLost: the shard's lease is no longer held; nothing was sent.
	outcomeLeaseLost outcome = "lease lost"
)

// execute commits the orders one after another. It gives up when the table
// fails or a new configuration has come, and skips the rest of a model once one
// of its orders did not commit.
func (d *Decider) execute(ctx context.Context, held guards, decided *config.Index, orders []placement.Order) {
	skip := make(map[string]bool)
	for _, order := range orders {
		if d.opts.View.Load().Config != decided {
			return
		}
		if skip[order.Model] {
			continue
		}
		if !d.limiter.AllowN(d.opts.Now(), 1) {
			return
		}
		shard := placement.ShardOf(order.Model, d.opts.Shards)
		out, err := d.commit(ctx, order, shard, held[shard])
		d.count(out)
		d.log(order, shard, held[shard].Epoch, out, err)
		if out != outcomeCommitted {
			skip[order.Model] = true
		}
		if err != nil {
			d.failures++
			return
		}
		d.failures = 0
	}
}

// commit writes one order. Its transaction checks the shard's epoch and every
// slot row of the model, so that of two transactions made from the same rows
// only one takes effect, also when the first one arrives late.
func (d *Decider) commit(ctx context.Context, order placement.Order, shard uint32, decided lease.Guard) (outcome, error) {
	guard, ok := d.opts.Leases.Guard(d.shardLeases[shard])
	if !ok || guard != decided {
		return outcomeLeaseLost, nil
	}
	slots := d.opts.View.Load().Slots[order.Model]
	if versionOf(slots, order.Slot) != order.Version {
		return outcomeConflict, nil
	}
	row := rowOf(order, slots, shard, guard.Epoch)
	value, err := proto.Marshal(row)
	if err != nil {
		return outcomeUnknown, fmt.Errorf("encode slot %s/%d: %w", order.Model, order.Slot, err)
	}
	key := external.SlotKey(order.Model, order.Slot)
	ctx, cancel := context.WithTimeout(ctx, tableTimeout)
	defer cancel()
	result, err := d.opts.Commit(ctx, d.opts.Table, external.Txn{
		ID:     d.nextTxnID(),
		Checks: append(modelChecks(order.Model, slots), guard.Check),
		Puts:   []external.Put{{Key: key, Value: value}},
	})
	if err != nil {
		return outcomeUnknown, err
	}
	if !result.Committed {
		d.learn(result.Conflicts)
		return outcomeConflict, nil
	}
	d.learn([]external.Row{{Key: key, Value: value, Version: result.Version}})
	return outcomeCommitted, nil
}

// modelChecks demands that a model's rows are as known, and that there are no
// others: rows are numbered without gaps and never deleted.
func modelChecks(model string, slots []view.Slot) []external.Check {
	next := placement.NextSlot(slots)
	checks := make([]external.Check, 0, next+2)
	for number := range next + 1 {
		checks = append(checks, external.Check{
			Key:     external.SlotKey(model, number),
			Version: versionOf(slots, number),
		})
	}
	return checks
}

// versionOf returns the version of a slot's row, or 0 when there is none.
func versionOf(slots []view.Slot, number uint32) int64 {
	for _, slot := range slots {
		if slot.Row.GetSlot() == number {
			return slot.Version
		}
	}
	return 0
}

// rowOf returns the slot row after an order. Its epoch never falls, also when
// the model has come to another shard.
func rowOf(order placement.Order, slots []view.Slot, shard uint32, epoch uint64) *apiv1.SlotRow {
	for _, slot := range slots {
		epoch = max(epoch, slot.Row.GetEpoch())
	}
	row := &apiv1.SlotRow{
		Model:      order.Model,
		Slot:       order.Slot,
		Host:       order.Host,
		Generation: order.Generation,
		Epoch:      epoch,
		Shard:      shard,
	}
	switch order.Kind {
	case placement.Create, placement.Assign:
		row.State = apiv1.SlotState_SLOT_STATE_ASSIGNED
	case placement.Release:
		row.State = apiv1.SlotState_SLOT_STATE_RELEASING
	case placement.Free:
		row.State = apiv1.SlotState_SLOT_STATE_FREE
		row.Host = ""
	}
	return row
}

// learn folds rows into the view before the next poll brings them.
func (d *Decider) learn(rows []external.Row) {
	var present []external.Row
	for _, row := range rows {
		if row.Version > 0 && strings.HasPrefix(row.Key, external.SlotPrefix) {
			present = append(present, row)
		}
	}
	d.opts.View.ApplyRows(external.Changes{Rows: present})
}

func (d *Decider) nextTxnID() string {
	d.txns++
	return fmt.Sprintf("decider-%016x-%d", d.opts.Seed, d.txns)
}

func (d *Decider) count(out outcome) {
	switch out {
	case outcomeCommitted:
		d.stats.committed.Add(1)
	case outcomeConflict, outcomeLeaseLost:
		d.stats.conflicts.Add(1)
	case outcomeUnknown:
		d.stats.unknown.Add(1)
	}
}

// log writes the line of one decision.
func (d *Decider) log(order placement.Order, shard uint32, epoch uint64, out outcome, err error) {
	if d.opts.Log == nil {
		return
	}
	d.opts.Log.Info("placement decision",
		"order", order.Kind.String(), "model", order.Model, "slot", order.Slot,
		"host", order.Host, "generation", order.Generation, "shard", shard,
		"epoch", epoch, "reason", string(order.Reason),
		"alternatives", order.Alternatives, "outcome", string(out), "err", err)
}
