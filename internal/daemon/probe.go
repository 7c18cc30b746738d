package daemon

import (
	"context"
	"fmt"
	"io"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/ragwortdoor/ragwortdoor/internal/external"
	"github.com/ragwortdoor/ragwortdoor/internal/keepalive"
	"github.com/ragwortdoor/ragwortdoor/internal/loadtest"
	"github.com/ragwortdoor/ragwortdoor/internal/sample"
)

const (
	suiteProbe = "probe"

	probeStreams     = 30
	probeTokens      = 32
	probeColdRounds  = 2
	probeFirstBurst  = 200 // concurrent first requests
	probeColdTokens  = 4
	probeUnloadLimit = 5 * time.Second
	maxProbeMicros   = int64(time.Minute / time.Microsecond)
)

func newProbeHistogram() *hdrhistogram.Histogram { return hdrhistogram.New(1, maxProbeMicros, 3) }

// runProbes measures what the routers and sidecars add to the engines' time.
func runProbes(ctx context.Context, opts LoadTestOptions) error {
	for _, shape := range opts.Shapes {
		if err := probeShape(ctx, shape, opts); err != nil {
			return err
		}
	}
	return nil
}

func probeShape(ctx context.Context, shape sample.Shape, opts LoadTestOptions) error {
	knobs := loadTestKnobs()
	knobs.DiskLoadMS = knobs.MemoryLoadMS // one load time for all cached checkpoints
	policies := Policies{KeepAlive: func() keepalive.Policy { return keepalive.AtOnce }}
	bed, ctx, err := startTestbed(ctx, shape, policies, knobs, opts.Log)
	if bed != nil {
		defer bed.stop()
	}
	if err != nil {
		return err
	}
	client := newLoadClient()
	defer client.CloseIdleConnections()
	p := &probe{bed: bed, shape: shape, out: opts.Out, runner: &loadtest.Runner{Routers: bed.routerURLs(), HTTP: client}}
	p.printf("\n%s\n\n", shape.Name)
	p.firstBurst(ctx)
	p.coldStarts(ctx)
	p.warmStreams(ctx)
	return context.Cause(ctx)
}

type probe struct {
	bed    *testbed
	shape  sample.Shape
	out    io.Writer
	runner *loadtest.Runner
}

func (p *probe) printf(format string, args ...any) { _, _ = fmt.Fprintf(p.out, format, args...) }

func (p *probe) request(model, prompt string, tokens int) loadtest.Request {
	return loadtest.Request{Kind: loadtest.KindChat, Target: model, Class: "normal", Prompt: prompt, Tokens: tokens}
}

// firstBurst sends concurrent first requests for one model over all routers.
func (p *probe) firstBurst(ctx context.Context) {
	model := p.shape.ModelNames[0]
	var mu sync.Mutex
	served := 0
	var wg sync.WaitGroup
	for i := range probeFirstBurst {
		wg.Go(func() {
			router := p.runner.Routers[i%len(p.runner.Routers)]
			a := p.runner.Send(ctx, router, p.request(model, fmt.Sprintf("first %d", i), probeColdTokens))
			mu.Lock()
			defer mu.Unlock()
			if a.Outcome == loadtest.OutcomeServed {
				served++
			}
		})
	}
	wg.Wait()
	p.printf("- %d concurrent first requests over %d routers: served %d, loads %d\n",
		probeFirstBurst, len(p.runner.Routers), served, p.bed.cluster.Census.Model(model).Loads)
}

// coldStarts loads each model that has a cached checkpoint, one at a time.
func (p *probe) coldStarts(ctx context.Context) {
	knobs := p.bed.cluster.Engines[0].Knobs()
	own := time.Duration(knobs.MemoryLoadMS+knobs.FirstTokenMS) * time.Millisecond
	beyond := newProbeHistogram()
	for round := range probeColdRounds {
		for i, m := range p.shape.Set().GetModels() {
			if round == 0 && i%3 == 0 {
				continue // only in the weight store; cached from now on
			}
			p.awaitUnloaded(ctx)
			router := p.runner.Routers[i%len(p.runner.Routers)]
			a := p.runner.Send(ctx, router, p.request(m.GetName(), fmt.Sprintf("cold %d %d", round, i), probeColdTokens))
			if a.Outcome == loadtest.OutcomeServed && p.bed.cold(a.RequestID) && !p.fromStore(a.RequestID) {
				_ = beyond.RecordValue(max(1, (a.FirstToken - own).Microseconds()))
			}
		}
	}
	p.printf("- first token of a cold start beyond the engine's own %v, ms: %s\n", own, quantilesMs(beyond))
}

// fromStore reports whether a request waited for the weight store.
func (p *probe) fromStore(requestID string) bool {
	p.bed.mu.Lock()
	defer p.bed.mu.Unlock()
	for _, phase := range p.bed.records[requestID].GetPhases() {
		if strings.Contains(phase.GetCause(), "remote") {
			return true
		}
	}
	return false
}

func (p *probe) awaitUnloaded(ctx context.Context) {
	deadline := time.Now().Add(probeUnloadLimit)
	for ctx.Err() == nil && time.Now().Before(deadline) {
		held := 0
		for _, census := range p.bed.cluster.Census.Models() {
			held += census.Held
		}
		if held == 0 {
			return
		}
		time.Sleep(settlePoll)
	}
}

// warmStreams compares streams through a router with streams from the same
// engine, in turn.
func (p *probe) warmStreams(ctx context.Context) {
	model := p.shape.ModelNames[0]
	engine, index := p.keepWarm(ctx, model)
	defer engine.(interface{ CloseIdleConnections() }).CloseIdleConnections()
	p.compareStreams(ctx, engine, model, "tokens each 20 ms")
	knobs := p.bed.cluster.Engines[index].Knobs()
	knobs.TokenMS = 0
	knobs.FirstTokenMS, knobs.CachedFirstTokenMS = 0, 0
	p.bed.cluster.Engines[index].SetKnobs(knobs)
	p.compareStreams(ctx, engine, model, "engine without delays")
}

// keepWarm holds a model loaded by a long stream and finds its engine.
func (p *probe) keepWarm(ctx context.Context, model string) (external.Engine, int) {
	go p.runner.Send(ctx, p.runner.Routers[0], p.request(model, "hold", 2000))
	for ctx.Err() == nil {
		time.Sleep(settlePoll)
		for i, e := range p.bed.cluster.Engines {
			if e.Use().Streams > 0 {
				return external.NewEngineClient(external.ClientOptions{BaseURL: p.bed.cluster.EngineURLs[i]}), i
			}
		}
	}
	return external.NewEngineClient(external.ClientOptions{BaseURL: p.bed.cluster.EngineURLs[0]}), 0
}

func (p *probe) compareStreams(ctx context.Context, engine external.Engine, model, label string) {
	first := [2]*hdrhistogram.Histogram{newProbeHistogram(), newProbeHistogram()}
	gap := [2]*hdrhistogram.Histogram{newProbeHistogram(), newProbeHistogram()}
	record := func(way int, firstToken, total time.Duration) {
		_ = first[way].RecordValue(firstToken.Microseconds())
		_ = gap[way].RecordValue((total - firstToken).Microseconds() / (probeTokens - 1))
	}
	for i := range probeStreams {
		a := p.runner.Send(ctx, p.runner.Routers[0], p.request(model, "warm", probeTokens))
		if a.Outcome == loadtest.OutcomeServed {
			record(1, a.FirstToken, a.Total)
		}
		firstToken, total, err := direct(ctx, engine, external.Generation{
			RequestID: fmt.Sprintf("direct-%s-%d", label, i), Model: model, Prompt: "user: warm", MaxTokens: probeTokens,
		})
		if err == nil {
			record(0, firstToken, total)
		}
	}
	p.printf("- warm stream, %s: first token ms direct %s, through the router %s, ratio of p50 %.3f\n",
		label, quantilesMs(first[0]), quantilesMs(first[1]), ratio(first))
	p.printf("- warm stream, %s: per token ms direct %s, through the router %s, ratio of p50 %.3f\n",
		label, quantilesMs(gap[0]), quantilesMs(gap[1]), ratio(gap))
}

// direct reads one stream from an engine.
func direct(ctx context.Context, engine external.Engine, gen external.Generation) (first, total time.Duration, err error) {
	start := time.Now()
	stream, err := engine.Generate(ctx, gen)
	if err != nil {
		return 0, 0, err
	}
	defer func() { _ = stream.Close() }()
	for {
		event, err := stream.Next()
		if err != nil {
			return first, total, err
		}
		if first == 0 {
			first = time.Since(start)
		}
		if event.Done {
			return first, time.Since(start), nil
		}
	}
}

func ratio(h [2]*hdrhistogram.Histogram) float64 {
	base := h[0].ValueAtQuantile(50)
	if base == 0 {
		return 0
	}
	return float64(h[1].ValueAtQuantile(50)) / float64(base)
}

// quantilesMs formats p50/p99 in milliseconds and the count.
func quantilesMs(h *hdrhistogram.Histogram) string {
	ms := func(q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1000 }
	return fmt.Sprintf("p50 %.2f p99 %.2f (%d)", ms(50), ms(99), h.TotalCount())
}
