package daemon

import (
	"testing"
	"time"

	"github.com/ragwortdoor/ragwortdoor/internal/standin"
)

// A router that wakes with old slots meets a sidecar that was restarted and so
// has forgotten its releases. The table and the host list can't be read at that
// moment, so the router can't learn that the slot has moved.
func TestRestartedSidecarGetsNoOldSlot(t *testing.T) {
	t.Parallel()
	d := deploy(t, deploymentOptions{routers: 2, engines: []standin.EngineKnobs{testKnobs(), testKnobs()}, set: testSet(1)})
	wantWhole(t, d.chat(0, "model-0", "warm", 5), "model-0", "warm", 5)
	wantWhole(t, d.chat(1, "model-0", "warm", 5), "model-0", "warm", 5)
	old := d.holder("model-0")
	d.routers[1].freeze()
	d.cluster.Hosts.Leave(d.sidecarSettings[old].GetHost())
	d.eventually("the slot has moved", func() bool { h := d.holder("model-0"); return h >= 0 && h != old })
	wantWhole(t, d.chat(0, "model-0", "moved", 5), "model-0", "moved", 5)
	d.routers[0].kill()
	d.sidecars[old].kill()
	d.restartSidecar(old)
	d.cluster.Table.Faults.Set(standin.Faults{Down: true})
	d.cluster.Hosts.Faults.Set(standin.Faults{Down: true})
	first := make(chan answer, 1)
	go func() { first <- d.chat(1, "model-0", "by an old slot", 5) }()
	d.routers[1].thaw()
	time.Sleep(2 * time.Second) // time for a wrong load
	d.wantMemoryKept()
	d.cluster.Table.Faults.Set(standin.Faults{})
	d.cluster.Hosts.Faults.Set(standin.Faults{})
	wantWhole(t, <-first, "model-0", "by an old slot", 5)
	d.wantMemoryKept()
}

// A leaving host whose sidecar is dead can't confirm the release: its engine
// still holds the model.
func TestSilentHostKeepsItsSlot(t *testing.T) {
	t.Parallel()
	d := deploy(t, deploymentOptions{routers: 1, engines: []standin.EngineKnobs{testKnobs(), testKnobs()}, set: testSet(1)})
	wantWhole(t, d.chat(0, "model-0", "warm", 5), "model-0", "warm", 5)
	old := d.holder("model-0")
	d.sidecars[old].kill()
	d.cluster.Hosts.Leave(d.sidecarSettings[old].GetHost())
	first := make(chan answer, 1)
	go func() { first <- d.chat(0, "model-0", "while the host is silent", 5) }()
	time.Sleep(3 * time.Second) // time for a wrong move
	d.wantMemoryKept()
	d.restartSidecar(old)
	wantWhole(t, <-first, "model-0", "while the host is silent", 5)
	d.wantMemoryKept()
}

// A sidecar that was paused drops its slots. It must get them again without a
// request, or an idle model would hold its accelerator for good.
func TestPausedSidecarGetsItsSlotsAgain(t *testing.T) {
	t.Parallel()
	set := testSet(1)
	set.Models[0].KeepAliveMs = 8000
	d := deploy(t, deploymentOptions{routers: 1, engines: []standin.EngineKnobs{testKnobs()}, set: set})
	wantWhole(t, d.chat(0, "model-0", "warm", 5), "model-0", "warm", 5)
	d.sidecars[0].freeze()
	time.Sleep(4 * time.Second) // longer than a pause that goes unnoticed
	d.sidecars[0].thaw()
	d.eventually("the idle model was unloaded", func() bool { return d.cluster.Census.Model("model-0").Held == 0 })
}
