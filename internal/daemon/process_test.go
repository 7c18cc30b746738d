package daemon

import (
	"fmt"
	"sync"
	"testing"

	"github.com/matryer/is"

	apiv1 "github.com/ragwortdoor/ragwortdoor/api/ragwortdoor/v1"
	"github.com/ragwortdoor/ragwortdoor/internal/standin"
)

// testSet has n models of 400 MiB, of which two fit an engine, each with one
// replica, and a plain service.
func testSet(n int) *apiv1.ObjectSet {
	set := &apiv1.ObjectSet{
		Deployment:      &apiv1.Deployment{Name: "test", WeightStoreLoadsPerSecond: 50, WeightStoreParallelLoads: 4, AdapterParallelLoads: 30},
		PriorityClasses: []*apiv1.PriorityClass{{Name: "normal", Priority: 10, DefaultDeadlineMs: 60_000, AgeingMs: 1000}},
		Placements:      []*apiv1.Placement{{Name: "one", Pool: testPool, MaxReplicas: 1, EngineSlots: 256}},
		Services:        []*apiv1.Service{{Name: testService, Pool: testPool, DefaultDeadlineMs: 30_000}},
	}
	for i := range n {
		name := fmt.Sprintf("model-%d", i)
		set.Models = append(set.Models, &apiv1.Model{Name: name, Version: name + "-v1", Placement: "one", PriorityClass: "normal", MaxQueue: 1000, KeepAliveMs: 600_000})
		set.Versions = append(set.Versions, &apiv1.Version{Name: name + "-v1", Model: name, Checkpoint: "checkpoints/" + name, MemoryMib: 400})
	}
	return set
}

// testKnobs make an engine that is quick but not instant.
func testKnobs() standin.EngineConfig {
	return standin.EngineConfig{MemoryLoadMS: 100, DiskLoadMS: 200, UnloadMS: 20, AdapterLoadMS: 5, FirstTokenMS: 5, TokenMS: 2, MaxBatch: 256}
}

// wantWhole fails unless the answer is the whole answer to its own prompt. The
// engine's tokens depend on the model and the prompt, which holds the text as
// one message.
func wantWhole(t *testing.T, a answer, model, prompt string, tokens int) {
	t.Helper()
	if a.err != nil || a.status != 200 || !a.whole {
		t.Fatalf("answer to %q: status %d, whole %v, outcome %q, error %v, body %s", prompt, a.status, a.whole, a.outcome, a.err, a.body)
	}
	if want := standin.Completion(model+"-v1", "", standin.Prompt(prompt), tokens); a.text != want {
		t.Fatalf("answer to %q is %q, want %q", prompt, a.text, want)
	}
}

func TestColdModelStreamsWholeAnswer(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	d := deploy(t, deploymentOptions{routers: 1, engines: []standin.EngineConfig{testKnobs(), testKnobs()}, set: testSet(3)})
	for i := range 3 {
		model := fmt.Sprintf("model-%d", i)
		wantWhole(t, d.chat(0, model, "where is the wood", 12), model, "where is the wood", 12)
		is.Equal(d.cluster.ReplicaStats.Model(model+"-v1").Loads, 1)
	}
}

// 200 first requests for one cold model with one slot, over two routers.
func TestBurstOverTwoRoutersLoadsOnce(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	d := deploy(t, deploymentOptions{routers: 2, engines: []standin.EngineConfig{testKnobs(), testKnobs()}, set: testSet(1)})
	const burst = 200
	answers := make([]answer, burst)
	var wg sync.WaitGroup
	for i := range burst {
		wg.Go(func() { answers[i] = d.chat(i%2, "model-0", fmt.Sprintf("question %d", i), 5) })
	}
	wg.Wait()
	seen := map[string]bool{}
	for i, a := range answers {
		wantWhole(t, a, "model-0", fmt.Sprintf("question %d", i), 5)
		is.True(!seen[a.text]) // each prompt has its own answer
		seen[a.text] = true
	}
	is.Equal(d.cluster.ReplicaStats.Model("model-0-v1").Loads, 1)
	is.Equal(d.cluster.ReplicaStats.Model("model-0-v1").PeakReplicas, 1)
}
