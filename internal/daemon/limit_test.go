package daemon

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/ragwortdoor/ragwortdoor/internal/standin"
)

// Guards against requests above the limits that upstreams name, summed over router processes,
// while the one that schedules is killed.
func TestLimitsHoldOverRouterProcesses(t *testing.T) {
	t.Parallel()
	const (
		routers   = 4
		perSecond = 60 // requests, for limits of 6 a second together
		length    = 14 * time.Second
		grace     = 3 * time.Second
		window    = 4 * time.Second
		interval  = 50 * time.Millisecond
	)
	set := testSet(1)
	set.Services[0].DefaultDeadlineMs = 1000
	set.PriorityClasses[0].DefaultDeadlineMs = 1000
	engine := testEngineConfig()
	engine.LimitPerSecond, engine.Fences = 1, true
	d := deploy(t, deploymentOptions{
		routers: routers, set: set, fences: true,
		engines: []standin.EngineConfig{engine}, services: []standin.ServiceConfig{{LimitPerSecond: 1}, {LimitPerSecond: 4}},
	})
	d.eventually("the model is loaded", func() bool { return d.chat(0, "model-0", "load it", 1).status == http.StatusOK })
	upstreams := []struct {
		name      string
		perSecond float64
		arrived   func() int
	}{
		{"service-0", 1, func() int { return d.cluster.Services[0].Counts().Runs }},
		{"service-1", 4, func() int { return d.cluster.Services[1].Counts().Runs }},
		{"engine-0", 1, func() int { return int(d.cluster.Engines[0].Counts().Generations) }},
	}
	counts := make([][]int, len(upstreams)) // each interval
	killed := false
	scheduler := d.waitScheduler()
	for n, began := 0, time.Now(); time.Since(began) < length; n++ {
		if !killed && time.Since(began) > length/2 {
			killed = true
			d.routers[scheduler].kill()
		}
		router := n % routers
		if !killed || router != scheduler {
			go d.callService(router, fmt.Sprint(n))
			go d.chat(router, "model-0", fmt.Sprint("question ", n), 1)
		}
		if n%(perSecond*int(interval)/int(time.Second)) == 0 {
			for i, u := range upstreams {
				counts[i] = append(counts[i], u.arrived())
			}
		}
		time.Sleep(time.Second / perSecond)
	}
	for i, u := range upstreams {
		from, span := int(grace/interval), int(window/interval)
		for at := from; at+span < len(counts[i]); at++ {
			if n, allowed := counts[i][at+span]-counts[i][at], 1.5*u.perSecond*window.Seconds()+5; float64(n) > allowed {
				t.Errorf("%s got %d requests in %v, allowed %g", u.name, n, window, allowed)
				break
			}
		}
		settled := counts[i][len(counts[i])/2] - counts[i][from]
		if due := 0.75*u.perSecond*(length/2-grace).Seconds() - 1; float64(settled) < due {
			t.Errorf("%s got %d requests before the kill, due are %.1f", u.name, settled, due)
		}
	}
}
