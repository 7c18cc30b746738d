package daemon

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	apiv1 "github.com/ragwortdoor/ragwortdoor/api/ragwortdoor/v1"
	"github.com/ragwortdoor/ragwortdoor/internal/standin"
)

// fencingEngineConfig configures an engine that refuses outdated fencing tokens.
func fencingEngineConfig() standin.EngineConfig {
	cfg := testEngineConfig()
	cfg.Fences = true
	return cfg
}

// callService sends a call that may not be repeated to the plain service.
func (d *deployment) callService(router int, body string) callResult {
	response, err := d.client.Post(d.url(router)+"/services/"+testService+"/book", "application/json", bytes.NewBufferString(body))
	if err != nil {
		return callResult{err: err}
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	return callResult{status: response.StatusCode, outcome: response.Header.Get("Ragwortdoor-Outcome"), id: response.Header.Get("Ragwortdoor-Request-Id"), body: string(data), err: err}
}

// waitScheduler waits until a router is the scheduler and returns its index.
func (d *deployment) waitScheduler() int {
	d.t.Helper()
	scheduler := -1
	d.eventually("a router schedules", func() bool {
		for i := range d.routers {
			node, err := d.operatorClient(i).Self(d.t.Context())
			if err == nil && node.Scheduler {
				scheduler = i
				return true
			}
		}
		return false
	})
	return scheduler
}

// Guards against a second replica and lost requests on fail-over of the scheduler: it is
// killed, then suspended beyond its lease, with engines that check fencing tokens and
// engines that don't.
func TestSchedulerFailoverAfterKillAndSuspension(t *testing.T) {
	for _, fences := range []bool{false, true} {
		t.Run(fmt.Sprintf("fences %v", fences), func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			cfg := testEngineConfig()
			cfg.Fences = fences
			d := deploy(t, deploymentOptions{routers: 3, engines: []standin.EngineConfig{cfg, cfg}, set: testSet(4), fences: fences})
			first := d.waitScheduler()
			d.routers[first].kill()
			other := (first + 1) % 3
			wantComplete(t, d.chat(other, "model-0", "after the kill", 5), "model-0", "after the kill", 5)
			d.restartRouter(first)
			d.waitReady(first)
			second := d.waitScheduler()
			d.routers[second].suspend()
			other = (second + 1) % 3
			wantComplete(t, d.chat(other, "model-1", "while it is suspended", 5), "model-1", "while it is suspended", 5)
			d.routers[second].resume()
			wantComplete(t, d.chat(second, "model-2", "after it was resumed", 5), "model-2", "after it was resumed", 5)
			for i := range 3 {
				name := fmt.Sprintf("model-%d-v1", i)
				is.Equal(d.cluster.ReplicaStats.Model(name).PeakReplicas, 1) // never more replicas than the placement allows
			}
			for _, engine := range d.cluster.Engines {
				is.Equal(engine.Counts().OvercommitAttempts, int64(0))
			}
		})
	}
}

// Guards against truncated streams when the engines crash and lose their models while
// streams run.
func TestStreamsResumeAfterEngineCrash(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	d := deploy(t, deploymentOptions{routers: 1, engines: []standin.EngineConfig{testEngineConfig(), testEngineConfig()}, set: testSet(1)})
	wantComplete(t, d.chat(0, "model-0", "first", 5), "model-0", "first", 5)
	var results [4]callResult
	var wg sync.WaitGroup
	for i := range results {
		wg.Go(func() { results[i] = d.chat(0, "model-0", fmt.Sprintf("long %d", i), 200) })
	}
	d.eventually("the streams run, and have begun", func() bool {
		running, tokens := 0, int64(0)
		for _, engine := range d.cluster.Engines {
			running += engine.Inventory().Running
			tokens += engine.Counts().Tokens
		}
		return running == len(results) && tokens > 20*int64(len(results))
	})
	for _, engine := range d.cluster.Engines {
		engine.Restart()
	}
	wg.Wait()
	for i, r := range results {
		wantComplete(t, r, "model-0", fmt.Sprintf("long %d", i), 200)
	}
	resumed := int64(0)
	for _, engine := range d.cluster.Engines {
		resumed += engine.Counts().Resumed
	}
	is.True(resumed >= 1) // continued after the last complete event
}

// Guards against incomplete responses that look complete: an engine truncates a stream,
// then responds with the id of another request.
func TestTruncatedAndMismatchedResponses(t *testing.T) {
	t.Parallel()
	set := testSet(1)
	set.PriorityClasses[0].DefaultDeadlineMs = 5000 // the router waits for the matching response until then
	d := deploy(t, deploymentOptions{routers: 1, engines: []standin.EngineConfig{testEngineConfig()}, set: set})
	wantComplete(t, d.chat(0, "model-0", "first", 5), "model-0", "first", 5)
	for _, change := range []func(*standin.EngineConfig){
		func(k *standin.EngineConfig) { k.AbortStreams, k.AbortAfterTokens = 1, 3 },
		func(k *standin.EngineConfig) { k.MismatchedResponses = 1 },
	} {
		cfg := testEngineConfig()
		change(&cfg)
		d.cluster.Engines[0].SetConfig(cfg)
		r := d.chat(0, "model-0", "cut", 10)
		if r.status == http.StatusOK && r.err == nil {
			wantComplete(t, r, "model-0", "cut", 10)
		} else if r.complete {
			t.Fatalf("failed response looks complete: %+v", r)
		}
	}
	wantComplete(t, d.chat(0, "model-0", "after", 5), "model-0", "after", 5)
}

// Guards against a second run of a call that may not be repeated: the service closes the
// connection before it runs the call, or truncates the response afterwards.
func TestCallRunsAtMostOnce(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	d := deploy(t, deploymentOptions{routers: 1, services: []standin.ServiceConfig{{FailBeforeRun: 1, TruncateBodies: 2}, {FailBeforeRun: 1, TruncateBodies: 2}}, set: testSet(1)})
	served, unknown := 0, 0
	for i := range 12 {
		r := d.callService(0, fmt.Sprintf(`{"stack": %d}`, i))
		is.NoErr(r.err)
		runs := 0
		for _, service := range d.cluster.Services {
			runs += service.Counts().ByRequestID[r.id]
		}
		is.True(runs <= 1)
		switch {
		case r.status == http.StatusOK:
			is.Equal(runs, 1)
			served++
		case r.outcome == "unknown":
			unknown++
		default:
			is.Equal(r.outcome, "not-run")
			is.Equal(runs, 0)
		}
	}
	is.True(served >= 6)
	is.True(unknown >= 4) // the truncated responses
}

// Guards against new calls to draining hosts: an operator drains a host and takes the
// drain back, then the host list marks another host as draining.
func TestDrainingHostsGetNoNewCalls(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	d := deploy(t, deploymentOptions{routers: 2, services: []standin.ServiceConfig{{}, {}}, set: testSet(1)})
	runs := func(i int) int { return d.cluster.Services[i].Counts().Runs }
	_, err := d.operatorClient(0).Drain(t.Context(), "service-0", "test", true)
	is.NoErr(err)
	d.waitListsRead()
	before := runs(0)
	for i := range 10 {
		is.Equal(d.callService(i%2, "{}").status, http.StatusOK)
	}
	is.Equal(runs(0), before)
	_, err = d.operatorClient(1).Drain(t.Context(), "service-0", "test", false)
	is.NoErr(err)
	d.cluster.Hosts.Drain("service-1")
	d.waitListsRead()
	before = runs(1)
	for i := range 10 {
		is.Equal(d.callService(i%2, "{}").status, http.StatusOK)
	}
	is.Equal(runs(1), before)
}

// The host list still calls the host live: only its responses say that it leaves, or that
// it wants a pause. Each router learns it from its own.
func TestHostsAreHeededBeforeTheListShowsIt(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	d := deploy(t, deploymentOptions{routers: 1, services: []standin.ServiceConfig{{Draining: true}, {}, {PauseMS: 60_000}}, set: testSet(1)})
	counts := func(i int) standin.ServiceCounts { return d.cluster.Services[i].Counts() }
	d.eventually("both are heeded", func() bool {
		d.callService(0, "{}")
		return counts(0).Runs > 0 && counts(2).Refused > 0
	})
	runs, refused := counts(0).Runs, counts(2).Refused
	for range 30 {
		is.Equal(d.callService(0, "{}").status, http.StatusOK)
		time.Sleep(50 * time.Millisecond) // the host list is read meanwhile
	}
	is.Equal(counts(0).Runs, runs)
	is.Equal(counts(2).Refused, refused)
}

// waitListsRead waits until the routers have read the host list and the drains again.
// Calls sent earlier may still run.
func (d *deployment) waitListsRead() { time.Sleep(2 * time.Second) }

// Guards against requests aborted by a planned stop of the scheduler while streams run
// through it and through another router.
func TestPlannedStopAbortsNoRequest(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	d := deploy(t, deploymentOptions{routers: 2, engines: []standin.EngineConfig{fencingEngineConfig()}, set: testSet(2), fences: true})
	stopping := d.waitScheduler()
	wantComplete(t, d.chat(stopping, "model-0", "first", 5), "model-0", "first", 5)
	running := make(chan callResult, 2)
	go func() { running <- d.chat(stopping, "model-0", "long", 300) }()
	go func() { running <- d.chat(1-stopping, "model-0", "long", 300) }()
	d.eventually("the streams run", func() bool { return d.cluster.Engines[0].Inventory().Running == 2 })
	is.Equal(d.routers[stopping].stop(), 0)
	for range 2 {
		wantComplete(t, <-running, "model-0", "long", 300)
	}
	wantComplete(t, d.chat(1-stopping, "model-1", "next", 5), "model-1", "next", 5)
}

// Guards against requests aborted by SIGHUP, with a valid and with an invalid settings
// file.
func TestReloadAbortsNoRequest(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	d := deploy(t, deploymentOptions{routers: 1, services: []standin.ServiceConfig{{RunMS: 300}}, set: testSet(1)})
	path := filepath.Join(d.dir, "router-0.json")
	valid, err := os.ReadFile(path)
	is.NoErr(err)
	for _, file := range [][]byte{valid, []byte(`{"bogus": 1}`), valid} {
		is.NoErr(os.WriteFile(path, file, 0o600))
		running := make(chan callResult, 1)
		go func() { running <- d.callService(0, "{}") }()
		d.eventually("the call runs", func() bool { return d.cluster.Services[0].Counts().Running == 1 })
		d.routers[0].signal(syscall.SIGHUP)
		is.Equal((<-running).status, http.StatusOK)
	}
	log, err := os.ReadFile(filepath.Join(d.dir, "router-0.log"))
	is.NoErr(err)
	is.Equal(bytes.Count(log, []byte("msg=reload outcome=applied")), 2)
	is.Equal(bytes.Count(log, []byte("msg=reload outcome=kept")), 1)
}

// Guards against models that keep accelerator memory while idle, and against old
// versions that stay loaded after a new one was published.
func TestIdleModelsAndOldVersionsAreUnloaded(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	set := testSet(1)
	set.Models[0].KeepAliveMs = 1000
	set.Deployment.ColdStartWeight, set.Deployment.IdleWeight = 1, 12 // keeps a version that is no longer published for 5 s
	d := deploy(t, deploymentOptions{routers: 1, engines: []standin.EngineConfig{testEngineConfig()}, set: set})
	wantComplete(t, d.chat(0, "model-0", "first", 5), "model-0", "first", 5)
	d.eventually("the idle model is unloaded", func() bool { return len(d.cluster.Engines[0].Inventory().Models) == 0 })
	wantComplete(t, d.chat(0, "model-0", "again", 5), "model-0", "again", 5)
	set.Models[0].Version = "model-0-v2"
	set.Models[0].KeepAliveMs = 600_000
	set.Versions = append(set.Versions, &apiv1.Version{Name: "model-0-v2", Model: "model-0", Checkpoint: "checkpoints/next", MemoryMib: 400})
	d.waitInForce(d.publish(set).GetRevision())
	r := d.chat(0, "model-0", "new", 5)
	is.Equal(r.text, standin.Completion("model-0-v2", "", standin.Prompt("new"), 5))
	d.eventually("the old version is unloaded", func() bool {
		models := d.cluster.Engines[0].Inventory().Models
		return len(models) == 1 && models[0].Model == "model-0-v2"
	})
}

// Guards against cold starts that fail while the table is down beyond the lease time.
func TestColdStartWhileTheTableIsDown(t *testing.T) {
	t.Parallel()
	d := deploy(t, deploymentOptions{routers: 2, engines: []standin.EngineConfig{fencingEngineConfig()}, set: testSet(2), fences: true})
	d.waitScheduler()
	wantComplete(t, d.chat(0, "model-0", "before", 5), "model-0", "before", 5)
	d.cluster.Table.Faults.Set(standin.Faults{Down: true})
	time.Sleep(testLeaseTTLMs * time.Millisecond)
	wantComplete(t, d.chat(0, "model-1", "while it is down", 5), "model-1", "while it is down", 5)
	wantComplete(t, d.chat(1, "model-0", "through the other", 5), "model-0", "through the other", 5)
}

func TestInvalidRequestsAreRefused(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	d := deploy(t, deploymentOptions{routers: 1, engines: []standin.EngineConfig{testEngineConfig()}, services: []standin.ServiceConfig{{}}, set: testSet(1)})
	for _, tc := range []struct {
		method, path, body string
		status             int
		kind               string
	}{
		{"POST", "/v1/chat/completions", `{"model": "birch"}`, 404, "unknown_model"},
		{"POST", "/v1/chat/completions", `{"model": "model-0:none"}`, 404, "unknown_model"},
		{"POST", "/v1/chat/completions", `{`, 400, "bad_request"},
		{"GET", "/v1/chat/completions", ``, 405, "method_not_allowed"},
		{"POST", "/services/none/x", ``, 404, "unknown_service"},
		{"GET", "/elsewhere", ``, 404, "unknown_path"},
		{"POST", "/services/bookings/x", string(make([]byte, 2<<20)), 413, "body_too_large"},
		{"POST", "/v1/chat/completions", `{"model": "` + string(make([]byte, 2<<20)), 413, "body_too_large"},
	} {
		request, err := http.NewRequest(tc.method, d.url(0)+tc.path, bytes.NewBufferString(tc.body))
		is.NoErr(err)
		response, err := d.client.Do(request)
		is.NoErr(err)
		var body struct {
			Error struct{ Kind, Outcome string }
		}
		is.NoErr(json.NewDecoder(response.Body).Decode(&body))
		is.NoErr(response.Body.Close())
		is.Equal(response.StatusCode, tc.status)
		is.Equal(body.Error.Kind, tc.kind)
		is.Equal(body.Error.Outcome, "not-run")
		is.Equal(response.Header.Get("Ragwortdoor-Outcome"), "not-run")
	}
	models, err := d.client.Get(d.url(0) + "/v1/models")
	is.NoErr(err)
	data, err := io.ReadAll(models.Body)
	is.NoErr(err)
	is.NoErr(models.Body.Close())
	is.True(bytes.Contains(data, []byte(`"model-0"`)))
}
