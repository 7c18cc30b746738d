package scheduler

import (
	"time"

	"github.com/ragwortdoor/ragwortdoor/internal/balance"
	"github.com/ragwortdoor/ragwortdoor/internal/fleet"
)

// replicaState is the state of a model or adapter on an engine.
type replicaState int

const (
	loaded replicaState = iota
	loading
	unloading
)

// replica is a model on an engine. It uses the engine's memory in every state.
type replica struct {
	model    string
	memoryMB int64
	state    replicaState
	adapters map[string]*adapterReplica
	running  int
	lastUsed time.Time
	// reportedMissing is set when the engine reported that the model is not loaded.
	// The memory stays reserved until an inventory shows what is loaded.
	reportedMissing bool
	// retiringFor is the model that needs the memory of this replica, which takes no
	// new requests until retireUntil.
	retiringFor string
	retireUntil time.Time
}

// sizeMB includes the adapters.
func (rep *replica) sizeMB(spec *fleet.EngineSpec) int64 {
	return rep.memoryMB + int64(len(rep.adapters))*spec.Models[rep.model].AdapterMB
}

// adapterReplica is an adapter of a model on an engine. It uses an adapter slot
// in every state.
type adapterReplica struct {
	state           replicaState
	running         int
	lastUsed        time.Time
	reportedMissing bool
	// readyAt is when a loading adapter is expected to be usable, loadedAt when its
	// order was accepted.
	readyAt  time.Time
	loadedAt time.Time
}

// engine is the scheduler's view of one upstream.
type engine struct {
	up       *fleet.Upstream
	replicas map[string]*replica
	// tier is the fastest source from which the host can load a model.
	tier map[string]tier
	runs map[uint64]*run
	// pending are the runs that have not started.
	pending map[uint64]*run
	// prefillDoneAt is when the prompts that were sent are expected to be prefilled.
	prefillDoneAt time.Time
	// prefillSince is when the current series of prefills without a break began.
	// queuedPrefill is the prefill time of the prompts that wait for a slot.
	prefillSince  time.Time
	queuedPrefill time.Duration
	// queuedPace is the number of requests that wait for the engine's rate limit.
	queuedPace int
	// maxGap is the shortest MaxGap of all requests that were sent here; 0 if none
	// had one.
	maxGap time.Duration
	// kvTokens is the upper bound of the KV cache tokens that the runs need.
	kvTokens int64
	cache    *prefixCache

	// orders is the engine's count of accepted orders; -1 while it is unknown.
	orders int64
	order  pendingOrder
	plan   *plan
	// loadEstimate is the expected duration of the planned load.
	loadEstimate time.Duration
	// lastOrderAt is when the last order was accepted or completed; registrations
	// lag behind it.
	lastOrderAt time.Time
	// inspectedAt is when the last inventory was requested, or is to be.
	inspecting  bool
	inspectedAt time.Time
	// brokenOff are the requests that broke off as their responses began, until it is known
	// whether the engine ended. crashCheckAt is when an inventory was last requested for
	// that, or is to be.
	brokenOff    []BrokenOff
	crashCheckAt time.Time
	// ended is set when the engine did not answer after requests broke off, until it does.
	// Its registration may stay listed for seconds.
	ended bool
	// reported is set by the first inventory, listedAt is when the engine was added.
	reported bool
	listedAt time.Time

	// The engine is ejected until ejectedUntil (outlier ejection).
	consecutiveFailures int
	ejectedUntil        time.Time
	// failureRate is a moving average, 0 to 1.
	failureRate float64
	speed       balance.Speed
}

type tier int

const (
	tierRemote tier = iota
	tierDisk
	tierMemory
)

const (
	// registrationLag is how far an engine's registration may lag behind its orders:
	// one heartbeat interval and the way through the store.
	registrationLag = 2500 * time.Millisecond
	// fullEjection is how long an engine gets no requests after it refused one because
	// it was full.
	fullEjection = 150 * time.Millisecond
	// minEjection and maxEjection bound how long a failing engine is ejected.
	minEjection = 400 * time.Millisecond
	maxEjection = 5 * time.Second
	// failureWeight and successWeight are the weights of one request in the moving
	// average of the failure rate. failureCost is the delay that a failed request
	// counts as.
	failureWeight = 0.2
	successWeight = 0.1
	failureCost   = 1500 * time.Millisecond
	// slowdownPercent is the delay of each running stream, as a share of the prefill
	// time of a new prompt.
	slowdownPercent = 3
	// gapBudgetPercent is the share of the maximal gap that prefills may take before
	// streams are expected to exceed that gap. lateEventCost is the cost of each
	// such stream.
	gapBudgetPercent = 70
	lateEventCost    = 40 * time.Millisecond
	// failuresToEject is the number of consecutive failures that ejects an engine; a
	// single failure is no evidence of a bad engine.
	failuresToEject = 2
)

func newEngine(up *fleet.Upstream, spec *fleet.EngineSpec) *engine {
	e := &engine{
		up:       up,
		replicas: make(map[string]*replica),
		tier:     make(map[string]tier),
		runs:     make(map[uint64]*run),
		pending:  make(map[uint64]*run),
		cache:    newPrefixCache(spec.KVTokens),
		orders:   -1,
	}
	e.setReplicas(up.Models, spec)
	e.setTiers(up.OnDisk, up.InMemory)
	return e
}

// setReplicas replaces the known replicas by those that the engine reports.
func (e *engine) setReplicas(models []fleet.LoadedModel, spec *fleet.EngineSpec) {
	next := make(map[string]*replica, len(models))
	for _, m := range models {
		rep := e.replicas[m.Name]
		if rep == nil {
			rep = &replica{model: m.Name, memoryMB: spec.Models[m.Name].MemoryMB}
		}
		rep.state = loaded
		rep.reportedMissing = false
		rep.setAdapters(m.Adapters)
		next[m.Name] = rep
	}
	e.replicas = next
}

func (rep *replica) setAdapters(names []string) {
	next := make(map[string]*adapterReplica, len(names))
	for _, name := range names {
		a := rep.adapters[name]
		if a == nil {
			a = &adapterReplica{}
		}
		if a.state != unloading {
			a.state = loaded
		}
		a.reportedMissing = false
		next[name] = a
	}
	for name, a := range rep.adapters {
		if next[name] == nil && a.state != loaded {
			next[name] = a // loading or unloading
		}
	}
	rep.adapters = next
}

// addLoadingAdapters adds the adapters that an inventory reports as loading.
func (e *engine) addLoadingAdapters(refs []fleet.AdapterRef) {
	for _, ref := range refs {
		if rep := e.replicas[ref.Model]; rep != nil && rep.adapters[ref.Adapter] == nil {
			rep.adapters[ref.Adapter] = &adapterReplica{}
		}
	}
}

func (e *engine) setTiers(onDisk, inMemory []string) {
	if onDisk == nil && inMemory == nil {
		return
	}
	clear(e.tier)
	for _, name := range onDisk {
		e.tier[name] = tierDisk
	}
	for _, name := range inMemory {
		e.tier[name] = tierMemory
	}
}

// ready returns the replica of a model if it can take requests, else nil.
func (e *engine) ready(model string) *replica {
	rep := e.replicas[model]
	if rep == nil || rep.state != loaded || rep.reportedMissing || rep.retiringFor != "" {
		return nil
	}
	return rep
}

func (e *engine) adapter(model, name string) *adapterReplica {
	rep := e.replicas[model]
	if rep == nil {
		return nil
	}
	return rep.adapters[name]
}

// markMissing stops requests for a model or adapter that the engine reported
// missing. Its memory stays reserved.
func (e *engine) markMissing(model, adapter string) {
	rep := e.replicas[model]
	if rep == nil {
		return
	}
	if a := rep.adapters[adapter]; a != nil {
		a.reportedMissing = true
		return
	}
	rep.reportedMissing = true
}

// memoryMB is the engine's memory for weights.
func (e *engine) memoryMB(spec *fleet.EngineSpec) int64 {
	if e.up.MemoryMB > 0 {
		return e.up.MemoryMB
	}
	return spec.MemoryMB
}

// usedMB is the memory that is used or reserved.
func (e *engine) usedMB(spec *fleet.EngineSpec) int64 {
	var used int64
	for _, rep := range e.replicas {
		used += rep.sizeMB(spec)
	}
	return used
}

// usedAdapterSlots counts the adapter slots that are used or reserved.
func (e *engine) usedAdapterSlots() int {
	used := 0
	for _, rep := range e.replicas {
		used += len(rep.adapters)
	}
	return used
}

// loadingAdapters counts the adapters that are not expected to be usable yet.
func (e *engine) loadingAdapters(now time.Time) int {
	n := 0
	for _, rep := range e.replicas {
		for _, a := range rep.adapters {
			if a.state == loading || now.Before(a.readyAt) {
				n++
			}
		}
	}
	return n
}

func (e *engine) addRun(now time.Time, r *run) {
	e.runs[r.req.Key] = r
	e.pending[r.req.Key] = r
	if e.prefillDoneAt.Before(now) {
		e.prefillDoneAt = now
	}
	e.prefillDoneAt = e.prefillDoneAt.Add(r.prefill)
	e.kvTokens += r.req.PromptTokens + r.req.OutputTokens
	if gap := r.req.MaxGap; gap > 0 && (e.maxGap == 0 || gap < e.maxGap) {
		e.maxGap = gap
	}
	e.cache.use(r.req)
	e.touch(now, r.req, 1)
}

func (e *engine) removeRun(now time.Time, r *run) {
	if e.runs[r.req.Key] != r {
		return
	}
	delete(e.runs, r.req.Key)
	e.dropPending(now, r)
	e.kvTokens -= r.req.PromptTokens + r.req.OutputTokens
	e.touch(now, r.req, -1)
}

func (e *engine) touch(now time.Time, req *Request, delta int) {
	rep := e.replicas[req.Model]
	if rep == nil {
		return
	}
	rep.running = max(0, rep.running+delta)
	rep.lastUsed = now
	if a := rep.adapters[req.Adapter]; a != nil {
		a.running = max(0, a.running+delta)
		a.lastUsed = now
	}
}

// dropPending records that a run's prompt was prefilled or that the run ended.
func (e *engine) dropPending(now time.Time, r *run) {
	if e.pending[r.req.Key] != r {
		return
	}
	delete(e.pending, r.req.Key)
	e.prefillDoneAt = now.Add(-firstEventDelay) // start of the next prefill
	for _, other := range e.pending {
		e.prefillDoneAt = e.prefillDoneAt.Add(other.prefill)
	}
}

// backlog is the time until the prompts that were sent are prefilled.
func (e *engine) backlog(now time.Time) time.Duration { return max(0, e.prefillDoneAt.Sub(now)) }

// streaming is the number of started runs.
func (e *engine) streaming() int { return len(e.runs) - len(e.pending) }

// streamCost is the total delay that a prefill adds to running streams. It slows
// all of them, and they exceed their maximal gap when prefills take most of it.
func (e *engine) streamCost(now time.Time, prefill time.Duration) time.Duration {
	streams := time.Duration(e.streaming())
	cost := streams * prefill * slowdownPercent / 100
	if e.maxGap > 0 && e.backlog(now)+prefill > e.maxGap*gapBudgetPercent/100 {
		cost += streams * lateEventCost
	}
	return cost
}

func (e *engine) recordSuccess() {
	e.consecutiveFailures = 0
	e.failureRate -= successWeight * e.failureRate
}

func (e *engine) recordFailure(now time.Time) {
	e.consecutiveFailures++
	e.failureRate += failureWeight * (1 - e.failureRate)
	if e.consecutiveFailures < failuresToEject {
		return
	}
	e.ejectedUntil = now.Add(min(maxEjection, minEjection<<min(e.consecutiveFailures-failuresToEject, 4)))
}

func (e *engine) recordFull(now time.Time) {
	if until := now.Add(fullEjection); e.ejectedUntil.Before(until) {
		e.ejectedUntil = until
	}
}

// usable reports whether the engine takes new work.
func (e *engine) usable() bool { return e.up.TakesWork() && !e.ended }
