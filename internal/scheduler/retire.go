package scheduler

import "time"

const (
	// retireTimeout is how long a replica takes no new requests so that it becomes
	// idle. It exceeds the duration of most streams.
	retireTimeout = 5 * time.Second
	// savedDelay is the delay that retiring is assumed to save each request that
	// waits for the new model.
	savedDelay = 2 * time.Second
)

// retire frees memory for a model that no engine can load, since all replicas on
// the engines whose hosts have it cached are in use: replicas there of models
// that are also ready elsewhere take no new requests until they are idle and can
// be unloaded.
func (c *Cell) retire(now time.Time, req *Request) {
	if !c.mayOrder || c.isRetiringFor(req.Model) {
		return
	}
	var best []*replica
	var bestLoss float64
	for _, e := range c.engines {
		if !c.mayServe(e, req) || !e.acceptsOrders() || e.tier[req.Model] == tierRemote || e.replicas[req.Model] != nil || !c.mayAdd(now, e, req.Model) {
			continue
		}
		chosen, loss, ok := c.replicasToRetire(now, e, req.Model)
		if ok && (best == nil || loss < bestLoss) {
			best, bestLoss = chosen, loss
		}
	}
	saved := time.Duration(c.waitingCount(req.Model)+1) * savedDelay
	if time.Duration(bestLoss*float64(lossHorizon)) > saved {
		return
	}
	for _, rep := range best {
		rep.retiringFor = req.Model
		rep.retireUntil = now.Add(retireTimeout)
	}
}

// replicasToRetire chooses the replicas on an engine to unload for a model, the
// least valuable first. Idle replicas are candidates too.
func (c *Cell) replicasToRetire(now time.Time, e *engine, name string) (chosen []*replica, loss float64, ok bool) {
	free := e.memoryMB(c.spec) - e.usedMB(c.spec)
	need := c.spec.Models[name].MemoryMB
	var candidates []candidate
	for _, rep := range e.replicas {
		if rep.state == loaded && rep.retiringFor == "" && c.isReadyElsewhere(e, rep.model) {
			candidates = append(candidates, candidate{rep, c.evictionLoss(now, rep)})
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
		for _, rep := range e.replicas {
			if rep.retiringFor == name {
				return true
			}
		}
	}
	return false
}

func (c *Cell) waitingCount(name string) int {
	n := 0
	for _, w := range c.waiting {
		if w != nil && w.req.Model == name {
			n++
		}
	}
	return n
}

// endRetirements lets replicas that did not become idle in time take requests
// again.
func (c *Cell) endRetirements(now time.Time) {
	for _, e := range c.engines {
		for _, rep := range e.replicas {
			if rep.retiringFor != "" && !now.Before(rep.retireUntil) {
				rep.retiringFor = ""
			}
		}
	}
}
