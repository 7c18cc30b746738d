package standin

// EngineConfig configures an Engine. It can be changed at run time. Times are in
// milliseconds.
type EngineConfig struct {
	// Fences makes the engine refuse orders with a fence below the highest seen.
	Fences bool `json:"fences"`

	// MemoryLoadMS and DiskLoadMS are the durations of a load from the host's
	// memory and disk. A remote load takes as long as the weight store needs, plus
	// MemoryLoadMS.
	MemoryLoadMS int `json:"memory_load_ms"`
	DiskLoadMS   int `json:"disk_load_ms"`
	UnloadMS     int `json:"unload_ms"`
	// AdapterLoadMS is the duration of an adapter load while no more than
	// fullSpeedAdapterLoads run.
	AdapterLoadMS int `json:"adapter_load_ms"`

	// FirstTokenMS is the time from a request's admission to the batch to its first
	// token, TokenMS the time of each later token.
	FirstTokenMS int `json:"first_token_ms"`
	TokenMS      int `json:"token_ms"`
	// MaxBatch is the number of requests that run concurrently. Default 32.
	MaxBatch int `json:"max_batch"`

	// LimitPerSecond is the rate that all responses to requests name; 0 for none.
	LimitPerSecond float64 `json:"limit_per_second"`

	// AbortStreams is the number of next responses that are aborted: a stream after
	// AbortAfterTokens tokens, any other response in the middle of its body.
	AbortStreams     int `json:"cut_streams"`
	AbortAfterTokens int `json:"cut_after_tokens"`
	// MismatchedResponses is the number of next responses that carry another
	// request's id.
	MismatchedResponses int `json:"crossed_answers"`
}

const defaultMaxBatch = 32

func (c EngineConfig) withDefaults() EngineConfig {
	if c.MaxBatch <= 0 {
		c.MaxBatch = defaultMaxBatch
	}
	return c
}

// EngineCounts are the counters of an Engine. Restarts do not reset them.
type EngineCounts struct {
	// OvercommitAttempts is the number of loads that would have exceeded the
	// accelerator's memory. Each crashes the engine.
	OvercommitAttempts int64 `json:"overcommit_attempts"`
	PeakMemoryMiB      int64 `json:"peak_memory_mib"`
	// Orders counts the accepted orders, OrdersFenced those refused for their fence.
	Orders       int64 `json:"orders"`
	OrdersFenced int64 `json:"orders_fenced"`
	// Loads counts the started loads by model.
	Loads        map[string]int `json:"loads"`
	AdapterLoads int64          `json:"adapter_loads"`
	// Generations counts the accepted chat requests, resumed ones included.
	Generations    int64 `json:"generations"`
	Resumed        int64 `json:"resumed"`
	Tokens         int64 `json:"tokens"`
	StreamsAborted int64 `json:"streams_cut"`
	Boots          int64 `json:"boots"`
	PeakRunning    int64 `json:"peak_running"`
}
