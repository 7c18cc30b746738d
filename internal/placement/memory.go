package placement

// Memory is what a decider has seen over its rounds: since when a host is
// unlisted, a slot is releasing and a model's load calls for a change. It is
// not safe for concurrent use.
type Memory struct{}

// NewMemory returns an empty memory.
func NewMemory() *Memory { return &Memory{} }
