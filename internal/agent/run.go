package agent

import (
	"context"
	"sync"
	"time"

	"github.com/ragwortdoor/ragwortdoor/internal/agent/planner"
	"github.com/ragwortdoor/ragwortdoor/internal/external"
)

const (
	// inventoryPeriod is the pause between two reads of the inventory.
	inventoryPeriod = 5 * time.Second
	// unsettledPeriod is the pause while the outcome of an order is open.
	unsettledPeriod = 200 * time.Millisecond
	// inventoryTimeout bounds one read.
	inventoryTimeout = 2 * time.Second
	// orderTimeout bounds one order; its outcome is then unknown.
	orderTimeout = 10 * time.Minute
)

// Run takes over what the engine holds and then works until ctx is done. The
// orders in flight are given up then: the next process takes them over.
func (a *Agent) Run(ctx context.Context) error {
	a.mu.Lock()
	a.runCtx = ctx
	a.mu.Unlock()
	var loops sync.WaitGroup
	loops.Go(func() { a.heartbeat(ctx) })
	loops.Go(func() { a.inventories(ctx) })
	loops.Wait()
	a.stop()
	a.orders.Wait()
	return nil
}

func (a *Agent) stop() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.runCtx = nil
	if a.wake != nil {
		a.wake.Stop()
		a.wake = nil
	}
	for _, ask := range a.permits {
		ask.timer.Stop()
	}
}

func (a *Agent) heartbeat(ctx context.Context) {
	ticker := time.NewTicker(planner.TickPeriod)
	defer ticker.Stop()
	for {
		a.do(a.planner.Tick)
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

func (a *Agent) inventories(ctx context.Context) {
	if a.opts.Engine == nil {
		a.do(func(now time.Time) []planner.Action {
			return a.planner.Inventory(now, a.planner.MarkInventory(now), external.Inventory{})
		})
		return
	}
	for {
		known := a.inventory(ctx)
		timer := time.NewTimer(a.inventoryPause(known))
		select {
		case <-timer.C:
		case <-a.readInventory:
		case <-ctx.Done():
		}
		timer.Stop()
		if ctx.Err() != nil {
			return
		}
	}
}

func (a *Agent) inventoryPause(known bool) time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !known || a.planner.Unsettled() {
		return unsettledPeriod
	}
	return inventoryPeriod
}

// inventorySince makes sure that an inventory was asked for after since.
func (a *Agent) inventorySince(ctx context.Context, since time.Time) {
	a.inventoryMu.Lock()
	defer a.inventoryMu.Unlock()
	if !a.inventoryAt.After(since) {
		a.readInventoryLocked(ctx)
	}
}

// doubtInventory has the inventory read at once: the engine does not hold what
// it was believed to hold.
func (a *Agent) doubtInventory() {
	select {
	case a.readInventory <- struct{}{}:
	default: // a read is already due
	}
}

// inventory reads the engine's inventory once and reports whether it came.
func (a *Agent) inventory(ctx context.Context) bool {
	a.inventoryMu.Lock()
	defer a.inventoryMu.Unlock()
	return a.readInventoryLocked(ctx)
}

// readInventoryLocked is called under inventoryMu, since the ledger takes
// inventories in the order in which they were asked for.
func (a *Agent) readInventoryLocked(ctx context.Context) bool {
	a.mu.Lock()
	mark := a.planner.MarkInventory(a.opts.Clock.Now())
	a.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, inventoryTimeout)
	defer cancel()
	inv, err := a.opts.Engine.Inventory(ctx)
	if err != nil {
		a.counters.inventoryFailures.Add(1)
		a.opts.Log.Warn("inventory failed: check the engine", "host", a.opts.Host, "err", err)
		return false
	}
	a.inventoryAt = mark.At()
	a.do(func(now time.Time) []planner.Action { return a.planner.Inventory(now, mark, inv) })
	return true
}
