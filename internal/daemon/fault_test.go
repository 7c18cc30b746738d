package daemon

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	apiv1 "github.com/ragwortdoor/ragwortdoor/api/ragwortdoor/v1"
	"github.com/ragwortdoor/ragwortdoor/internal/external"
	"github.com/ragwortdoor/ragwortdoor/internal/standin"
	"github.com/ragwortdoor/ragwortdoor/internal/view"
)

// slots reads the slots of a model from the table stand-in.
func (d *deployment) slots(model string) []view.Slot {
	changes, err := d.table.Changes(context.Background(), external.LivePrefix, 0)
	if err != nil {
		return nil
	}
	store := view.NewStore()
	store.ApplyRows(changes)
	return store.Load().Slots[model]
}

// holder returns the index of the engine that has a model's first slot, or -1.
func (d *deployment) holder(model string) int {
	for _, slot := range d.slots(model) {
		if slot.Row.GetState() != apiv1.SlotState_SLOT_STATE_ASSIGNED {
			continue
		}
		for i, cfg := range d.sidecarSettings {
			if cfg.GetHost() == slot.Row.GetHost() {
				return i
			}
		}
	}
	return -1
}

// generations sums the streams that each engine has begun.
func (d *deployment) generations(engine int) int64 {
	return d.cluster.Engines[engine].Counts().Generations
}

// wantMemoryKept fails if any engine was told to load more than it holds, or a
// model with one slot was held twice at a time.
func (d *deployment) wantMemoryKept() {
	d.t.Helper()
	for i, engine := range d.cluster.Engines {
		if n := engine.Counts().OvercommitAttempts; n != 0 {
			d.t.Errorf("engine %d: %d loads beyond its memory", i, n)
		}
	}
	for model, census := range d.cluster.Census.Models() {
		if census.PeakHeld > 1 {
			d.t.Errorf("%s has one slot and was held by %d engines at a time", model, census.PeakHeld)
		}
	}
}

// slowKnobs make streams and loads long enough to fail in their middle.
func slowKnobs() standin.EngineKnobs {
	knobs := testKnobs()
	knobs.TokenMS = 20
	knobs.MemoryLoadMS = 1500
	return knobs
}

// startStreams begins n streams and returns once all of them have had tokens.
func (d *deployment) startStreams(n, router int, model string, tokens int) (wait func() []answer) {
	d.t.Helper()
	answers := make([]answer, n)
	var wg sync.WaitGroup
	for i := range n {
		wg.Go(func() { answers[i] = d.chat(router, model, fmt.Sprintf("stream %d", i), tokens) })
	}
	d.eventually("all streams run", func() bool {
		total := int64(0)
		for i := range d.cluster.Engines {
			total += d.generations(i)
		}
		return total >= int64(n)
	})
	return func() []answer {
		wg.Wait()
		return answers
	}
}

func TestPlannedStopCutsNoRequest(t *testing.T) {
	t.Parallel()
	const streams, tokens = 20, 100
	for _, role := range []string{"router", "sidecar"} {
		t.Run(role, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			d := deploy(t, deploymentOptions{routers: 1, engines: []standin.EngineKnobs{slowKnobs()}, set: testSet(1)})
			wait := d.startStreams(streams, 0, "model-0", tokens)
			stopped := d.routers[0]
			if role == "sidecar" {
				stopped = d.sidecars[0]
			}
			is.Equal(stopped.stop(), 0)
			for i, a := range wait() {
				wantWhole(t, a, "model-0", fmt.Sprintf("stream %d", i), tokens)
			}
		})
	}
}

func TestSidecarKilledInMidLoad(t *testing.T) {
	t.Parallel()
	for _, fences := range []bool{true, false} {
		t.Run(fmt.Sprintf("fences %v", fences), func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			knobs := slowKnobs()
			knobs.Fences = fences
			d := deploy(t, deploymentOptions{routers: 1, engines: []standin.EngineKnobs{knobs}, set: testSet(3)})
			first := make(chan answer, 1)
			go func() { first <- d.chat(0, "model-0", "before the kill", 5) }()
			d.eventually("the load has begun", func() bool { return d.cluster.Census.Model("model-0").Loads == 1 })
			d.sidecars[0].kill()
			d.restartSidecar(0)
			answers := make([]answer, 3)
			var wg sync.WaitGroup
			for i := range answers {
				wg.Go(func() { answers[i] = d.chat(0, fmt.Sprintf("model-%d", i), "after the kill", 5) })
			}
			wg.Wait()
			for i, a := range answers {
				wantWhole(t, a, fmt.Sprintf("model-%d", i), "after the kill", 5)
			}
			a := <-first
			is.True(a.err == nil && (a.whole || a.outcome != "")) // whole, or refused with its outcome
			d.wantMemoryKept()
			is.Equal(d.cluster.Census.Model("model-0").Loads, 1) // the load in flight was taken over
		})
	}
}

// A sidecar that is frozen while its host is dropped and its slot moves must
// not load the slot when it wakes, though a request is waiting in its socket.
func TestFrozenSidecarLoadsNothingThatMoved(t *testing.T) {
	t.Parallel()
	d := deploy(t, deploymentOptions{routers: 1, engines: []standin.EngineKnobs{testKnobs(), testKnobs()}, set: testSet(1)})
	d.eventually("the slot is assigned", func() bool { return d.holder("model-0") >= 0 })
	old := d.holder("model-0")
	d.sidecars[old].freeze()
	first := make(chan answer, 1)
	go func() { first <- d.chat(0, "model-0", "sent to the frozen sidecar", 5) }()
	time.Sleep(200 * time.Millisecond) // the request reaches the frozen process
	d.cluster.Hosts.Drop(d.sidecarSettings[old].GetHost())
	d.eventually("the slot has moved", func() bool { h := d.holder("model-0"); return h >= 0 && h != old })
	wantWhole(t, d.chat(0, "model-0", "after the move", 5), "model-0", "after the move", 5)
	d.sidecars[old].thaw()
	time.Sleep(2 * time.Second) // time for a wrong load
	d.wantMemoryKept()
	<-first
}

// A sidecar is frozen between a request's admission and the order that it leads
// to, while it waits for the unload of another model. The order must not be sent
// when the process wakes after the slot has moved.
func TestFrozenSidecarDropsItsWaitingLoad(t *testing.T) {
	t.Parallel()
	d := deploy(t, deploymentOptions{routers: 1, engines: []standin.EngineKnobs{testKnobs(), testKnobs()}, set: testSet(0)})
	other := d.hostOf(1)
	d.cluster.Hosts.Drop(other.ID)
	d.publish(testSet(3))
	for i := range 3 {
		d.eventually("the slot is on the only host", func() bool { return d.holder(fmt.Sprintf("model-%d", i)) == 0 })
	}
	for _, model := range []string{"model-1", "model-2"} { // two models fill the engine
		wantWhole(t, d.chat(0, model, "warm", 5), model, "warm", 5)
	}
	knobs := testKnobs()
	knobs.UnloadMS = 2000
	d.cluster.Engines[0].SetKnobs(knobs)
	first := make(chan answer, 1)
	go func() { first <- d.chat(0, "model-0", "waits for room", 5) }()
	d.eventually("a model is being unloaded", func() bool { return d.unloading(0) })
	d.sidecars[0].freeze()
	d.cluster.Hosts.Add(other)
	d.cluster.Hosts.Drop(d.sidecarSettings[0].GetHost())
	d.eventually("the slot has moved", func() bool { return d.holder("model-0") == 1 })
	wantWhole(t, d.chat(0, "model-0", "after the move", 5), "model-0", "after the move", 5)
	d.sidecars[0].thaw()
	time.Sleep(2 * time.Second) // time for a wrong load
	d.wantMemoryKept()
	<-first
}

// hostOf returns the host of a sidecar as the host list has it.
func (d *deployment) hostOf(sidecar int) external.Host {
	d.t.Helper()
	for _, h := range d.cluster.Hosts.Listing().Hosts {
		if h.ID == d.sidecarSettings[sidecar].GetHost() {
			return h
		}
	}
	d.t.Fatalf("sidecar %d is not listed", sidecar)
	return external.Host{}
}

// unloading reports whether an engine unloads a model.
func (d *deployment) unloading(engine int) bool {
	return slices.ContainsFunc(d.cluster.Engines[engine].Inventory().Models, func(m external.EngineModel) bool {
		return m.State == external.ModelUnloading
	})
}

func TestColdStartWhileTableIsDown(t *testing.T) {
	t.Parallel()
	d := deploy(t, deploymentOptions{routers: 2, engines: []standin.EngineKnobs{testKnobs(), testKnobs()}, set: testSet(2)})
	for router := range d.routers { // both routers and all sidecars know the slots
		wantWhole(t, d.chat(router, "model-0", "warm up", 5), "model-0", "warm up", 5)
	}
	d.eventually("the slot is assigned", func() bool { return d.holder("model-1") >= 0 })
	time.Sleep(2 * time.Second) // a poll of the table by each router
	d.cluster.Table.Faults.Set(standin.Faults{Down: true})
	for router := range d.routers {
		wantWhole(t, d.chat(router, "model-1", "cold", 5), "model-1", "cold", 5)
	}
	d.wantMemoryKept()
}

func TestLostTableAnswersMisplaceNothing(t *testing.T) {
	t.Parallel()
	d := deploy(t, deploymentOptions{routers: 2, engines: []standin.EngineKnobs{testKnobs(), testKnobs()}, set: testSet(2)})
	d.cluster.Table.Faults.Set(standin.Faults{LoseEvery: 2})
	d.publish(testSet(4))
	for i := range 4 {
		model := fmt.Sprintf("model-%d", i)
		d.eventually(model+" has a slot", func() bool { return d.holder(model) >= 0 })
		d.eventually(model+" answers", func() bool { return d.chat(i%2, model, "lost", 5).whole })
	}
	d.wantMemoryKept()
}

// call posts to the plain service and returns status, outcome and body.
func (d *deployment) call(router int, key, body string) answer {
	return d.callWithin(context.Background(), router, key, body, serviceDeadline)
}

// serviceDeadline is the one that the configuration gives a call.
const serviceDeadline = 30 * time.Second

// callWithin is call with a deadline of its own.
func (d *deployment) callWithin(ctx context.Context, router int, key, body string, deadline time.Duration) answer {
	url := d.url(router) + "/services/" + testService + "/book"
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader([]byte(body)))
	if err != nil {
		return answer{err: err}
	}
	request.Header.Set("Ragwortdoor-Deadline-Ms", strconv.FormatInt(deadline.Milliseconds(), 10))
	if key != "" {
		request.Header.Set("Idempotency-Key", key)
	}
	response, err := d.client.Do(request)
	if err != nil {
		return answer{err: err}
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	return answer{status: response.StatusCode, outcome: response.Header.Get("Ragwortdoor-Outcome"), body: string(data), err: err}
}

func TestSameKeyThroughSeveralRoutersRunsOnce(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	d := deploy(t, deploymentOptions{routers: 3, services: []standin.ServiceKnobs{{RunMS: 200}, {RunMS: 200}}, set: testSet(0)})
	d.eventually("the service answers", func() bool { return d.call(0, "", "probe").status == http.StatusOK })
	answers := make([]answer, 30)
	var wg sync.WaitGroup
	for i := range answers {
		wg.Go(func() { answers[i] = d.call(i%3, "booking-7", "two pallets") })
	}
	wg.Wait()
	runs := 0
	for _, service := range d.cluster.Services {
		runs += service.Counts().ByKey["booking-7"]
	}
	is.Equal(runs, 1)
	for _, a := range answers {
		is.NoErr(a.err)
		is.Equal(a.status, http.StatusOK)
		is.Equal(a.body, answers[0].body)
	}
}

func TestCallIsRefusedWhileClaimsCantBeWritten(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	d := deploy(t, deploymentOptions{routers: 1, services: []standin.ServiceKnobs{{}}, set: testSet(0)})
	d.eventually("the service answers", func() bool { return d.call(0, "", "probe").status == http.StatusOK })
	d.cluster.Table.Faults.Set(standin.Faults{Down: true})
	a := d.call(0, "booking-8", "one pallet")
	is.NoErr(a.err)
	is.Equal(a.outcome, "not-run")
	is.Equal(d.cluster.Services[0].Counts().ByKey["booking-8"], 0)
}

func TestLeavingHostGetsNoNewWork(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	d := deploy(t, deploymentOptions{routers: 2, engines: []standin.EngineKnobs{testKnobs(), testKnobs()}, set: testSet(1)})
	wantWhole(t, d.chat(0, "model-0", "warm", 5), "model-0", "warm", 5)
	old := d.holder("model-0")
	d.cluster.Hosts.SetKnobs(standin.HostKnobs{LagMS: 500})
	d.cluster.Hosts.Leave(d.sidecarSettings[old].GetHost())
	d.eventually("the slot has moved", func() bool { h := d.holder("model-0"); return h >= 0 && h != old })
	before := d.generations(old)
	for router := range d.routers {
		wantWhole(t, d.chat(router, "model-0", "after", 5), "model-0", "after", 5)
	}
	is.Equal(d.generations(old), before)
	d.wantMemoryKept()
}

func TestAnotherRouterDecidesAfterAKill(t *testing.T) {
	t.Parallel()
	d := deploy(t, deploymentOptions{routers: 2, engines: []standin.EngineKnobs{testKnobs(), testKnobs()}, set: testSet(1)})
	d.eventually("the slot is assigned", func() bool { return d.holder("model-0") >= 0 })
	d.routers[0].kill()
	d.publish(testSet(4))
	for i := range 4 {
		model := fmt.Sprintf("model-%d", i)
		d.eventually(model+" has a slot", func() bool { return d.holder(model) >= 0 })
		d.eventually(model+" answers", func() bool { return d.chat(1, model, "after the kill", 5).whole })
	}
	d.wantMemoryKept()
}

// A router that was frozen past its leases wakes while another decides.
func TestFrozenDeciderChangesNothingWhenItWakes(t *testing.T) {
	t.Parallel()
	d := deploy(t, deploymentOptions{routers: 2, engines: []standin.EngineKnobs{testKnobs(), testKnobs()}, set: testSet(1)})
	d.eventually("the slot is assigned", func() bool { return d.holder("model-0") >= 0 })
	d.routers[0].freeze()
	d.publish(testSet(4))
	for i := range 4 {
		model := fmt.Sprintf("model-%d", i)
		d.eventually(model+" has a slot", func() bool { return d.holder(model) >= 0 })
	}
	d.routers[0].thaw()
	for i := range 4 {
		model := fmt.Sprintf("model-%d", i)
		d.eventually(model+" answers", func() bool { return d.chat(i%2, model, "after the thaw", 5).whole })
	}
	d.wantMemoryKept()
}

// A router that starts while the whole platform is down takes the highest
// revision that its peers hold, and routes by their slots.
func TestRouterStartsFromPeersWhilePlatformIsDown(t *testing.T) {
	t.Parallel()
	d := deploy(t, deploymentOptions{routers: 2, engines: []standin.EngineKnobs{testKnobs()}, set: testSet(1)})
	wantWhole(t, d.chat(0, "model-0", "warm", 5), "model-0", "warm", 5)
	wantWhole(t, d.chat(1, "model-0", "warm", 5), "model-0", "warm", 5)
	d.routers[0].kill()
	down := standin.Faults{Down: true}
	d.cluster.Table.Faults.Set(down)
	d.cluster.Objects.Faults.Set(down)
	d.cluster.Hosts.Faults.Set(down)
	d.restartRouter(0)
	d.waitReady(0)
	d.eventually("the restarted router answers", func() bool { return d.chat(0, "model-0", "again", 5).whole })
	d.wantMemoryKept()
}
