package scheduler

import "time"

const (
	// retireTime is how long a copy takes no new requests so that it becomes idle,
	// above the length of most streams.
	retireTime = 5 * time.Second
	// retireWorth is the delay that a waiting request for the new model is taken to
	// be spared.
	retireWorth = 2 * time.Second
)

// retire makes room for a model that no engine can take, since all copies on the
// engines with its weights at hand are in use: copies of models that are ready
// elsewhere too get no new requests there, until they are idle and can be unloaded.
func (c *Cell) retire(now time.Time, ask *Request) {
	if !c.mayOrder || c.isRetiringFor(ask.Model) {
		return
	}
	var best []*weightCopy
	var bestLoss float64
	for _, e := range c.engines {
		if !c.mayServe(e, ask) || !e.isFree() || e.tier[ask.Model] == tierRemote || e.copies[ask.Model] != nil || !c.mayAdd(now, e, ask.Model) {
			continue
		}
		chosen, loss, ok := c.retirees(now, e, ask.Model)
		if ok && (best == nil || loss < bestLoss) {
			best, bestLoss = chosen, loss
		}
	}
	spared := time.Duration(c.waitingFor(ask.Model)+1) * retireWorth
	if time.Duration(bestLoss*float64(lossHorizon)) > spared {
		return
	}
	for _, w := range best {
		w.retiringFor = ask.Model
		w.retireUntil = now.Add(retireTime)
	}
}

// retirees chooses the copies on an engine that would have to go for a model, the
// least valuable first. Idle ones are as good as gone.
func (c *Cell) retirees(now time.Time, e *engine, name string) (chosen []*weightCopy, loss float64, ok bool) {
	free := e.memoryMB(c.spec) - e.usedMB(c.spec)
	need := c.spec.Models[name].MemoryMB
	var candidates []candidate
	for _, w := range e.copies {
		if w.state == present && w.retiringFor == "" && c.isReadyElsewhere(e, w.model) {
			candidates = append(candidates, candidate{w, c.lossOf(now, w)})
		}
	}
	chosen, loss, ok = c.leastValuable(candidates, need-free)
	return chosen, loss, ok && len(chosen) > 0
}

// isReadyElsewhere reports whether another usable engine can take requests for a
// model.
func (c *Cell) isReadyElsewhere(e *engine, name string) bool {
	for _, other := range c.engines {
		if other != e && other.usable() && other.ready(name) != nil {
			return true
		}
	}
	return false
}

func (c *Cell) isRetiringFor(name string) bool {
	for _, e := range c.engines {
		for _, w := range e.copies {
			if w.retiringFor == name {
				return true
			}
		}
	}
	return false
}

func (c *Cell) waitingFor(name string) int {
	n := 0
	for _, w := range c.waiting {
		if w != nil && w.ask.Model == name {
			n++
		}
	}
	return n
}

// endRetirements gives copies that did not become idle in time back to requests.
func (c *Cell) endRetirements(now time.Time) {
	for _, e := range c.engines {
		for _, w := range e.copies {
			if w.retiringFor != "" && !now.Before(w.retireUntil) {
				w.retiringFor = ""
			}
		}
	}
}
