package standin

import (
	"context"
	"fmt"
	"net/http"
	"slices"

	"github.com/ragwortdoor/ragwortdoor/internal/external"
	"github.com/ragwortdoor/ragwortdoor/internal/retry"
)

// heldModel is a model that takes memory. Engine.mu guards it.
type heldModel struct {
	model    string
	version  string
	memory   uint32
	state    external.ModelState
	adapters []external.EngineAdapter
	loaded   chan struct{} // closed when the load ends, well or not
}

func (m *heldModel) describe() external.EngineModel {
	return external.EngineModel{
		Model:     m.model,
		Version:   m.version,
		MemoryMiB: m.memory,
		State:     m.state,
		Adapters:  append([]external.EngineAdapter{}, m.adapters...),
	}
}

func (m *heldModel) adapter(name string) *external.EngineAdapter {
	for i := range m.adapters {
		if m.adapters[i].Adapter == name {
			return &m.adapters[i]
		}
	}
	return nil
}

// orderRun is one order; the same id again waits for the same run.
type orderRun struct {
	done chan struct{}
	err  *orderError // set before done is closed
}

// orderError is why an engine refuses or fails an order.
type orderError struct {
	kind    external.Kind
	message string
}

func refuse(kind external.Kind, format string, args ...any) *orderError {
	return &orderError{kind: kind, message: fmt.Sprintf(format, args...)}
}

// handleOrder answers once the order is complete. The order goes on when the
// caller goes away.
func (e *Engine) handleOrder(w http.ResponseWriter, r *http.Request) {
	var order external.Order
	if !readJSON(w, r, &order) {
		return
	}
	b, run := e.startOrder(order)
	select {
	case <-run.done:
	case <-b.ctx.Done():
		hangUp()
	case <-r.Context().Done():
		hangUp()
	}
	if b.ctx.Err() != nil {
		hangUp() // an engine that crashed answers nothing
	}
	if run.err != nil {
		writeError(w, run.err.kind, run.err.message)
		return
	}
	writeJSON(w, struct{}{})
}

func (e *Engine) startOrder(order external.Order) (*boot, *orderRun) {
	e.mu.Lock()
	defer e.mu.Unlock()
	b := e.boot
	if run, ok := b.orders[order.ID]; ok {
		return b, run
	}
	e.counts.Orders++
	run := &orderRun{done: make(chan struct{})}
	b.orders[order.ID] = run
	if e.closed {
		return b, run
	}
	if run.err = e.fence(order); run.err != nil {
		close(run.done)
		return b, run
	}
	e.orders.Go(func() {
		run.err = e.apply(b, order)
		close(run.done)
	})
	return b, run
}

// fence refuses an order with an old epoch, if the engine checks that.
func (e *Engine) fence(order external.Order) *orderError {
	highest := e.boot.epochs[order.Model]
	if order.Epoch >= highest {
		e.boot.epochs[order.Model] = order.Epoch
		return nil
	}
	if !e.knobs.Fences {
		return nil
	}
	e.counts.OrdersFenced++
	return refuse(external.KindFenced, "epoch %d of %s is older than %d", order.Epoch, order.Model, highest)
}

func (e *Engine) apply(b *boot, order external.Order) *orderError {
	switch order.Kind {
	case external.OrderLoad:
		return e.load(b, order)
	case external.OrderUnload:
		return e.unload(b, order)
	case external.OrderLoadAdapter:
		return e.loadAdapter(b, order)
	case external.OrderUnloadAdapter:
		return e.unloadAdapter(b, order)
	default:
		return refuse(external.KindInvalid, "no order %q", order.Kind)
	}
}

func (b *boot) find(model, version string) *heldModel {
	for _, m := range b.models {
		if m.model == model && m.version == version {
			return m
		}
	}
	return nil
}

// ready returns the version of a model that was loaded last, or nil.
func (b *boot) ready(model string) *heldModel {
	for _, m := range slices.Backward(b.models) {
		if m.model == model && m.state == external.ModelReady {
			return m
		}
	}
	return nil
}

func (b *boot) holds(model string) bool {
	return slices.ContainsFunc(b.models, func(m *heldModel) bool { return m.model == model })
}

func (b *boot) memory() uint32 {
	total := uint32(0)
	for _, m := range b.models {
		total += m.memory
		for _, a := range m.adapters {
			total += a.MemoryMiB
		}
	}
	return total
}

// reserve counts memory before a load. An order that does not fit crashes the
// engine, unless it is set to refuse.
func (e *Engine) reserve(b *boot, mib uint32) *orderError {
	need := b.memory() + mib
	if need <= e.memory {
		e.counts.PeakMemoryMiB = max(e.counts.PeakMemoryMiB, int64(need))
		return nil
	}
	e.counts.OvercommitAttempts++
	if !e.knobs.OvercommitRefused {
		e.restartLocked()
	}
	return refuse(external.KindNoMemory, "needs %d MiB of %d", need, e.memory)
}

// sleepIn waits within a boot. It reports false when the boot ended first.
func sleepIn(b *boot, ms int) bool { return retry.Sleep(b.ctx, milliseconds(ms)) }

func bootEnded() *orderError { return refuse(external.KindUnavailable, "the engine restarted") }

// readWeights brings a checkpoint from its nearest tier.
func (e *Engine) readWeights(ctx context.Context, checkpoint string) error {
	e.mu.Lock()
	tier := e.cached.tier(checkpoint)
	knobs := e.knobs
	e.mu.Unlock()
	switch tier {
	case external.TierMemory:
		retry.Sleep(ctx, milliseconds(knobs.MemoryLoadMS))
	case external.TierDisk:
		retry.Sleep(ctx, milliseconds(knobs.DiskLoadMS))
	default:
		if err := e.weights.read(ctx, checkpoint); err != nil {
			return err
		}
		retry.Sleep(ctx, milliseconds(knobs.MemoryLoadMS))
	}
	return ctx.Err()
}
