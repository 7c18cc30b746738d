package daemon

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/ragwortdoor/ragwortdoor/internal/router"
	"github.com/ragwortdoor/ragwortdoor/internal/standin"
)

// stats reads the counters of a router's requests.
func (d *deployment) stats(i int) (router.Stats, error) {
	response, err := http.Get("http://" + d.routerSettings[i].GetOperatorListen() + "/debug/vars")
	if err != nil {
		return router.Stats{}, err
	}
	defer func() { _ = response.Body.Close() }()
	var vars struct {
		Router router.Stats `json:"router"`
	}
	err = json.NewDecoder(response.Body).Decode(&vars)
	return vars.Router, err
}

// wantOutcomesAddUp fails unless every request that a router accepted has ended
// in exactly one outcome.
func (d *deployment) wantOutcomesAddUp() {
	d.t.Helper()
	for i := range d.routers {
		var s router.Stats
		d.eventually("no request is in flight", func() bool {
			var err error
			s, err = d.stats(i)
			return err == nil && s.InFlight == 0
		})
		if s.Accepted == 0 || s.Accepted != s.Served+s.NotRun+s.Unknown {
			d.t.Errorf("router %d: accepted %d, served %d, not run %d, unknown %d", i, s.Accepted, s.Served, s.NotRun, s.Unknown)
		}
		d.t.Logf("router %d: accepted %d, served %d, not run %d, unknown %d, refused %v", i, s.Accepted, s.Served, s.NotRun, s.Unknown, s.Refused)
	}
}

// tableBudget is the number of requests a second that the letter grants all
// processes together: 300 writes and 1,000 reads.
const tableBudget = 1300

// A long outage of the table, then lost answers, then recovery, under load.
func TestOutcomesAddUpOverAnOutage(t *testing.T) {
	t.Parallel()
	d := deploy(t, deploymentOptions{
		routers: 2, engines: []standin.EngineKnobs{testKnobs(), testKnobs()},
		services: []standin.ServiceKnobs{{}, {}}, set: testSet(3),
	})
	d.eventually("the service answers", func() bool { return d.call(0, "", "probe").status == http.StatusOK })
	wantWhole(t, d.chat(0, "model-0", "warm", 5), "model-0", "warm", 5)
	var requests atomic.Int64 // to the table, failed ones included
	d.cluster.Table.Faults.OnCall(func() { requests.Add(1) })
	stop := d.startLoad(8)
	phases := []struct {
		name    string
		faults  standin.Faults
		seconds int
	}{
		{"before", standin.Faults{}, 3},
		{"down", standin.Faults{Down: true}, 10},
		{"answers lost", standin.Faults{LoseEvery: 2}, 3},
		{"slow", standin.Faults{DelayMS: 800}, 3},
		{"after", standin.Faults{}, 4},
	}
	for _, phase := range phases {
		d.cluster.Table.Faults.Set(phase.faults)
		for second := range phase.seconds {
			before := requests.Load()
			time.Sleep(time.Second)
			n := requests.Load() - before
			t.Logf("%s, second %d: %d requests to the table", phase.name, second, n)
			if n > tableBudget {
				t.Errorf("%s: %d requests to the table in a second, the budget is %d", phase.name, n, tableBudget)
			}
		}
	}
	stop()
	d.wantOutcomesAddUp()
	d.wantMemoryKept()
	for i := range d.routers {
		d.eventually("calls with a key are taken again", func() bool {
			return d.call(i, fmt.Sprintf("after-%d-%d", i, time.Now().UnixNano()), "x").status == http.StatusOK
		})
	}
}

// startLoad sends requests for tokens and calls with and without a key until
// the returned function is called. Each answer must be whole or say its outcome,
// and each key must run at most once.
func (d *deployment) startLoad(workers int) (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	for w := range workers {
		wg.Go(func() {
			for n := 0; ctx.Err() == nil; n++ {
				d.loadOnce(w, n)
			}
		})
	}
	return func() {
		cancel()
		wg.Wait()
		for _, service := range d.cluster.Services {
			for key, runs := range service.Counts().ByKey {
				if runs > 1 {
					d.t.Errorf("key %s ran %d times", key, runs)
				}
			}
		}
	}
}

func (d *deployment) loadOnce(w, n int) {
	var a answer
	what := fmt.Sprintf("request %d of worker %d", n, w)
	router := (w + n) % len(d.routers)
	served := false
	switch n % 3 {
	case 0:
		a = d.chat(router, fmt.Sprintf("model-%d", n/3%3), what, 5)
		served = a.whole
	case 1:
		a = d.call(router, "", what)
		served = a.status == http.StatusOK
	default:
		a = d.call(router, fmt.Sprintf("%d-%d", w, n), what)
		served = a.status == http.StatusOK
	}
	if a.err != nil || (!served && a.outcome == "") {
		d.t.Errorf("%s: status %d, error %v, body %s", what, a.status, a.err, a.body)
	}
}

// The sidecar is killed in the middle of a load while the table is down: it
// gets no slots until the table is back, and then takes the load over.
func TestSidecarKilledWhileTheTableIsDown(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	d := deploy(t, deploymentOptions{routers: 1, engines: []standin.EngineKnobs{slowKnobs()}, set: testSet(1)})
	d.eventually("the slot is assigned", func() bool { return d.holder("model-0") >= 0 })
	first := make(chan answer, 1)
	go func() { first <- d.chat(0, "model-0", "two faults", 5) }()
	d.eventually("the load has begun", func() bool { return d.cluster.Census.Model("model-0").Loads == 1 })
	d.cluster.Table.Faults.Set(standin.Faults{Down: true})
	d.sidecars[0].kill()
	d.restartSidecar(0)
	time.Sleep(3 * time.Second)
	d.cluster.Table.Faults.Set(standin.Faults{})
	back := time.Now()
	d.eventually("the model answers", func() bool { return d.chat(0, "model-0", "again", 5).whole })
	t.Logf("a restarted sidecar served %s after the table was back", time.Since(back).Round(time.Millisecond))
	a := <-first
	is.True(a.err == nil && (a.whole || a.outcome != ""))
	is.Equal(d.cluster.Census.Model("model-0").Loads, 1)
	d.wantMemoryKept()
}

// The router that moves a slot is killed between the release and the next
// assignment, with answers of the table lost.
func TestRouterKilledWhileASlotMoves(t *testing.T) {
	t.Parallel()
	d := deploy(t, deploymentOptions{routers: 2, engines: []standin.EngineKnobs{slowKnobs(), slowKnobs()}, set: testSet(1)})
	wantWhole(t, d.chat(0, "model-0", "warm", 5), "model-0", "warm", 5)
	old := d.holder("model-0")
	wait := d.startStreams(5, 1, "model-0", 100) // hold the release up
	d.cluster.Table.Faults.Set(standin.Faults{LoseEvery: 3})
	d.cluster.Hosts.Leave(d.sidecarSettings[old].GetHost())
	d.eventually("the slot is releasing", func() bool { return d.holder("model-0") < 0 })
	d.routers[0].kill()
	for i, a := range wait() {
		wantWhole(t, a, "model-0", fmt.Sprintf("stream %d", i), 100)
	}
	moved := time.Now()
	d.eventually("the slot has moved", func() bool { h := d.holder("model-0"); return h >= 0 && h != old })
	t.Logf("the slot moved %s after the streams ended", time.Since(moved).Round(time.Millisecond))
	d.eventually("the model answers", func() bool { return d.chat(1, "model-0", "moved", 5).whole })
	d.wantMemoryKept()
}
