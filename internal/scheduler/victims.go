package scheduler

import (
	"cmp"
	"slices"
	"time"
)

const (
	// lossHorizon is how long the loss of an evicted model is counted.
	lossHorizon = 8 * time.Second
	// rareRate is the demand that is assumed of every model, a second.
	rareRate = 0.02
	// queueLoss scales the delay of a request at a busy replica, s; busyMargin
	// keeps it finite at a replica that is always busy.
	queueLoss  = 0.5
	busyMargin = 0.05
	// spareLoss is the loss of a replica that nobody needs.
	spareLoss = 0.005
	// engineLoad weighs the load of the models that share an engine, s.
	engineLoad = 0.3
)

// loadCost returns how long a load on an engine takes, and what it costs with
// the loss of the models that have to make room. ok is false while the engine
// can't take the model. mayFetch allows loads from the weight store.
func (c *Cell) loadCost(now time.Time, e *engine, name string, mayFetch bool) (wait, cost time.Duration, ok bool) {
	if !e.isFree() || !c.mayAdd(now, e, name) {
		return 0, 0, false
	}
	victims, loss, ok := c.victims(now, e, name)
	if !ok {
		return 0, 0, false
	}
	if e.tier[name] == tierRemote && !(mayFetch && c.remote.mayStart(now)) {
		return 0, 0, false
	}
	wait = c.stated(e, name) + orderTime*time.Duration(1+len(victims)) + reportLag
	cost = wait + time.Duration(loss*float64(lossHorizon))
	cost += time.Duration(c.engineWork(now, e) * engineLoad * float64(time.Second))
	return wait, cost, true
}

// victims chooses the copies that make room for a model, the least valuable
// first. ok is false if idle ones don't suffice.
func (c *Cell) victims(now time.Time, e *engine, name string) (chosen []*weightCopy, loss float64, ok bool) {
	free := e.memoryMB(c.spec) - e.usedMB(c.spec)
	need := c.spec.Models[name].MemoryMB
	if free >= need {
		return nil, 0, true
	}
	var idle []candidate
	for _, w := range e.copies {
		switch {
		case w.state != present || w.running > 0:
		case w.retiringFor != "":
			if w.retiringFor == name {
				idle = append(idle, candidate{w, 0})
			}
		case !c.isWanted(w.model, ""):
			idle = append(idle, candidate{w, c.lossOf(now, w)})
		}
	}
	return c.leastValuable(idle, need-free)
}

// candidate is a copy that may go, and what its loss would bring; see lossOf.
type candidate struct {
	copy *weightCopy
	loss float64
}

// leastValuable chooses the copies with the least loss that free an amount of
// memory. ok is false if all of them don't suffice.
func (c *Cell) leastValuable(candidates []candidate, needMB int64) (chosen []*weightCopy, loss float64, ok bool) {
	slices.SortFunc(candidates, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(a.loss, b.loss), cmp.Compare(a.copy.model, b.copy.model))
	})
	for _, v := range candidates {
		if needMB <= 0 {
			break
		}
		chosen = append(chosen, v.copy)
		loss += v.loss
		needMB -= v.copy.sizeMB(c.spec)
	}
	return chosen, loss, needMB <= 0
}

// lossOf is the delay, in seconds a second over all requests, that the loss of
// a copy would bring.
func (c *Cell) lossOf(now time.Time, w *weightCopy) float64 {
	m := c.modelOf(w.model)
	c.decay(now, m)
	n := c.copiesOf(w.model)
	if n <= 1 {
		reload := c.spec.Models[w.model].DiskLoad + orderTime*2 + reportLag
		return (m.demand.requests + rareRate) * reload.Seconds()
	}
	return spareLoss + m.demand.requests*(queueing(m.demand.work, n-1)-queueing(m.demand.work, n))
}

// queueing estimates the delay of a request, in seconds, at one of n replicas
// that share an amount of work a second.
func queueing(work float64, n int) float64 {
	share := min(1, work/float64(n))
	return queueLoss * share * share / (1 + busyMargin - share)
}

// engineWork is the share of an engine's time that the models on it need.
func (c *Cell) engineWork(now time.Time, e *engine) float64 {
	sum := 0.0
	for name := range e.copies {
		m := c.modelOf(name)
		c.decay(now, m)
		sum += m.demand.work / float64(max(1, c.copiesOf(name)))
	}
	return sum
}

// decay ages a model's demand; before the first request nothing ages.
func (c *Cell) decay(now time.Time, m *model) {
	if c.trafficSeen {
		m.demand.decay(now)
	}
}
