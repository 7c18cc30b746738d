package daemon

import (
	"context"
	"flag"
	"fmt"
	"maps"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/ragwortdoor/ragwortdoor/internal/standin"
)

var (
	chaosSteps = flag.Int("chaos.steps", 16, "steps of TestFaultsTogether")
	chaosSeed  = flag.Uint64("chaos.seed", 1, "seed of TestFaultsTogether")
)

const (
	chaosModels    = 4
	chaosWorkers   = 6
	chaosTokens    = 20
	maxChaosFaults = 3 // at a time
)

// chaos draws faults of a running deployment, several at a time.
type chaos struct {
	d   *deployment
	rng *rand.Rand
	// active holds what ends the fault of each part.
	active map[string]func()

	mu    sync.Mutex
	calls map[string]answer // by idempotency key
}

// faults lists the faults that can begin, by the part that each one breaks. Each
// breaks its part and returns what mends it.
func (c *chaos) faults() map[string][]func() func() {
	d := c.d
	all := make(map[string][]func() func())
	add := func(part string, begin func() func()) { all[part] = append(all[part], begin) }
	for i := range d.routers {
		part := fmt.Sprintf("router %d", i)
		add(part, func() func() { d.routers[i].freeze(); return func() { d.routers[i].thaw() } })
		add(part, func() func() { d.routers[i].kill(); return func() { d.restartRouter(i) } })
	}
	for i := range d.sidecars {
		part := fmt.Sprintf("sidecar %d", i)
		add(part, func() func() { d.sidecars[i].freeze(); return func() { d.sidecars[i].thaw() } })
		add(part, func() func() { d.sidecars[i].kill(); return func() { d.restartSidecar(i) } })
		add(fmt.Sprintf("host %d", i), func() func() {
			host := d.hostOf(i)
			d.cluster.Hosts.Leave(host.ID)
			return func() { d.cluster.Hosts.Add(host) }
		})
	}
	for i, engine := range d.cluster.Engines {
		part := fmt.Sprintf("engine %d", i)
		add(part, func() func() { engine.Restart(); return func() {} })
		add(part, func() func() {
			knobs := slowKnobs()
			knobs.CutStreams, knobs.CutAfterTokens, knobs.UnloadMS = 5, 3, 500
			engine.SetKnobs(knobs)
			return func() { engine.SetKnobs(testKnobs()) }
		})
	}
	boxes := map[string]*standin.FaultBox{"table": &d.cluster.Table.Faults, "objects": &d.cluster.Objects.Faults, "host list": &d.cluster.Hosts.Faults}
	for part, box := range boxes {
		for _, f := range []standin.Faults{{Down: true}, {LoseEvery: 2}, {DelayMS: 900}} {
			add(part, func() func() { box.Set(f); return func() { box.Set(standin.Faults{}) } })
		}
	}
	return all
}

// step begins a fault, or ends one when there are enough.
func (c *chaos) step() {
	parts := slices.Sorted(maps.Keys(c.active))
	if len(parts) == maxChaosFaults || (len(parts) > 0 && c.rng.IntN(3) == 0) {
		c.end(parts[c.rng.IntN(len(parts))])
		return
	}
	all := c.faults()
	free := slices.DeleteFunc(slices.Sorted(maps.Keys(all)), func(part string) bool { return c.active[part] != nil })
	part := free[c.rng.IntN(len(free))]
	choice := c.rng.IntN(len(all[part]))
	c.d.t.Logf("break %s, fault %d", part, choice)
	c.active[part] = all[part][choice]()
}

func (c *chaos) end(part string) {
	c.d.t.Logf("mend %s", part)
	c.active[part]()
	delete(c.active, part)
}

// work sends requests until ctx is done. A router that is killed may cut them.
func (c *chaos) work(ctx context.Context, worker int) {
	for n := 0; ctx.Err() == nil; n++ {
		what := fmt.Sprintf("%d-%d", worker, n)
		router := (worker + n) % len(c.d.routers)
		if n%2 == 0 {
			a := c.d.callWithin(ctx, router, what, what, 5*time.Second)
			c.mu.Lock()
			c.calls[what] = a
			c.mu.Unlock()
			continue
		}
		model := fmt.Sprintf("model-%d", n/2%chaosModels)
		a := c.d.chat(router, model, what, chaosTokens)
		told := a.err != nil || (a.status != http.StatusOK && a.outcome != "") || strings.Contains(a.body, `"error":`)
		if !a.whole && !told {
			c.d.t.Errorf("answer to %s ended without an end mark or an error: %+v", what, a)
		}
		if want := standin.Answer(model, "", "user: "+what, chaosTokens); a.whole && a.text != want {
			c.d.t.Errorf("answer to %s is %q, want %q", what, a.text, want)
		}
	}
}

// wantCallsTrue compares what the callers were told with the runs.
func (c *chaos) wantCallsTrue() {
	runs := make(map[string]int)
	for _, service := range c.d.cluster.Services {
		for key, n := range service.Counts().ByKey {
			runs[key] += n
		}
	}
	told := make(map[string]int)
	for key, a := range c.calls {
		n := runs[key]
		if n > 1 || (a.outcome == "not-run" && n != 0) || (a.status == http.StatusOK && n != 1) {
			c.d.t.Errorf("call %s: told %q with status %d and ran %d times", key, a.outcome, a.status, n)
		}
		told[fmt.Sprintf("%d %s", a.status, a.outcome)]++
	}
	c.d.t.Logf("calls by status and outcome: %v", told)
}

// TestFaultsTogether breaks several parts of a deployment at a time, under load,
// and then demands that no slot was loaded twice, no memory overcommitted, no
// answer cut or foreign, no call run twice or run in spite of "not-run", and that
// all models answer again.
func TestFaultsTogether(t *testing.T) {
	t.Parallel()
	d := deploy(t, deploymentOptions{
		routers: 2, engines: []standin.EngineKnobs{testKnobs(), testKnobs(), testKnobs()},
		services: []standin.ServiceKnobs{{RunMS: 20}, {RunMS: 20}}, set: testSet(chaosModels),
	})
	c := &chaos{d: d, rng: rand.New(rand.NewPCG(*chaosSeed, 0)), active: make(map[string]func()), calls: make(map[string]answer)}
	ctx, cancel := context.WithCancel(context.Background())
	var workers sync.WaitGroup
	for w := range chaosWorkers {
		workers.Go(func() { c.work(ctx, w) })
	}
	for range *chaosSteps {
		c.step()
		time.Sleep(time.Duration(c.rng.IntN(1500)) * time.Millisecond)
	}
	for _, part := range slices.Sorted(maps.Keys(c.active)) {
		c.end(part)
	}
	mended := time.Now()
	for i := range d.routers {
		for m := range chaosModels {
			model := fmt.Sprintf("model-%d", m)
			d.eventually(model+" answers", func() bool { return d.chat(i, model, "mended", 5).whole })
		}
	}
	t.Logf("all models answered %s after the last fault ended", time.Since(mended).Round(time.Millisecond))
	cancel()
	workers.Wait()
	c.wantCallsTrue()
	d.wantMemoryKept()
	d.wantOutcomesAddUp()
}
