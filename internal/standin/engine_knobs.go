package standin

// EngineConfig are the settings of an Engine. Times are in milliseconds.
type EngineConfig struct {
	// Fences refuses orders with a fence lower than the highest seen.
	Fences bool `json:"fences"`

	// MemoryLoadMS and DiskLoadMS are the times of a load from the host's memory
	// and disk. A remote load takes what the weight store takes, and MemoryLoadMS
	// after it.
	MemoryLoadMS int `json:"memory_load_ms"`
	DiskLoadMS   int `json:"disk_load_ms"`
	UnloadMS     int `json:"unload_ms"`
	// AdapterLoadMS is the time of an adapter load while few are in flight.
	AdapterLoadMS int `json:"adapter_load_ms"`

	// FirstTokenMS is the time to the first token of a request in the batch.
	FirstTokenMS int `json:"first_token_ms"`
	TokenMS      int `json:"token_ms"`
	// MaxBatch is the number of requests that run at a time. Default 32.
	MaxBatch int `json:"max_batch"`

	// AbortStreams is the number of next answers that are cut, streams after
	// CutAfterTokens tokens.
	AbortStreams     int `json:"cut_streams"`
	AbortAfterTokens int `json:"cut_after_tokens"`
	// MismatchedResponses is the number of next answers that carry another request's
	// id.
	MismatchedResponses int `json:"crossed_answers"`
}

const defaultMaxBatch = 32

func (k EngineConfig) withDefaults() EngineConfig {
	if k.MaxBatch <= 0 {
		k.MaxBatch = defaultMaxBatch
	}
	return k
}

// EngineCounts are the counters of an Engine, over all its boots.
type EngineCounts struct {
	// OvercommitAttempts is the number of loads that would have passed the
	// accelerator's memory. Each crashes the engine.
	OvercommitAttempts int64 `json:"overcommit_attempts"`
	PeakMemoryMiB      int64 `json:"peak_memory_mib"`
	// Orders counts the orders that were accepted.
	Orders       int64 `json:"orders"`
	OrdersFenced int64 `json:"orders_fenced"`
	// Loads counts the loads that were started, by model.
	Loads        map[string]int `json:"loads"`
	AdapterLoads int64          `json:"adapter_loads"`
	// Generations is the number of answers that began, resumed ones included.
	Generations    int64 `json:"generations"`
	Resumed        int64 `json:"resumed"`
	Tokens         int64 `json:"tokens"`
	StreamsAborted int64 `json:"streams_cut"`
	Boots          int64 `json:"boots"`
	PeakRunning    int64 `json:"peak_running"`
}
