package scheduler

import "time"

const (
	// fullPassEvery is the pace at which all waiting asks are tried. Between, those
	// are left out for which nothing is likely to have changed, since a pass over
	// hundreds of them would keep the scheduler from all else.
	fullPassEvery = 100 * time.Millisecond
	// turnsPerPass is the number of asks for a model that are tried in the other
	// passes although one of them waits for its turn.
	turnsPerPass = 4
)

// wanted is what an ask needs on an engine.
type wanted struct{ model, adapter string }

// pass is one try of the waiting asks.
type pass struct {
	full bool
	// stuck are those for which nothing can be done now, turns counts by model the
	// asks that wait for their turn.
	stuck map[wanted]bool
	turns map[string]int
}

func (c *Cell) newPass(now time.Time) *pass {
	p := &pass{stuck: make(map[wanted]bool), turns: make(map[string]int)}
	if now.Sub(c.fullPassAt) >= fullPassEvery {
		c.fullPassAt = now
		p.full = true
	}
	return p
}

// skips reports whether an ask is left out of the pass.
func (p *pass) skips(now time.Time, w *waiter) bool {
	if !now.Before(w.ask.Deadline) {
		return false
	}
	if p.stuck[wanted{w.ask.Model, w.ask.Adapter}] || p.stuck[wanted{w.ask.Model, ""}] {
		return true
	}
	return !p.full && p.turns[w.ask.Model] >= turnsPerPass
}

// note takes an ask that waits on.
func (p *pass) note(w *waiter) {
	switch {
	case w.reason == waitsForTurn:
		p.turns[w.ask.Model]++
	case len(w.ask.Tried) == 0:
		p.stuck[wanted{w.ask.Model, w.ask.Adapter}] = true
	}
}
