package daemon

import (
	"fmt"
	"sync"
	"testing"

	"github.com/matryer/is"

	apiv1 "github.com/ragwortdoor/ragwortdoor/api/ragwortdoor/v1"
	"github.com/ragwortdoor/ragwortdoor/internal/standin"
)

// testSet returns an object set with n models and a plain service. A model takes 400
// MiB, so that two fit in an engine, and has at most one replica.
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

// testEngineConfig configures an engine with short, non-zero delays.
func testEngineConfig() standin.EngineConfig {
	return standin.EngineConfig{MemoryLoadMS: 100, DiskLoadMS: 200, UnloadMS: 20, AdapterLoadMS: 5, FirstTokenMS: 5, TokenMS: 2, MaxBatch: 256}
}

// wantComplete fails unless got is the complete response to its own prompt. The tokens
// of a stand-in engine are a function of the model and of the prompt, which has the
// text as its only message.
func wantComplete(t *testing.T, got callResult, model, prompt string, tokens int) {
	t.Helper()
	if got.err != nil || got.status != 200 || !got.complete {
		t.Fatalf("response to %q: status %d, complete %v, outcome %q, error %v, body %s", prompt, got.status, got.complete, got.outcome, got.err, got.body)
	}
	if want := standin.Completion(model+"-v1", "", standin.Prompt(prompt), tokens); got.text != want {
		t.Fatalf("response to %q is %q, want %q", prompt, got.text, want)
	}
}

func TestColdModelStreamsCompleteResponse(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	d := deploy(t, deploymentOptions{routers: 1, engines: []standin.EngineConfig{testEngineConfig(), testEngineConfig()}, set: testSet(3)})
	for i := range 3 {
		model := fmt.Sprintf("model-%d", i)
		wantComplete(t, d.chat(0, model, "where is the wood", 12), model, "where is the wood", 12)
		is.Equal(d.cluster.ReplicaStats.Model(model+"-v1").Loads, 1)
	}
}

// Guards against double loads: two routers get 200 first requests for a cold model that
// may have one replica.
func TestBurstOverTwoRoutersLoadsOnce(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	d := deploy(t, deploymentOptions{routers: 2, engines: []standin.EngineConfig{testEngineConfig(), testEngineConfig()}, set: testSet(1)})
	const burst = 200
	results := make([]callResult, burst)
	var wg sync.WaitGroup
	for i := range burst {
		wg.Go(func() { results[i] = d.chat(i%2, "model-0", fmt.Sprintf("question %d", i), 5) })
	}
	wg.Wait()
	seen := map[string]bool{}
	for i, r := range results {
		wantComplete(t, r, "model-0", fmt.Sprintf("question %d", i), 5)
		is.True(!seen[r.text]) // each prompt has its own response
		seen[r.text] = true
	}
	is.Equal(d.cluster.ReplicaStats.Model("model-0-v1").Loads, 1)
	is.Equal(d.cluster.ReplicaStats.Model("model-0-v1").PeakReplicas, 1)
}
