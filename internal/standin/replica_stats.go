package standin

import (
	"maps"
	"sync"
)

// ModelStats counts the replicas of one model over all engines that share a
// ReplicaStats.
type ModelStats struct {
	// Loads is the number of loads started.
	Loads int `json:"loads"`
	// Replicas is the number of engines on which the model is loaded or loading.
	Replicas int `json:"held"`
	// PeakReplicas is the highest Replicas seen so far.
	PeakReplicas int `json:"peak_held"`
}

// fullSpeedAdapterLoads is the number of adapter loads that run at full speed at
// a time, over all engines that share a ReplicaStats.
const fullSpeedAdapterLoads = 30

// ReplicaStats counts model replicas over several engines and holds the adapter
// bandwidth that they share. It is safe for concurrent use.
type ReplicaStats struct {
	adapters sharedBandwidth

	mu     sync.Mutex
	models map[string]ModelStats
}

// NewReplicaStats returns empty counters.
func NewReplicaStats() *ReplicaStats {
	s := &ReplicaStats{models: make(map[string]ModelStats)}
	s.adapters.fullSpeedJobs.Store(fullSpeedAdapterLoads)
	return s
}

// Model returns the counts of a model.
func (s *ReplicaStats) Model(model string) ModelStats {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.models[model]
}

// Models returns the counts of each model that was loaded at least once.
func (s *ReplicaStats) Models() map[string]ModelStats {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.models)
}

func (s *ReplicaStats) loadStarted(model string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	m := s.models[model]
	m.Loads++
	m.Replicas++
	m.PeakReplicas = max(m.PeakReplicas, m.Replicas)
	s.models[model] = m
}

// replicaRemoved counts that an engine unloaded the model or lost it in a restart.
func (s *ReplicaStats) replicaRemoved(model string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	m := s.models[model]
	m.Replicas--
	s.models[model] = m
}
