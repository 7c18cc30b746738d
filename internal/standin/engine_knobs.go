package standin

// EngineKnobs are the settings of an Engine. Times are in milliseconds.
type EngineKnobs struct {
	// Fences refuses orders with an epoch lower than the highest seen for the
	// model.
	Fences bool `json:"fences"`
	// OvercommitRefused answers "no memory" to a load that does not fit. By
	// default the engine crashes: it restarts and holds nothing.
	OvercommitRefused bool `json:"overcommit_refused"`

	// MemoryLoadMS and DiskLoadMS are the times of a load from a cached
	// checkpoint. A remote load takes what the weight store takes, and
	// MemoryLoadMS after it.
	MemoryLoadMS int `json:"memory_load_ms"`
	DiskLoadMS   int `json:"disk_load_ms"`
	UnloadMS     int `json:"unload_ms"`
	// AdapterLoadMS is the time of an adapter load while few are in flight.
	AdapterLoadMS int `json:"adapter_load_ms"`

	// FirstTokenMS is the time to the first token of a running stream, and
	// CachedFirstTokenMS the same for a prompt whose start is cached.
	FirstTokenMS       int `json:"first_token_ms"`
	CachedFirstTokenMS int `json:"cached_first_token_ms"`
	TokenMS            int `json:"token_ms"`
	// MaxBatch is the number of streams that run at a time. Default 32.
	MaxBatch int `json:"max_batch"`
	// PrefixCache is the number of prompt starts that are cached. Default 64.
	PrefixCache int `json:"prefix_cache"`

	// LoadLagMS is the age of the load report.
	LoadLagMS int `json:"load_lag_ms"`
	// EventLagMS is the delay of cache events.
	EventLagMS int `json:"event_lag_ms"`
	// EventGapEvery loses each EventGapEvery-th cache event; 0 loses none.
	EventGapEvery int `json:"event_gap_every"`

	// CutStreams is the number of next streams that are cut after
	// CutAfterTokens tokens; -1 cuts each one.
	CutStreams     int `json:"cut_streams"`
	CutAfterTokens int `json:"cut_after_tokens"`
	// CrossedStreams is the number of next streams whose events all carry
	// another request's id and tokens.
	CrossedStreams int `json:"crossed_streams"`
	// StrayEvents is the number of next streams that begin with an event of
	// another request.
	StrayEvents int `json:"stray_events"`
}

const (
	defaultMaxBatch    = 32
	defaultPrefixCache = 64
)

func (k EngineKnobs) withDefaults() EngineKnobs {
	if k.MaxBatch <= 0 {
		k.MaxBatch = defaultMaxBatch
	}
	if k.PrefixCache <= 0 {
		k.PrefixCache = defaultPrefixCache
	}
	return k
}

// EngineCounts are the counters of an Engine, over all its boots.
type EngineCounts struct {
	// OvercommitAttempts is the number of loads that would have passed the
	// accelerator's memory.
	OvercommitAttempts int64 `json:"overcommit_attempts"`
	PeakMemoryMiB      int64 `json:"peak_memory_mib"`
	Orders             int64 `json:"orders"`
	OrdersFenced       int64 `json:"orders_fenced"`
	// Loads counts the loads that were started, by model.
	Loads        map[string]int `json:"loads"`
	AdapterLoads int64          `json:"adapter_loads"`
	Unloads      int64          `json:"unloads"`
	// Generations is the number of streams that began, resumed ones included.
	Generations int64 `json:"generations"`
	// Resumed is the number of streams that went on where they were cut.
	Resumed      int64 `json:"resumed"`
	Tokens       int64 `json:"tokens"`
	Cancelled    int64 `json:"cancelled"`
	StreamsCut   int64 `json:"streams_cut"`
	Boots        int64 `json:"boots"`
	PeakRunning  int64 `json:"peak_running"`
	RefusedNoMem int64 `json:"refused_no_memory"`
}
