package daemon

import (
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/ragwortdoor/ragwortdoor/internal/standin"
)

const (
	idleSettle = 8 * time.Second
	idleWindow = 20 * time.Second
)

// usage is what a process has used so far.
type usage struct {
	cpu time.Duration
	rss int64 // bytes
}

// usageOf reads /proc: the processor time of all threads, in nanoseconds, and
// the resident pages.
func usageOf(b *testing.B, p *process) usage {
	b.Helper()
	proc := fmt.Sprintf("/proc/%d", p.cmd.Process.Pid)
	threads, err := filepath.Glob(proc + "/task/*/schedstat")
	if err != nil || len(threads) == 0 {
		b.Fatalf("no threads in %s: %v", proc, err)
	}
	var u usage
	for _, path := range threads {
		u.cpu += time.Duration(procField(b, path, 0))
	}
	u.rss = procField(b, proc+"/statm", 1) * int64(os.Getpagesize())
	return u
}

func procField(b *testing.B, path string, field int) int64 {
	b.Helper()
	data, err := os.ReadFile(path)
	if err != nil {
		b.Fatal(err)
	}
	n, err := strconv.ParseInt(strings.Fields(string(data))[field], 10, 64)
	if err != nil {
		b.Fatal(err)
	}
	return n
}

// BenchmarkIdleControl measures the processor time and memory of a router and
// of a sidecar while no request runs, against the number of sidecars.
func BenchmarkIdleControl(b *testing.B) {
	for _, sidecars := range []int{4, 48} {
		b.Run(fmt.Sprintf("sidecars=%d", sidecars), func(b *testing.B) {
			engines := make([]standin.EngineKnobs, sidecars)
			for i := range engines {
				engines[i] = testKnobs()
			}
			d := deploy(b, deploymentOptions{routers: 1, engines: engines, set: testSet(maxTestModels)})
			time.Sleep(idleSettle)
			for b.Loop() {
				router, sidecar := usageOf(b, d.routers[0]), usageOf(b, d.sidecars[0])
				time.Sleep(idleWindow)
				routerAfter, sidecarAfter := usageOf(b, d.routers[0]), usageOf(b, d.sidecars[0])
				report := func(before, after usage, name string) {
					b.ReportMetric(100*(after.cpu-before.cpu).Seconds()/idleWindow.Seconds(), name+"-cpu-%")
					b.ReportMetric(float64(after.rss)/(1<<20), name+"-MiB")
				}
				report(router, routerAfter, "router")
				report(sidecar, sidecarAfter, "sidecar")
			}
		})
	}
}
