package scheduler

import (
	"cmp"
	"slices"
	"time"
)

const (
	// lossHorizon is the time over which the loss of an evicted replica is counted.
	lossHorizon = 8 * time.Second
	// baseDemand is added to the demand of every model when its last replica is
	// valued, requests/s.
	baseDemand = 0.02
	// queueDelayScale is the factor, in seconds, of the queueing delay at a busy
	// replica. busyMargin keeps the delay finite at full load.
	queueDelayScale = 0.5
	busyMargin      = 0.05
	// spareReplicaLoss is the loss of a replica without demand, s/s.
	spareReplicaLoss = 0.005
	// engineLoadWeight is the cost, in seconds, of loading on an engine whose models
	// need all of its time.
	engineLoadWeight = 0.3
)

// loadCost returns the duration of a load on an engine, and its cost including
// the loss of evicted replicas. ok is false while the engine can't take the
// model. mayFetch allows loads from the weight store.
func (c *Cell) loadCost(now time.Time, e *engine, name string, mayFetch bool) (wait, cost time.Duration, ok bool) {
	if !e.acceptsOrders() || !c.mayAdd(now, e, name) {
		return 0, 0, false
	}
	victims, loss, ok := c.victims(now, e, name)
	if !ok {
		return 0, 0, false
	}
	if e.tier[name] == tierRemote && !(mayFetch && c.remote.mayStart(now)) {
		return 0, 0, false
	}
	wait = c.configuredLoadTime(e, name) + orderTime*time.Duration(1+len(victims)) + reportLag
	cost = wait + time.Duration(loss*float64(lossHorizon))
	cost += time.Duration(c.engineWork(now, e) * engineLoadWeight * float64(time.Second))
	cost += c.limitedLoadCost(e)
	return wait, cost, true
}

// victims chooses the idle replicas to evict for a model, the least valuable
// first. ok is false if they free too little memory.
func (c *Cell) victims(now time.Time, e *engine, name string) (chosen []*replica, loss float64, ok bool) {
	free := e.memoryMB(c.spec) - e.usedMB(c.spec)
	need := c.spec.Models[name].MemoryMB
	if free >= need {
		return nil, 0, true
	}
	var idle []candidate
	for _, rep := range e.replicas {
		switch {
		case rep.state != loaded || rep.running > 0:
		case rep.retiringFor != "":
			if rep.retiringFor == name {
				idle = append(idle, candidate{rep, 0})
			}
		case !c.isAwaited(rep.model, ""):
			idle = append(idle, candidate{rep, c.evictionLoss(now, rep)})
		}
	}
	return c.leastValuable(idle, need-free)
}

// candidate is a replica that may be evicted, with its evictionLoss.
type candidate struct {
	replica *replica
	loss    float64
}

// leastValuable chooses the candidates with the least loss that free an amount
// of memory. ok is false if all of them free too little.
func (c *Cell) leastValuable(candidates []candidate, needMB int64) (chosen []*replica, loss float64, ok bool) {
	slices.SortFunc(candidates, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(a.loss, b.loss), cmp.Compare(a.replica.model, b.replica.model))
	})
	for _, v := range candidates {
		if needMB <= 0 {
			break
		}
		chosen = append(chosen, v.replica)
		loss += v.loss
		needMB -= v.replica.sizeMB(c.spec)
	}
	return chosen, loss, needMB <= 0
}

// evictionLoss is the delay that evicting a replica causes, in seconds per
// second over all requests.
func (c *Cell) evictionLoss(now time.Time, rep *replica) float64 {
	m := c.modelOf(rep.model)
	c.decay(now, m)
	n := c.replicasOf(rep.model)
	if n <= 1 {
		reload := c.spec.Models[rep.model].DiskLoad + orderTime*2 + reportLag
		return (m.demand.requests + baseDemand) * reload.Seconds()
	}
	return spareReplicaLoss + m.demand.requests*(queueingDelay(m.demand.work, n-1)-queueingDelay(m.demand.work, n))
}

// queueingDelay estimates the delay of a request, in seconds, at one of n
// replicas that share an amount of work, in seconds of prefill per second.
func queueingDelay(work float64, n int) float64 {
	share := min(1, work/float64(n))
	return queueDelayScale * share * share / (1 + busyMargin - share)
}

// engineWork is the share of an engine's time that the models on it need.
func (c *Cell) engineWork(now time.Time, e *engine) float64 {
	sum := 0.0
	for name := range e.replicas {
		m := c.modelOf(name)
		c.decay(now, m)
		sum += m.demand.work / float64(max(1, c.replicasOf(name)))
	}
	return sum
}

// decay ages a model's demand. Before the first request nothing ages, so that
// the demand seeded from existing replicas stays.
func (c *Cell) decay(now time.Time, m *model) {
	if c.trafficSeen {
		m.demand.decay(now)
	}
}
