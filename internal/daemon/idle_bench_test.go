package daemon

import (
	"context"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/charmbracelet/log"

	apiv1 "github.com/ragwortdoor/ragwortdoor/api/ragwortdoor/v1"
	"github.com/ragwortdoor/ragwortdoor/internal/external"
	"github.com/ragwortdoor/ragwortdoor/internal/standin"
)

const (
	idleSettle = 8 * time.Second
	idleWindow = 20 * time.Second
	anyPort    = "127.0.0.1:0"
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

// BenchmarkIdleRouter measures a router process while no request runs, against
// the number of sidecars that it watches. The sidecars run in this process.
func BenchmarkIdleRouter(b *testing.B) {
	for _, sidecars := range []int{1, 200, 400} {
		b.Run(fmt.Sprintf("sidecars=%d", sidecars), func(b *testing.B) {
			d := deploy(b, deploymentOptions{routers: 1, set: testSet(maxTestModels)})
			runSidecars(b, d, sidecars)
			time.Sleep(idleSettle)
			for b.Loop() {
				measureIdle(b, d.routers[0], "router")
			}
		})
	}
}

// BenchmarkIdleSidecar measures a sidecar process against the number of routers
// that watch it.
func BenchmarkIdleSidecar(b *testing.B) {
	for _, routers := range []int{1, 14} {
		b.Run(fmt.Sprintf("routers=%d", routers), func(b *testing.B) {
			d := deploy(b, deploymentOptions{routers: routers, engines: []standin.EngineKnobs{testKnobs()}, set: testSet(maxTestModels)})
			time.Sleep(idleSettle)
			for b.Loop() {
				measureIdle(b, d.sidecars[0], "sidecar")
			}
		})
	}
}

func measureIdle(b *testing.B, p *process, name string) {
	b.Helper()
	before := usageOf(b, p)
	time.Sleep(idleWindow)
	after := usageOf(b, p)
	b.ReportMetric(100*(after.cpu-before.cpu).Seconds()/idleWindow.Seconds(), name+"-cpu-%")
	b.ReportMetric(float64(after.rss)/(1<<20), name+"-MiB")
}

// runSidecars runs n sidecars without an upstream until the benchmark ends.
func runSidecars(b *testing.B, d *deployment, n int) {
	b.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	b.Cleanup(func() {
		cancel()
		running.Wait()
	})
	for i := range n {
		cfg := &apiv1.SidecarSettings{Host: fmt.Sprintf("host-%03d", i), Listen: anyPort, OperatorListen: anyPort, StopTimeoutMs: 1000}
		s, err := NewSidecar(cfg, log.New(io.Discard))
		if err != nil {
			b.Fatal(err)
		}
		d.cluster.Hosts.Add(external.Host{ID: cfg.GetHost(), Role: external.RoleUpstream, Address: s.Address(), FailureDomain: "a"})
		running.Go(func() { _ = s.Run(ctx) })
	}
}
