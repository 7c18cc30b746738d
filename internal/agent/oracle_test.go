package agent

import (
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	apiv1 "github.com/ragwortdoor/ragwortdoor/api/ragwortdoor/v1"
)

// check compares what the engine and the router saw with what is allowed.
func (o *oracle) check(t *rapid.T) {
	synctest.Wait()
	o.b.engine.mu.Lock()
	breaches := o.b.engine.breaches
	o.b.engine.mu.Unlock()
	if len(breaches) > 0 {
		t.Fatalf("engine: %v", breaches)
	}
	for s := range o.generations {
		o.checkGeneration(t, s)
	}
	for s, in := range o.releases {
		o.checkRelease(t, s, in)
	}
}

func ended(s *fakeStream) bool {
	select {
	case <-s.closed:
		return true
	default:
		return false
	}
}

func (o *oracle) checkGeneration(t *rapid.T, s *fakeStream) {
	got := read(s)
	if got.gap || got.ends > 1 || (ended(s) && !o.cut[s] && got.ends != 1) {
		t.Fatalf("stream of %s: %d ends, gap %v", o.generations[s].GetRequestId(), got.ends, got.gap)
	}
	for i, text := range got.text {
		if text != tokenText(o.generations[s].GetRequestId(), i) {
			t.Fatalf("stream of %s: token %d is %s", o.generations[s].GetRequestId(), i, text)
		}
	}
	if got.end != nil && (len(got.text) != 5 || got.end.GetTotalTokens() != 5) {
		t.Fatalf("short answer looks whole: %v", got)
	}
	if ended(s) {
		delete(o.generations, s)
	}
}

func (o *oracle) checkRelease(t *rapid.T, s *fakeStream, in *apiv1.ReleaseSlot) {
	if !ended(s) {
		return
	}
	delete(o.releases, s)
	frames := s.frames()
	if len(frames) == 0 || !frames[0].GetRelease().GetReleased() {
		return
	}
	model := in.GetModel()
	o.confirmed[model] = max(o.confirmed[model], in.GetGeneration())
	o.b.engine.mu.Lock()
	defer o.b.engine.mu.Unlock()
	if o.b.engine.models[model] != nil && o.heldUnder[model] <= in.GetGeneration() {
		t.Fatalf("release of %s generation %d confirmed while the engine holds %d", model, in.GetGeneration(), o.heldUnder[model])
	}
}

func (o *oracle) finish(t *rapid.T) {
	if rapid.Bool().Draw(t, "requests go on") {
		o.recovers(t)
	}
	time.Sleep(90 * time.Second)
	o.check(t)
	if len(o.generations)+len(o.releases) > 0 {
		t.Fatalf("%d generations and %d releases never ended", len(o.generations), len(o.releases))
	}
	o.checkPermits(t)
}

// recovers checks that every model is served as soon as the faults end.
func (o *oracle) recovers(t *rapid.T) {
	for _, w := range o.watchers {
		_ = w.Close() // an allocator may have queued a load for ever
	}
	o.b.engine.mu.Lock()
	o.b.engine.faults, o.b.engine.script = nil, nil
	o.b.engine.mu.Unlock()
	var specs []*apiv1.SlotSpec
	for _, model := range fuzzModels {
		o.newest[model] = max(o.newest[model], o.released[model]) + 1
		specs = append(specs, fuzzSlot(model, o.newest[model]))
		o.assigned[model] = o.newest[model]
		o.holdUnder(model, o.newest[model])
	}
	o.open = true
	o.b.assign(specs...)
	var streams []*fakeStream
	for _, model := range rapid.Permutation(fuzzModels).Draw(t, "order") {
		synctest.Wait()
		in := request("last-"+model, model, o.newest[model])
		in.DeadlineMs = 100_000
		streams = append(streams, o.b.generate(in))
	}
	for _, s := range streams {
		if got := result(s); got.end == nil {
			t.Fatalf("not served after the faults: %v", got.refusal)
		}
	}
	o.check(t)
}
