package daemon

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/ragwortdoor/ragwortdoor/internal/standin"
)

// Processes rebuild all they need after a restart, each alone and all at once.
// What the engine holds is taken over, not loaded again.
func TestRestartedProcessesRebuildTheirState(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	d := deploy(t, deploymentOptions{routers: 2, engines: []standin.EngineKnobs{testKnobs()}, set: testSet(1)})
	wantWhole(t, d.chat(0, "model-0", "warm", 5), "model-0", "warm", 5)

	timed := func(what string, restart func(), back func() bool) {
		restart()
		began := time.Now()
		d.eventually(what, back)
		t.Logf("%s: %s after the restart", what, time.Since(began).Round(time.Millisecond))
	}
	answers := func() bool { return d.chat(0, "model-0", "again", 5).whole }

	timed("sidecar serves the model that its engine holds", func() {
		d.sidecars[0].kill()
		d.restartSidecar(0)
	}, answers)
	timed("router serves", func() {
		d.routers[0].kill()
		d.restartRouter(0)
	}, answers)
	timed("one of two restarted routers decides", func() {
		for i := range d.routers {
			d.routers[i].kill()
			d.restartRouter(i)
		}
		d.publish(testSet(2))
	}, func() bool { return d.holder("model-1") >= 0 })
	timed("all processes serve", func() {
		for i := range d.routers {
			d.routers[i].kill()
		}
		d.sidecars[0].kill()
		d.restartSidecar(0)
		for i := range d.routers {
			d.restartRouter(i)
		}
	}, answers)
	is.Equal(d.cluster.Census.Model("model-0").Loads, 1)
	d.wantMemoryKept()
}
