package scheduler

import "time"

// isHopeless reports whether a request that finds no room now can't be served before its deadline,
// whatever ends or is unloaded meanwhile, and after what time it could be at the earliest.
func (c *Cell) isHopeless(now time.Time, w *waiter) (earliest time.Duration, hopeless bool) {
	earliest, possible := c.earliestReplica(now, w.req)
	if !possible {
		return 0, false
	}
	earliest += scaled(c.modelOf(w.req.Model).prefillTime(w.req.PromptTokens), minUsualSlowdown) + firstEventDelay
	return earliest, now.Add(earliest).After(w.req.Deadline)
}

// minUsualSlowdown is the slowdown of the fastest engines.
const minUsualSlowdown = 0.3

// earliestReplica returns the least time until any engine has a model loaded. known is false while
// that can't be told.
func (c *Cell) earliestReplica(now time.Time, req *Request) (earliest time.Duration, known bool) {
	if c.spec == nil {
		return 0, false
	}
	earliest = c.spec.Models[req.Model].RemoteLoad
	for _, e := range c.engines {
		if !e.reported && now.Sub(e.listedAt) < unknownTimeout {
			return 0, false // it may have the model
		}
		if !e.usable() {
			continue
		}
		if e.replicas[req.Model] != nil {
			return 0, true
		}
		earliest = min(earliest, c.configuredLoadTime(e, req.Model))
	}
	return earliest, true
}
