package standin

import (
	"slices"

	"github.com/ragwortdoor/ragwortdoor/internal/external"
)

// load loads a model. A second load of a version joins the first one.
func (e *Engine) load(b *boot, order external.Order) *orderError {
	held, started, refused := e.beginLoad(b, order)
	if refused != nil {
		return refused
	}
	if !started {
		return e.joinLoad(b, held)
	}
	err := e.readWeights(b.ctx, order.Checkpoint)
	e.mu.Lock()
	defer e.mu.Unlock()
	defer close(held.loaded)
	if b.ctx.Err() != nil {
		return bootEnded()
	}
	if err != nil {
		e.remove(b, held)
		return refuse(external.KindUnavailable, "load of %s: %v", order.Checkpoint, err)
	}
	held.state = external.ModelReady
	e.cached.put(order.Checkpoint)
	return nil
}

// beginLoad takes memory for a model. started is false when the engine already
// holds or loads it.
func (e *Engine) beginLoad(b *boot, order external.Order) (held *heldModel, started bool, refused *orderError) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if b.ctx.Err() != nil {
		return nil, false, bootEnded()
	}
	if held = b.find(order.Model, order.Version); held != nil {
		return held, false, nil
	}
	if refused = e.reserve(b, order.MemoryMiB); refused != nil {
		return nil, false, refused
	}
	held = &heldModel{
		model:   order.Model,
		version: order.Version,
		memory:  order.MemoryMiB,
		state:   external.ModelLoading,
		loaded:  make(chan struct{}),
	}
	e.census.loadStarted(order.Model, !b.holds(order.Model))
	e.counts.Loads[order.Model]++
	b.models = append(b.models, held)
	return held, true, nil
}

// joinLoad waits for a load that another order began.
func (e *Engine) joinLoad(b *boot, held *heldModel) *orderError {
	select {
	case <-held.loaded:
	case <-b.ctx.Done():
		return bootEnded()
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if held.state != external.ModelReady || !slices.Contains(b.models, held) {
		return refuse(external.KindUnavailable, "%s was not loaded", held.model)
	}
	return nil
}

// unload frees a model. Its running streams are cut.
func (e *Engine) unload(b *boot, order external.Order) *orderError {
	held, refused := e.beginUnload(b, order)
	if refused != nil {
		return refused
	}
	if !sleepIn(b, e.Knobs().UnloadMS) {
		return bootEnded()
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if b.ctx.Err() != nil {
		return bootEnded()
	}
	e.remove(b, held)
	e.counts.Unloads++
	return nil
}

func (e *Engine) beginUnload(b *boot, order external.Order) (*heldModel, *orderError) {
	e.mu.Lock()
	defer e.mu.Unlock()
	held := b.find(order.Model, order.Version)
	switch {
	case b.ctx.Err() != nil:
		return nil, bootEnded()
	case held == nil:
		return nil, refuse(external.KindNotFound, "%s version %s is not loaded", order.Model, order.Version)
	case held.state != external.ModelReady:
		return nil, refuse(external.KindOverloaded, "%s is still %s", order.Model, held.state)
	}
	held.state = external.ModelUnloading
	e.cutStreams(b, order.Model)
	return held, nil
}

// remove frees a model's memory.
func (e *Engine) remove(b *boot, held *heldModel) {
	b.models = slices.DeleteFunc(b.models, func(m *heldModel) bool { return m == held })
	if !b.holds(held.model) {
		e.census.dropped(held.model)
	}
}

// loadAdapter loads an adapter onto a ready model.
func (e *Engine) loadAdapter(b *boot, order external.Order) *orderError {
	held, loading, refused := e.beginAdapter(b, order)
	if refused != nil || !loading {
		return refused
	}
	length := milliseconds(e.Knobs().AdapterLoadMS)
	if !e.census.adapters.work(b.ctx, length, func() float64 { return 1 }) {
		return bootEnded()
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	adapter := held.adapter(order.Adapter)
	if adapter == nil {
		return refuse(external.KindNotFound, "adapter %s was unloaded", order.Adapter)
	}
	adapter.State = external.ModelReady
	return nil
}

func (e *Engine) beginAdapter(b *boot, order external.Order) (held *heldModel, loading bool, refused *orderError) {
	e.mu.Lock()
	defer e.mu.Unlock()
	held = b.ready(order.Model)
	if held == nil {
		return nil, false, refuse(external.KindNotFound, "%s is not ready", order.Model)
	}
	if adapter := held.adapter(order.Adapter); adapter != nil {
		if adapter.State == external.ModelReady {
			return held, false, nil
		}
		return nil, false, refuse(external.KindOverloaded, "adapter %s is still %s", order.Adapter, adapter.State)
	}
	if refused = e.reserve(b, order.MemoryMiB); refused != nil {
		return nil, false, refused
	}
	e.counts.AdapterLoads++
	held.adapters = append(held.adapters, external.EngineAdapter{
		Adapter:   order.Adapter,
		MemoryMiB: order.MemoryMiB,
		State:     external.ModelLoading,
	})
	return held, true, nil
}

// unloadAdapter frees an adapter at once.
func (e *Engine) unloadAdapter(b *boot, order external.Order) *orderError {
	e.mu.Lock()
	defer e.mu.Unlock()
	held := b.ready(order.Model)
	if held == nil || held.adapter(order.Adapter) == nil {
		return refuse(external.KindNotFound, "adapter %s of %s is not loaded", order.Adapter, order.Model)
	}
	held.adapters = slices.DeleteFunc(held.adapters, func(a external.EngineAdapter) bool {
		return a.Adapter == order.Adapter
	})
	return nil
}
