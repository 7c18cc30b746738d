package scheduler

import (
	"time"

	"github.com/ragwortdoor/ragwortdoor/internal/fleet"
)

// copyState is the state of a model or adapter on an engine.
type copyState int

const (
	present copyState = iota
	loading
	unloading
)

// weightCopy is a model on an engine. It counts against the engine's memory in
// every state.
type weightCopy struct {
	model    string
	memoryMB int64
	state    copyState
	adapters map[string]*adapterCopy
	running  int
	lastUsed time.Time
	// doubted is set when the engine denied that it holds the model; it counts
	// until a report settles it.
	doubted bool
	// retiringFor is the model for which this copy has to make room; it takes no new
	// requests until retireUntil.
	retiringFor string
	retireUntil time.Time
}

// sizeMB is what a copy takes with its adapters.
func (w *weightCopy) sizeMB(spec *fleet.EngineSpec) int64 {
	return w.memoryMB + int64(len(w.adapters))*spec.Models[w.model].AdapterMB
}

// adapterCopy is an adapter of a model on an engine. It takes a place in every
// state.
type adapterCopy struct {
	state    copyState
	running  int
	lastUsed time.Time
	doubted  bool
	// readyAt is when a coming adapter is expected.
	readyAt  time.Time
	loadedAt time.Time
}

// engine is what the cell knows about one upstream.
type engine struct {
	up     *fleet.Upstream
	copies map[string]*weightCopy
	// tier tells from where the host can load a model.
	tier map[string]tier
	runs map[uint64]*run
	// pending are the runs that have not started, pendingWork their prefill time.
	pending map[uint64]*run
	// freeAt is when the known prompts are expected to be read.
	freeAt time.Time
	// readingSince is when prompts began to be read without a break, held the time
	// to read the prompts that wait for their turn.
	readingSince time.Time
	held         time.Duration
	// maxGap is the shortest MaxGap of the requests that were sent here; 0 before.
	maxGap time.Duration
	// kvTokens is the memory that the runs need at most.
	kvTokens int64
	cache    *prefixCache

	// orders is the count of orders accepted; -1 until it is known.
	orders int64
	order  pendingOrder
	plan   *plan
	// loadEstimate is the expected time of the load that is planned.
	loadEstimate time.Duration
	// settledAt is when the last order was settled; descriptions lag behind it.
	settledAt  time.Time
	inspecting bool
	// reported is set by the first report, knownSince is when the engine was
	// listed.
	reported   bool
	knownSince time.Time

	// strikes counts failures in a row; until avoidUntil the engine is avoided.
	strikes    int
	avoidUntil time.Time
	// failing is the average share of requests that failed lately, 0 to 1.
	failing float64
}

type tier int

const (
	tierRemote tier = iota
	tierDisk
	tierMemory
)

const (
	// descriptionLag is how far an engine's own description may lag behind its
	// orders: a heartbeat and its way through the store.
	descriptionLag = 2500 * time.Millisecond
	// fullPause keeps requests away from an engine that said that it is full.
	fullPause = 150 * time.Millisecond
	// firstPause and maxPause bound how long a failing engine is avoided.
	firstPause = 400 * time.Millisecond
	maxPause   = 5 * time.Second
	// failureShare and successShare are the weights of one request in the share
	// that fails; failureCost is what a failed request counts.
	failureShare = 0.2
	successShare = 0.1
	failureCost  = 1500 * time.Millisecond
	// slowdownPercent weighs the delay of running streams by a prompt's reading.
	slowdownPercent = 3
	// gapPercent is the part of the longest pause that may be spent on reading
	// prompts, pauseCost what a stream that pauses longer counts.
	gapPercent = 70
	pauseCost  = 40 * time.Millisecond
	// strikesToAvoid is the number of failures in a row after which an engine is
	// avoided: single failures are no sign.
	strikesToAvoid = 2
)

func newEngine(up *fleet.Upstream, spec *fleet.EngineSpec) *engine {
	e := &engine{
		up:      up,
		copies:  make(map[string]*weightCopy),
		tier:    make(map[string]tier),
		runs:    make(map[uint64]*run),
		pending: make(map[uint64]*run),
		cache:   newPrefixCache(spec.KVTokens),
		orders:  -1,
	}
	e.setCopies(up.Models, spec)
	e.setTiers(up.OnDisk, up.InMemory)
	return e
}

// setCopies replaces what the engine holds by its own description.
func (e *engine) setCopies(held []fleet.LoadedModel, spec *fleet.EngineSpec) {
	next := make(map[string]*weightCopy, len(held))
	for _, h := range held {
		w := e.copies[h.Name]
		if w == nil {
			w = &weightCopy{model: h.Name, memoryMB: spec.Models[h.Name].MemoryMB}
		}
		w.state = present
		w.doubted = false
		w.setAdapters(h.Adapters)
		next[h.Name] = w
	}
	e.copies = next
}

func (w *weightCopy) setAdapters(names []string) {
	next := make(map[string]*adapterCopy, len(names))
	for _, name := range names {
		a := w.adapters[name]
		if a == nil {
			a = &adapterCopy{}
		}
		if a.state != unloading {
			a.state = present
		}
		a.doubted = false
		next[name] = a
	}
	for name, a := range w.adapters {
		if next[name] == nil && a.state != present {
			next[name] = a // on its way
		}
	}
	w.adapters = next
}

// addComing counts the adapters that are on their way by a report.
func (e *engine) addComing(coming []fleet.AdapterRef) {
	for _, ref := range coming {
		if w := e.copies[ref.Model]; w != nil && w.adapters[ref.Adapter] == nil {
			w.adapters[ref.Adapter] = &adapterCopy{}
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

// ready returns the copy of a model that can take requests; nil if there is none.
func (e *engine) ready(model string) *weightCopy {
	w := e.copies[model]
	if w == nil || w.state != present || w.doubted || w.retiringFor != "" {
		return nil
	}
	return w
}

func (e *engine) adapter(model, name string) *adapterCopy {
	w := e.copies[model]
	if w == nil {
		return nil
	}
	return w.adapters[name]
}

// doubt keeps requests away from a model or adapter that the engine says it
// does not hold. It still counts against the engine's room.
func (e *engine) doubt(model, adapter string) {
	w := e.copies[model]
	if w == nil {
		return
	}
	if a := w.adapters[adapter]; a != nil {
		a.doubted = true
		return
	}
	w.doubted = true
}

// memoryMB is the engine's memory for weights.
func (e *engine) memoryMB(spec *fleet.EngineSpec) int64 {
	if e.up.MemoryMB > 0 {
		return e.up.MemoryMB
	}
	return spec.MemoryMB
}

// usedMB is the memory that is held or promised.
func (e *engine) usedMB(spec *fleet.EngineSpec) int64 {
	var used int64
	for _, w := range e.copies {
		used += w.sizeMB(spec)
	}
	return used
}

// usedAdapterSlots counts the adapter places that are held or promised.
func (e *engine) usedAdapterSlots() int {
	used := 0
	for _, w := range e.copies {
		used += len(w.adapters)
	}
	return used
}

// comingAdapters counts the adapters on their way.
func (e *engine) comingAdapters(now time.Time) int {
	n := 0
	for _, w := range e.copies {
		for _, a := range w.adapters {
			if a.state == loading || now.Before(a.readyAt) {
				n++
			}
		}
	}
	return n
}

func (e *engine) addRun(now time.Time, r *run) {
	e.runs[r.ask.Key] = r
	e.pending[r.ask.Key] = r
	e.noteReading(now)
	if e.freeAt.Before(now) {
		e.freeAt = now
	}
	e.freeAt = e.freeAt.Add(r.work)
	e.kvTokens += r.ask.PromptTokens + r.ask.OutputTokens
	if gap := r.ask.MaxGap; gap > 0 && (e.maxGap == 0 || gap < e.maxGap) {
		e.maxGap = gap
	}
	e.cache.use(r.ask)
	e.touch(now, r.ask, 1)
}

func (e *engine) removeRun(now time.Time, r *run) {
	if e.runs[r.ask.Key] != r {
		return
	}
	delete(e.runs, r.ask.Key)
	e.dropPending(now, r)
	e.kvTokens -= r.ask.PromptTokens + r.ask.OutputTokens
	e.touch(now, r.ask, -1)
}

func (e *engine) touch(now time.Time, ask *Request, delta int) {
	w := e.copies[ask.Model]
	if w == nil {
		return
	}
	w.running = max(0, w.running+delta)
	w.lastUsed = now
	if a := w.adapters[ask.Adapter]; a != nil {
		a.running = max(0, a.running+delta)
		a.lastUsed = now
	}
}

// dropPending notes that a run's prompt was read, or that it ended.
func (e *engine) dropPending(now time.Time, r *run) {
	if e.pending[r.ask.Key] != r {
		return
	}
	delete(e.pending, r.ask.Key)
	e.freeAt = now.Add(-firstEventTime) // since then the next prompt is read
	for _, other := range e.pending {
		e.freeAt = e.freeAt.Add(other.work)
	}
}

// backlog is the time until the known prompts are read.
func (e *engine) backlog(now time.Time) time.Duration { return max(0, e.freeAt.Sub(now)) }

// streaming is the number of runs that have started.
func (e *engine) streaming() int { return len(e.runs) - len(e.pending) }

// disturbance is the time that reading a prompt costs the streams that run: it
// slows all of them, and they pause too long when prompts are read for most of
// their longest pause.
func (e *engine) disturbance(now time.Time, read time.Duration) time.Duration {
	streams := time.Duration(e.streaming())
	cost := streams * read * slowdownPercent / 100
	if e.maxGap > 0 && e.backlog(now)+read > e.maxGap*gapPercent/100 {
		cost += streams * pauseCost
	}
	return cost
}

func (e *engine) succeeded() {
	e.strikes = 0
	e.failing -= successShare * e.failing
}

func (e *engine) failed(now time.Time) {
	e.strikes++
	e.failing += failureShare * (1 - e.failing)
	if e.strikes < strikesToAvoid {
		return
	}
	e.avoidUntil = now.Add(min(maxPause, firstPause<<min(e.strikes-strikesToAvoid, 4)))
}

func (e *engine) full(now time.Time) {
	if until := now.Add(fullPause); e.avoidUntil.Before(until) {
		e.avoidUntil = until
	}
}

// usable reports whether new work may go to the engine at all.
func (e *engine) usable() bool { return e.up.TakesWork() }
