package standin

import (
	"maps"
	"sync"
)

// ModelCensus counts one model over all engines that share a Census.
type ModelCensus struct {
	// Loads is the number of loads that were started.
	Loads int `json:"loads"`
	// Held is the number of engines that hold or load the model now.
	Held int `json:"held"`
	// PeakHeld is the highest Held that was seen.
	PeakHeld int `json:"peak_held"`
}

// adapterLoadsAtFullSpeed is the number of adapter loads that run at full speed
// over all engines of a Census.
const adapterLoadsAtFullSpeed = 30

// Census counts replicas over several engines and holds what they share.
type Census struct {
	adapters sharedSpeed

	mu     sync.Mutex
	models map[string]ModelCensus
}

// NewCensus makes an empty census.
func NewCensus() *Census {
	c := &Census{models: make(map[string]ModelCensus)}
	c.adapters.full.Store(adapterLoadsAtFullSpeed)
	return c
}

// Model returns the counts of a model.
func (c *Census) Model(model string) ModelCensus {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.models[model]
}

// Models returns the counts of each model that was ever loaded.
func (c *Census) Models() map[string]ModelCensus {
	c.mu.Lock()
	defer c.mu.Unlock()
	return maps.Clone(c.models)
}

func (c *Census) loadStarted(model string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	m := c.models[model]
	m.Loads++
	m.Held++
	m.PeakHeld = max(m.PeakHeld, m.Held)
	c.models[model] = m
}

// dropped counts that an engine holds the model no more.
func (c *Census) dropped(model string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	m := c.models[model]
	m.Held--
	c.models[model] = m
}
