package daemon

import (
	"fmt"
	"sync"
	"testing"

	"github.com/ragwortdoor/ragwortdoor/internal/standin"
)

// BenchmarkStreamCPU measures the processor time that a router and a sidecar
// spend on a token and on a request of warm streams.
func BenchmarkStreamCPU(b *testing.B) {
	const streams = 64
	for _, tokens := range []int{1, 400} {
		b.Run(fmt.Sprintf("tokens=%d", tokens), func(b *testing.B) {
			knobs := testKnobs()
			knobs.TokenMS = 10
			set := testSet(1)
			set.GetPlacements()[0].TargetInFlight = streams // none waits in the router's queue
			d := deploy(b, deploymentOptions{routers: 1, engines: []standin.EngineKnobs{knobs}, set: set})
			d.chat(0, "model-0", "warm", 1)
			requests := 0
			router, sidecar := usageOf(b, d.routers[0]), usageOf(b, d.sidecars[0])
			for b.Loop() {
				var wg sync.WaitGroup
				for i := range streams {
					wg.Go(func() {
						if a := d.chat(0, "model-0", fmt.Sprint(i), tokens); !a.whole {
							b.Error(a)
						}
					})
				}
				wg.Wait()
				requests += streams
			}
			perRequest := func(before, after usage) float64 {
				return float64((after.cpu - before.cpu).Microseconds()) / float64(requests)
			}
			b.ReportMetric(perRequest(router, usageOf(b, d.routers[0])), "router-us/request")
			b.ReportMetric(perRequest(sidecar, usageOf(b, d.sidecars[0])), "sidecar-us/request")
		})
	}
}
