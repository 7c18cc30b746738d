package standin

import (
	"maps"
	"sync"
)

// ModelStats counts one model over all engines that share a Census.
type ModelStats struct {
	// Loads is the number of loads that were started.
	Loads int `json:"loads"`
	// Replicas is the number of engines that hold or load the model now.
	Replicas int `json:"held"`
	// PeakReplicas is the highest Held that was seen.
	PeakReplicas int `json:"peak_held"`
}

// adapterLoadsAtFullSpeed is the number of adapter loads that run at full speed
// over all engines of a Census.
const adapterLoadsAtFullSpeed = 30

// ReplicaStats counts replicas over several engines and holds what they share.
type ReplicaStats struct {
	adapters sharedSpeed

	mu     sync.Mutex
	models map[string]ModelStats
}

// NewReplicaStats makes an empty census.
func NewReplicaStats() *ReplicaStats {
	c := &ReplicaStats{models: make(map[string]ModelStats)}
	c.adapters.full.Store(adapterLoadsAtFullSpeed)
	return c
}

// Model returns the counts of a model.
func (c *ReplicaStats) Model(model string) ModelStats {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.models[model]
}

// Models returns the counts of each model that was ever loaded.
func (c *ReplicaStats) Models() map[string]ModelStats {
	c.mu.Lock()
	defer c.mu.Unlock()
	return maps.Clone(c.models)
}

func (c *ReplicaStats) loadStarted(model string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	m := c.models[model]
	m.Loads++
	m.Replicas++
	m.PeakReplicas = max(m.PeakReplicas, m.Replicas)
	c.models[model] = m
}

// dropped counts that an engine holds the model no more.
func (c *ReplicaStats) dropped(model string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	m := c.models[model]
	m.Replicas--
	c.models[model] = m
}
