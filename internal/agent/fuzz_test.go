package agent

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	apiv1 "github.com/ragwortdoor/ragwortdoor/api/ragwortdoor/v1"
	"github.com/ragwortdoor/ragwortdoor/internal/external"
)

var fuzzModels = []string{"a", "b", "c", "d"}

// oracle knows what the agent was told, and checks what the engine and the
// router see of it.
type oracle struct {
	b *bench
	// open is false until slots were accepted, and again after a pause.
	open bool
	// accepted is true once this process has accepted slots.
	accepted bool
	// assigned, released and confirmed hold generations by model.
	assigned, released, confirmed map[string]uint64
	newest                        map[string]uint64
	// heldUnder is the generation under which the last load of a model counts.
	heldUnder   map[string]uint64
	streams     []*fakeStream
	generations map[*fakeStream]*apiv1.GenerateRequest
	releases    map[*fakeStream]*apiv1.ReleaseSlot
	cut         map[*fakeStream]bool
	watchers    []*fakeStream
}

func newOracle(b *bench) *oracle {
	o := &oracle{
		b:           b,
		assigned:    make(map[string]uint64),
		released:    make(map[string]uint64),
		confirmed:   make(map[string]uint64),
		newest:      make(map[string]uint64),
		heldUnder:   make(map[string]uint64),
		generations: make(map[*fakeStream]*apiv1.GenerateRequest),
		releases:    make(map[*fakeStream]*apiv1.ReleaseSlot),
		cut:         make(map[*fakeStream]bool),
	}
	b.engine.onOrder = o.checkOrder
	b.engine.onApply = o.checkApply
	return o
}

func fuzzSlot(model string, generation uint64) *apiv1.SlotSpec {
	spec := slot(model, generation)
	spec.Checkpoint = fmt.Sprint(generation)
	spec.KeepAliveMs = 3000
	return spec
}

func generationOf(order external.Order) uint64 {
	var generation uint64
	_, _ = fmt.Sscan(order.Checkpoint, &generation)
	return generation
}

// checkOrder runs when the sidecar gives a load order.
func (o *oracle) checkOrder(order external.Order) string {
	generation := generationOf(order)
	o.heldUnder[order.Model] = generation
	switch {
	case !o.open:
		return "load without slots"
	case o.assigned[order.Model] != generation:
		return fmt.Sprintf("load of %s generation %d, assigned %d", order.Model, generation, o.assigned[order.Model])
	case generation <= o.released[order.Model]:
		return fmt.Sprintf("load of released %s generation %d", order.Model, generation)
	}
	return ""
}

// checkApply runs when a load order takes effect.
func (o *oracle) checkApply(order external.Order) string {
	if generation := o.heldUnder[order.Model]; generation <= o.confirmed[order.Model] {
		return fmt.Sprintf("load of %s generation %d after its release was confirmed", order.Model, generation)
	}
	return ""
}

func (o *oracle) assignFresh(t *rapid.T) {
	var specs []*apiv1.SlotSpec
	next := make(map[string]uint64)
	for _, model := range fuzzModels {
		switch rapid.IntRange(0, 3).Draw(t, "slot of "+model) {
		case 0: // not on this host
		case 1: // moved here anew
			o.newest[model]++
			specs = append(specs, fuzzSlot(model, o.newest[model]))
			next[model] = o.newest[model]
		default: // as known, perhaps released
			specs = append(specs, fuzzSlot(model, max(1, o.newest[model])))
			next[model] = max(1, o.newest[model])
		}
		o.newest[model] = max(1, o.newest[model])
	}
	reply := o.b.assign(specs...)
	if !reply.GetAccepted() {
		t.Fatalf("fresh slots refused: %s", reply.GetReason())
	}
	o.open = true
	o.accepted = true
	o.assigned = make(map[string]uint64)
	for model, generation := range next {
		if generation > o.released[model] {
			o.assigned[model] = generation
			o.holdUnder(model, generation)
		}
	}
}

// holdUnder notes that a replica counts under a new generation, unless the one
// that it was loaded under was released.
func (o *oracle) holdUnder(model string, generation uint64) {
	if o.heldUnder[model] > o.released[model] {
		o.heldUnder[model] = generation
	}
}

func (o *oracle) assignStale(t *rapid.T) {
	stale := &apiv1.AssignSlots{BootId: o.b.bootID(), ConfigRevision: 1, TableRevision: o.b.table}
	for _, model := range fuzzModels {
		stale.Slots = append(stale.Slots, fuzzSlot(model, 1))
	}
	kind := rapid.IntRange(0, 2).Draw(t, "stale")
	switch {
	case kind == 0 || !o.accepted:
		stale.BootId = "earlier"
	case kind == 1:
		stale.TableRevision--
	case kind == 2:
		stale.ConfigRevision = 0
	}
	frame := &apiv1.RouterFrame{Body: &apiv1.RouterFrame_Assign{Assign: stale}}
	if o.b.ask(frame).GetAssign().GetAccepted() {
		t.Fatalf("stale slots accepted: %v", stale)
	}
}

func (o *oracle) generate(t *rapid.T) {
	model := rapid.SampledFrom(fuzzModels).Draw(t, "model")
	generation := max(2, o.newest[model]+uint64(rapid.IntRange(0, 2).Draw(t, "ahead"))) - 1
	in := request(fmt.Sprint("r", len(o.streams)), model, generation)
	in.DeadlineMs = rapid.SampledFrom([]uint32{0, 300, 2500, 20_000}).Draw(t, "deadline")
	in.Priority = uint32(rapid.IntRange(0, 2).Draw(t, "priority"))
	in.Adapter = rapid.SampledFrom([]string{"", "", "x", "y"}).Draw(t, "adapter")
	if in.Adapter != "" {
		in.AdapterMemoryMib = 10
		in.AdapterCheckpoint = in.Adapter
	}
	s := o.b.generate(in)
	o.streams = append(o.streams, s)
	o.generations[s] = in
	synctest.Wait()
	if o.open && o.assigned[model] == generation {
		return
	}
	if got := read(s); got.refusal == nil || got.refusal.GetOutcomeUnknown() {
		t.Fatalf("request for unassigned %s generation %d admitted: %v", model, generation, got)
	}
}

func (o *oracle) release(t *rapid.T) {
	model := rapid.SampledFrom(fuzzModels).Draw(t, "model")
	generation := max(2, o.newest[model]+uint64(rapid.IntRange(0, 1).Draw(t, "ahead"))) - 1
	o.released[model] = max(o.released[model], generation)
	if o.assigned[model] <= generation {
		delete(o.assigned, model)
	}
	s := o.b.release(model, generation)
	o.streams = append(o.streams, s)
	o.releases[s] = &apiv1.ReleaseSlot{Model: model, Generation: generation}
}

func (o *oracle) pause(*rapid.T) {
	o.b.engine.pause()
	synctest.Wait()
	o.b.clock.pause(10 * time.Second)
	o.open = false
	o.assigned = make(map[string]uint64)
}

// restartSidecar kills the process. The next one has forgotten the releases; the
// table lists no released generation by then.
func (o *oracle) restartSidecar(*rapid.T) {
	for _, s := range o.streams {
		o.cut[s] = true
	}
	o.b.restart()
	o.open = false
	o.accepted = false
	o.assigned = make(map[string]uint64)
	for model, generation := range o.released {
		o.newest[model] = max(o.newest[model], generation) + 1
	}
	o.released = make(map[string]uint64)
}

func (o *oracle) watch(*rapid.T) {
	o.watchers = append(o.watchers, o.b.watch(1))
}

// answer plays the router of one watch, for the last permit that it was asked.
func (o *oracle) answer(t *rapid.T) {
	if len(o.watchers) == 0 {
		return
	}
	w := rapid.SampledFrom(o.watchers).Draw(t, "watcher")
	asked := permitRequests(w)
	if len(asked) == 0 || ended(w) {
		return
	}
	answer := &apiv1.LoadPermit{Id: asked[len(asked)-1].GetId()}
	switch rapid.IntRange(0, 2).Draw(t, "answer") {
	case 0:
		answer.NoAllocator = true
	case 1:
		answer.Queued = true
	}
	answerPermit(w, answer)
}

// checkPermits runs when no request is left: every permit was given back.
func (o *oracle) checkPermits(t *rapid.T) {
	for _, w := range o.watchers {
		open := make(map[uint64]bool)
		for _, request := range permitRequests(w) {
			open[request.GetId()] = !request.GetDone()
		}
		for id, still := range open {
			if still && !ended(w) {
				t.Fatalf("permit %d was never given back", id)
			}
		}
	}
}

func (o *oracle) fault(t *rapid.T) {
	f := rapid.SampledFrom([]fault{faultLostAnswer, faultNoAnswer, faultLostOrder, faultLateOrder, faultRefused}).Draw(t, "fault")
	o.b.engine.mu.Lock()
	defer o.b.engine.mu.Unlock()
	o.b.engine.faults = append(o.b.engine.faults, f)
}

func (o *oracle) cutStream(t *rapid.T) {
	if len(o.streams) == 0 {
		return
	}
	s := rapid.SampledFrom(o.streams).Draw(t, "stream")
	o.cut[s] = true
	_ = s.Close()
}

func (o *oracle) badStream(t *rapid.T) {
	id := fmt.Sprint("r", len(o.streams))
	events := wholeAnswer(id, 0, 5)
	switch rapid.IntRange(0, 3).Draw(t, "damage") {
	case 0:
		events = events[:2]
	case 1:
		events = append(wholeAnswer("x", 0, 3), events...)
	case 2:
		events = append(events[:3:3], events[1:]...)
	case 3:
		events = append(events[:1:1], events[2:]...)
	}
	o.b.engine.mu.Lock()
	defer o.b.engine.mu.Unlock()
	o.b.engine.script = [][]external.TokenEvent{events}
}

// TestAgentKeepsItsPromises drives a whole agent beside an engine that loses
// answers and orders, restarts and damages streams.
func TestAgentKeepsItsPromises(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		rapid.SyncTest(rt, func(rt *rapid.T) {
			engine := newFakeEngine()
			if rapid.Bool().Draw(rt, "engine fences") {
				engine.fences = make(map[string]uint64)
			}
			o := newOracle(newBench(engine, nil))
			defer o.b.close()
			rt.Repeat(map[string]func(*rapid.T){
				"assign":       o.assignFresh,
				"stale assign": o.assignStale,
				"generate":     o.generate,
				"generate too": o.generate,
				"release":      o.release,
				"pause":        o.pause,
				"fault":        o.fault,
				"cut":          o.cutStream,
				"watch":        o.watch,
				"permit":       o.answer,
				"new sidecar":  o.restartSidecar,
				"bad stream":   o.badStream,
				"restart":      func(*rapid.T) { engine.restart() },
				"short time":   func(*rapid.T) { time.Sleep(50 * time.Millisecond) },
				"long time":    func(*rapid.T) { time.Sleep(2500 * time.Millisecond) },
				"":             o.check,
			})
			o.finish(rt)
		})
	})
}
