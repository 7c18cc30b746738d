package scheduler

import "time"

const (
	// readPercent is the part of the longest pause of an engine's streams for which
	// prompts may be read without a break, breakPercent the length of the break, in
	// which each stream gets on by an event.
	readPercent  = 70
	breakPercent = 8
)

// turn returns how long a prompt has to wait before it may be sent to the engine.
// While prompts are read one after the other, streams hardly get on: where there
// are any, a break is due before their pause is too long.
func (e *engine) turn(now time.Time, read time.Duration) time.Duration {
	if e.maxGap <= 0 || e.streaming() == 0 {
		return 0
	}
	open := e.freeAt.Add(e.breakTime())
	if e.held > 0 {
		// A small prompt does not overtake a larger one that waits.
		return max(time.Millisecond, open.Sub(now))
	}
	if !now.Before(open) || e.freeAt.Add(read).Sub(e.readingSince) <= e.maxGap*readPercent/100 {
		return 0
	}
	return open.Sub(now)
}

func (e *engine) breakTime() time.Duration { return e.maxGap * breakPercent / 100 }

// noteReading notes that a prompt is about to be sent. One that comes after a
// break begins a new stretch of reading.
func (e *engine) noteReading(now time.Time) {
	if !now.Before(e.freeAt.Add(e.breakTime())) {
		e.readingSince = now
	}
}

// canWait reports whether a prompt that waits for its turn is likely to be read in
// time. Only a dispatch knows who goes first.
func (c *Cell) canWait(now time.Time, w *waiter, o option) bool {
	return !c.dispatching || !now.Add(o.first).After(w.ask.Deadline)
}

// holdTurn notes that a prompt waits for its turn at an engine.
func (c *Cell) holdTurn(e *engine, read time.Duration) {
	e.held += read
	c.holding = true
}

// releaseTurns forgets who waits for a turn, before all of them are tried again.
func (c *Cell) releaseTurns() {
	if !c.holding {
		return
	}
	c.holding = false
	for _, e := range c.engines {
		e.held = 0
	}
}
