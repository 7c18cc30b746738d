package daemon

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/charmbracelet/log"
	"google.golang.org/protobuf/encoding/protojson"

	"github.com/ragwortdoor/ragwortdoor/internal/keepalive"
	"github.com/ragwortdoor/ragwortdoor/internal/loadtest"
	"github.com/ragwortdoor/ragwortdoor/internal/permit"
	"github.com/ragwortdoor/ragwortdoor/internal/sample"
	"github.com/ragwortdoor/ragwortdoor/internal/standin"
)

// LoadTestOptions configure RunLoadTest.
type LoadTestOptions struct {
	Shapes []sample.Shape
	// Suite names the comparison, see Suites.
	Suite    string
	Seed     uint64
	Duration time.Duration
	// Rate is the mean number of chat requests a second.
	Rate float64
	// Runs is the number of runs of each policy, with consecutive seeds.
	Runs int
	// Only selects the trials whose scenario or policy contains it.
	Only string
	// Slowest is the number of requests of each run whose wait is printed: first
	// those without an answer, then the slowest.
	Slowest int
	Out     io.Writer
	Log     *log.Logger
}

// trial is one scenario under one policy.
type trial struct {
	scenario string
	policy   string
	policies Policies
	// slowStore lengthens the loads of the weight store.
	slowStore float64
	// killHost ends an engine host in the second burst.
	killHost bool
	// deadline replaces the deadlines of generations.
	deadline time.Duration
}

const (
	scenarioNormal    = "normal"
	scenarioSlowStore = "store at half speed"
	scenarioHostDies  = "host dies in the burst"
	scenarioShort     = "deadlines of 3 s"
	shortDeadline     = 3 * time.Second

	policyDefault  = "default"
	suiteScenarios = "scenarios"
	// suiteDay and suiteAdapters simulate one policy each, without processes.
	suiteDay      = "day"
	suiteAdapters = "adapters"

	// unlimitedLoads lets every sidecar load at once.
	unlimitedLoads = 10_000
	// neverOnChange is a change of requests in flight that no host reaches.
	neverOnChange = 1 << 20
	shortPeriod   = 100 * time.Millisecond
	longPeriod    = time.Second
)

// suites lists the comparisons by name.
func suites() map[string][]trial {
	fixed := func(keep time.Duration) Policies {
		return Policies{KeepAlive: func() keepalive.Policy { return keepalive.Fixed(keep) }}
	}
	return map[string][]trial{
		suiteScenarios: {
			{scenario: scenarioNormal, policy: policyDefault},
			{scenario: scenarioSlowStore, policy: policyDefault, slowStore: 2},
			{scenario: scenarioHostDies, policy: policyDefault, killHost: true},
			{scenario: scenarioShort, policy: policyDefault, deadline: shortDeadline},
		},
		"keepalive": {
			{scenario: scenarioNormal, policy: "learned", policies: learnedAfter(0)},
			{scenario: scenarioNormal, policy: "learned, break-even for 3 gaps", policies: learnedAfter(3)},
			{scenario: scenarioNormal, policy: "break-even", policies: Policies{KeepAlive: func() keepalive.Policy { return keepalive.BreakEven{} }}},
			{scenario: scenarioNormal, policy: "unload at once", policies: fixed(0)},
			{scenario: scenarioNormal, policy: "fixed 1 s", policies: fixed(time.Second)},
			{scenario: scenarioNormal, policy: "fixed 5 s", policies: fixed(5 * time.Second)},
			{scenario: scenarioNormal, policy: "fixed 30 s", policies: fixed(30 * time.Second)},
		},
		"permits": {
			{scenario: scenarioNormal, policy: "permits by class"},
			{scenario: scenarioNormal, policy: "every sidecar at once", policies: unlimited()},
			{scenario: scenarioSlowStore, policy: "permits by class", slowStore: 2},
			{scenario: scenarioSlowStore, policy: "every sidecar at once", policies: unlimited(), slowStore: 2},
		},
		"reports": {
			{scenario: scenarioNormal, policy: "on change of 2, 5 s"},
			{scenario: scenarioNormal, policy: "on change of 1, 5 s", policies: Policies{InFlightDelta: 1}},
			{scenario: scenarioNormal, policy: "each 100 ms", policies: Policies{InFlightDelta: neverOnChange, ReportPeriod: shortPeriod}},
			{scenario: scenarioNormal, policy: "each 1 s", policies: Policies{InFlightDelta: neverOnChange, ReportPeriod: longPeriod}},
		},
		"affinity": {
			{scenario: scenarioNormal, policy: "prefix affinity"},
			{scenario: scenarioNormal, policy: "two choices", policies: Policies{NoAffinity: true}},
		},
	}
}

func learnedAfter(gaps int) Policies {
	return Policies{KeepAlive: func() keepalive.Policy { return keepalive.NewLearnedAfter(gaps) }}
}

func suiteNames() string {
	names := append(slices.Collect(maps.Keys(suites())), suiteProbe, suiteDay, suiteAdapters)
	slices.Sort(names)
	return strings.Join(names, ", ")
}

func unlimited() Policies {
	return Policies{PermitLimits: &permit.Limits{Parallel: unlimitedLoads, PerSecond: unlimitedLoads}}
}

// RunLoadTest runs a suite and writes its tables.
func RunLoadTest(ctx context.Context, opts LoadTestOptions) error {
	switch opts.Suite {
	case suiteProbe:
		return runProbes(ctx, opts)
	case suiteDay:
		return simulate(opts, loadtest.WriteDays)
	case suiteAdapters:
		return simulate(opts, loadtest.WriteAdapters)
	}
	trials, ok := suites()[opts.Suite]
	if !ok {
		return &usageError{fmt.Errorf("no suite %q: choose one of %s", opts.Suite, suiteNames())}
	}
	for _, shape := range opts.Shapes {
		var results []*loadtest.Result
		for _, t := range trials {
			if !strings.Contains(t.scenario, opts.Only) && !strings.Contains(t.policy, opts.Only) {
				continue
			}
			for run := range opts.Runs {
				result, err := t.run(ctx, shape, opts, opts.Seed+uint64(run))
				if err != nil {
					return err
				}
				results = append(results, result)
			}
		}
		if _, err := fmt.Fprintf(opts.Out, "\n%s\n\n", shape.Name); err != nil {
			return err
		}
		if err := loadtest.WriteTable(opts.Out, loadtest.Medians(results)); err != nil {
			return err
		}
	}
	return nil
}

// simulate writes the table of a simulation for each deployment.
func simulate(opts LoadTestOptions, write func(io.Writer, sample.Shape, uint64) error) error {
	for _, shape := range opts.Shapes {
		if _, err := fmt.Fprintf(opts.Out, "\n%s\n\n", shape.Name); err != nil {
			return err
		}
		if err := write(opts.Out, shape, opts.Seed); err != nil {
			return err
		}
	}
	return nil
}

// run starts a deployment, sends it the load and stops it.
func (t trial) run(ctx context.Context, shape sample.Shape, opts LoadTestOptions, seed uint64) (*loadtest.Result, error) {
	bed, ctx, err := startTestbed(ctx, shape, t.policies, loadTestKnobs(), opts.Log)
	if bed != nil {
		defer bed.stop()
	}
	if err != nil {
		return nil, err
	}
	if t.slowStore > 0 {
		knobs := bed.cluster.Weights.Knobs()
		knobs.SlowFactor = t.slowStore
		bed.cluster.Weights.SetKnobs(knobs)
	}
	load := loadtest.Options{Shape: shape, Seed: seed, Duration: opts.Duration, Rate: opts.Rate, Deadline: t.deadline}
	if t.killHost {
		timer := time.AfterFunc(load.SecondBurst()+hostDeathDelay, func() { bed.killEngineHost(busiest(bed)) })
		defer timer.Stop()
	}
	limited, cancel := context.WithTimeout(ctx, opts.Duration+tailLimit)
	defer cancel()
	answers, result := bed.measure(limited, loadtest.Generate(load))
	bed.printSlowest(opts.Out, answers, opts.Slowest)
	result.Scenario, result.Policy = t.scenario, t.policy
	return result, context.Cause(ctx)
}

// tailLimit bounds the wait for answers after the last request was sent.
const tailLimit = 30 * time.Second

// hostDeathDelay lets the burst's first loads begin before a host dies.
const hostDeathDelay = 400 * time.Millisecond

// busiest is the engine with the most streams.
func busiest(bed *testbed) int {
	best, streams := 0, -1
	for i, engine := range bed.cluster.Engines {
		if n := engine.Use().Streams; n > streams {
			best, streams = i, n
		}
	}
	return best
}

// measure sends the load and waits for its end.
func (b *testbed) measure(ctx context.Context, load []loadtest.Request) ([]loadtest.Answer, *loadtest.Result) {
	sampling, stop := context.WithCancel(ctx)
	done := make(chan *sampler, 1)
	go func() { done <- b.sample(sampling) }()
	client := newLoadClient()
	defer client.CloseIdleConnections()
	runner := &loadtest.Runner{Routers: b.routerURLs(), HTTP: client}
	answers := runner.Run(ctx, load)
	stop()
	result := loadtest.NewResult(answers, b.cold)
	(<-done).fill(result)
	return answers, result
}

// printSlowest prints why the slowest requests waited.
func (b *testbed) printSlowest(out io.Writer, answers []loadtest.Answer, n int) {
	worst := slices.Clone(answers)
	slices.SortStableFunc(worst, func(x, y loadtest.Answer) int {
		if failed(x) != failed(y) {
			return cmp.Compare(failed(y), failed(x))
		}
		return cmp.Compare(y.Total, x.Total)
	})
	for _, a := range worst[:min(n, len(worst))] {
		_, _ = fmt.Fprintf(out, "%s %s at %v: %s %s after %v\n", a.Request.Kind, a.Request.Target, a.Request.At, a.Outcome, a.ErrorKind, a.Total)
		b.mu.Lock()
		record := b.records[a.RequestID]
		b.mu.Unlock()
		_, _ = fmt.Fprintln(out, protojson.Format(record))
	}
}

// failed is 1 for an answer that is neither whole nor a refusal.
func failed(a loadtest.Answer) int {
	if a.Outcome == loadtest.OutcomeServed || a.Outcome == loadtest.OutcomeNotRun {
		return 0
	}
	return 1
}

// loadTestKnobs are the same for all engines, so that hosts differ in nothing
// but what they hold.
func loadTestKnobs() standin.EngineKnobs {
	return devEngineKnobs(0)
}
