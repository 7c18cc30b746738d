package scheduler

import "time"

// Outcome is the progress or the result of a granted request.
type Outcome int

// Values of Outcome.
const (
	// Started means that the first event arrived.
	Started Outcome = iota
	// Finished means that the response is complete.
	Finished
	// NotRun means that the engine refused the request before it ran.
	NotRun
	// ModelMissing means that the engine does not have the model or adapter loaded.
	ModelMissing
	// Failed means that the engine aborted the response or did not respond in time.
	Failed
	// Cancelled means that the caller disconnected or its deadline passed.
	Cancelled
	// EndedByEngine is Failed by the end of the engine's connection.
	EndedByEngine
)

var outcomeNames = [...]string{"started", "finished", "not_run", "model_missing", "failed", "cancelled", "ended_by_engine"}

// String returns the outcome's name.
func (o Outcome) String() string { return outcomeNames[o] }

// noteNotRun handles a request that the engine refused: if its adapter was
// ordered only recently, adapters take longer to load than assumed; otherwise
// the engine is full.
func (c *Cell) noteNotRun(now time.Time, r *run) {
	if r.req.Adapter != "" {
		if a := r.engine.adapter(r.req.Model, r.req.Adapter); a != nil && now.Sub(a.loadedAt) < adapterLoadGrace {
			c.modelOf(r.req.Model).raiseAdapterDelay()
			return
		}
	}
	r.engine.recordFull(now)
}
