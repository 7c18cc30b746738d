package standin

import "github.com/ragwortdoor/ragwortdoor/internal/external"

// EngineUse tells what an engine holds and how much of it works at a moment.
type EngineUse struct {
	// Loaded is the number of ready models, and Idle those of them without a
	// stream that runs or waits.
	Loaded, Idle int
	// IdleMiB is the memory of the idle models.
	IdleMiB uint32
	// Streams is the number of streams that run or wait.
	Streams int
}

// Use returns the present use without a lag.
func (e *Engine) Use() EngineUse {
	e.mu.Lock()
	defer e.mu.Unlock()
	var use EngineUse
	busy := make(map[string]bool)
	for _, s := range e.boot.streams {
		if s.active {
			busy[s.gen.Model] = true
			use.Streams++
		}
	}
	for _, m := range e.boot.models {
		if m.state != external.ModelReady {
			continue
		}
		use.Loaded++
		if !busy[m.model] {
			use.Idle++
			use.IdleMiB += m.memory
		}
	}
	return use
}
