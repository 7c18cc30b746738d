package scheduler

import "time"

const (
	// maxPrefillPercent is the share of the shortest MaxGap of an engine's requests
	// for which prompts may be prefilled without a break. breakPercent is the length
	// of the break, which lets each stream emit an event.
	maxPrefillPercent = 70
	breakPercent      = 8
	// breakEvents is the length of a break in event intervals of an idle engine, if
	// that is longer: streams next to others take a little longer for an event.
	breakEvents = 1.1
	// intervalRise is the share by which the shortest known event interval follows
	// longer ones.
	intervalRise = 0.002
)

// LearnEventInterval takes a sample of the time between events of a stream. The
// shortest samples are from engines that ran little else.
func (c *Cell) LearnEventInterval(sample time.Duration) {
	switch {
	case sample <= 0:
	case c.eventInterval == 0 || sample < c.eventInterval:
		c.eventInterval = sample
	default:
		c.eventInterval += time.Duration(intervalRise * float64(sample-c.eventInterval))
	}
}

// prefillDelay returns how long a prompt has to wait for a prefill slot. Streams
// progress slowly while prompts are prefilled one after the other, so prompts to
// an engine with streams are paced: a break is due before the streams exceed
// their maximal gap.
func (c *Cell) prefillDelay(now time.Time, e *engine, prefill time.Duration) time.Duration {
	if e.maxGap <= 0 || e.streaming() == 0 {
		return 0
	}
	slotAt := e.prefillDoneAt.Add(c.breakTime(e))
	if e.queuedPrefill > 0 {
		// A small prompt must not overtake a larger one that waits.
		return max(time.Millisecond, slotAt.Sub(now))
	}
	if !now.Before(slotAt) || e.prefillDoneAt.Add(prefill).Sub(e.prefillSince) <= e.maxGap*maxPrefillPercent/100 {
		return 0
	}
	return slotAt.Sub(now)
}

// breakTime is the length of a break between prefills on an engine.
func (c *Cell) breakTime(e *engine) time.Duration {
	return max(e.maxGap*breakPercent/100, time.Duration(breakEvents*float64(c.eventInterval)))
}

// notePrefill records that a prompt is about to be sent. The first one after a
// break starts a new series.
func (c *Cell) notePrefill(now time.Time, e *engine) {
	if !now.Before(e.prefillDoneAt.Add(c.breakTime(e))) {
		e.prefillSince = now
	}
}

// canWait reports whether a prompt that waits for a prefill slot is likely to
// start its response before the deadline. The order of the waiting requests is known
// only during a dispatch; outside of one canWait returns true.
func (c *Cell) canWait(now time.Time, w *waiter, o option) bool {
	return !c.dispatching || !now.Add(o.firstEvent).After(w.req.Deadline)
}

// queuePrefill records that a prompt waits for a prefill slot.
func (c *Cell) queuePrefill(e *engine, prefill time.Duration) {
	e.queuedPrefill += prefill
	c.prefillQueued = true
}

// resetQueuedPrefill forgets the prompts that wait for a slot, before all of
// them are tried again.
func (c *Cell) resetQueuedPrefill() {
	if !c.prefillQueued {
		return
	}
	c.prefillQueued = false
	for _, e := range c.engines {
		e.queuedPrefill = 0
	}
}
