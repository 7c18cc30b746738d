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

// fencingKnobs make an engine that refuses old fences.
func fencingKnobs() standin.EngineConfig {
	knobs := testKnobs()
	knobs.Fences = true
	return knobs
}

// book calls the plain service, which may not be repeated.
func (d *deployment) book(router int, body string) answer {
	response, err := d.client.Post(d.url(router)+"/services/"+testService+"/book", "application/json", bytes.NewBufferString(body))
	if err != nil {
		return answer{err: err}
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	return answer{status: response.StatusCode, outcome: response.Header.Get("Ragwortdoor-Outcome"), id: response.Header.Get("Ragwortdoor-Request-Id"), body: string(data), err: err}
}

// schedulerOf returns the index of the router that schedules.
func (d *deployment) schedulerOf() int {
	d.t.Helper()
	found := -1
	d.eventually("a router schedules", func() bool {
		for i := range d.routers {
			node, err := d.operator(i).Self(d.t.Context())
			if err == nil && node.Scheduler {
				found = i
				return true
			}
		}
		return false
	})
	return found
}

// Pattern: the scheduler is killed, then frozen past its lease; engines that
// check fences and engines that don't.
func TestAnotherRouterSchedulesAfterAKillOrAFreeze(t *testing.T) {
	for _, fences := range []bool{false, true} {
		t.Run(fmt.Sprintf("fences %v", fences), func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			knobs := testKnobs()
			knobs.Fences = fences
			d := deploy(t, deploymentOptions{routers: 3, engines: []standin.EngineConfig{knobs, knobs}, set: testSet(4), fences: fences})
			first := d.schedulerOf()
			d.routers[first].kill()
			other := (first + 1) % 3
			wantWhole(t, d.chat(other, "model-0", "after the kill", 5), "model-0", "after the kill", 5)
			d.restartRouter(first)
			d.waitReady(first)
			second := d.schedulerOf()
			d.routers[second].freeze()
			other = (second + 1) % 3
			wantWhole(t, d.chat(other, "model-1", "while it is frozen", 5), "model-1", "while it is frozen", 5)
			d.routers[second].thaw()
			wantWhole(t, d.chat(second, "model-2", "after it woke", 5), "model-2", "after it woke", 5)
			for i := range 3 {
				name := fmt.Sprintf("model-%d-v1", i)
				is.Equal(d.cluster.ReplicaStats.Model(name).PeakReplicas, 1) // no replica beyond the placement's
			}
			for _, engine := range d.cluster.Engines {
				is.Equal(engine.Counts().OvercommitAttempts, int64(0))
			}
		})
	}
}

// Pattern: an engine crashes with its models while streams run.
func TestStreamsGoOnAfterAnEngineCrash(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	d := deploy(t, deploymentOptions{routers: 1, engines: []standin.EngineConfig{testKnobs(), testKnobs()}, set: testSet(1)})
	wantWhole(t, d.chat(0, "model-0", "first", 5), "model-0", "first", 5)
	var answers [4]answer
	var wg sync.WaitGroup
	for i := range answers {
		wg.Go(func() { answers[i] = d.chat(0, "model-0", fmt.Sprintf("long %d", i), 200) })
	}
	d.eventually("the streams run", func() bool {
		running := 0
		for _, engine := range d.cluster.Engines {
			running += engine.Inventory().Running
		}
		return running == len(answers)
	})
	for _, engine := range d.cluster.Engines {
		engine.Restart()
	}
	wg.Wait()
	for i, a := range answers {
		wantWhole(t, a, "model-0", fmt.Sprintf("long %d", i), 200)
	}
	resumed := int64(0)
	for _, engine := range d.cluster.Engines {
		resumed += engine.Counts().Resumed
	}
	is.True(resumed >= 1) // went on after the last whole event
}

// Pattern: an engine cuts streams and answers with another request's id.
func TestCutAndCrossedAnswersEndWhole(t *testing.T) {
	t.Parallel()
	set := testSet(1)
	set.PriorityClasses[0].DefaultDeadlineMs = 5000 // a crossed answer is awaited until then
	d := deploy(t, deploymentOptions{routers: 1, engines: []standin.EngineConfig{testKnobs()}, set: set})
	wantWhole(t, d.chat(0, "model-0", "first", 5), "model-0", "first", 5)
	for _, change := range []func(*standin.EngineConfig){
		func(k *standin.EngineConfig) { k.AbortStreams, k.AbortAfterTokens = 1, 3 },
		func(k *standin.EngineConfig) { k.MismatchedResponses = 1 },
	} {
		knobs := testKnobs()
		change(&knobs)
		d.cluster.Engines[0].SetConfig(knobs)
		a := d.chat(0, "model-0", "cut", 10)
		if a.status == http.StatusOK && a.err == nil {
			wantWhole(t, a, "model-0", "cut", 10)
		} else if a.whole {
			t.Fatalf("a failed answer looks whole: %+v", a)
		}
	}
	wantWhole(t, d.chat(0, "model-0", "after", 5), "model-0", "after", 5)
}

// Pattern: calls that may not be repeated, whose service closes the connection
// before the run, or cuts the answer after it.
func TestCallRunsAtMostOnce(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	d := deploy(t, deploymentOptions{routers: 1, services: []standin.ServiceConfig{{FailBeforeRun: 1, TruncateBodies: 2}, {FailBeforeRun: 1, TruncateBodies: 2}}, set: testSet(1)})
	served, unknown := 0, 0
	for i := range 12 {
		a := d.book(0, fmt.Sprintf(`{"stack": %d}`, i))
		is.NoErr(a.err)
		runs := 0
		for _, service := range d.cluster.Services {
			runs += service.Counts().ByRequestID[a.id]
		}
		is.True(runs <= 1)
		switch {
		case a.status == http.StatusOK:
			is.Equal(runs, 1)
			served++
		case a.outcome == "unknown":
			unknown++
		default:
			is.Equal(a.outcome, "not-run")
			is.Equal(runs, 0)
		}
	}
	is.True(served >= 6)
	is.True(unknown >= 4) // the cut answers
}

// Pattern: a host leaves, and one is drained and taken back.
func TestLeavingAndDrainedHostsGetNoNewWork(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	d := deploy(t, deploymentOptions{routers: 2, services: []standin.ServiceConfig{{}, {}}, set: testSet(1)})
	runs := func(i int) int { return d.cluster.Services[i].Counts().Runs }
	_, err := d.operator(0).Drain(t.Context(), "service-0", "test", true)
	is.NoErr(err)
	d.settleList()
	before := runs(0)
	for i := range 10 {
		is.Equal(d.book(i%2, "{}").status, http.StatusOK)
	}
	is.Equal(runs(0), before)
	_, err = d.operator(1).Drain(t.Context(), "service-0", "test", false)
	is.NoErr(err)
	d.cluster.Hosts.Drain("service-1")
	d.settleList()
	before = runs(1)
	for i := range 10 {
		is.Equal(d.book(i%2, "{}").status, http.StatusOK)
	}
	is.Equal(runs(1), before)
}

// settleList waits until the routers have read the lists anew. Calls that went
// out before may still run.
func (d *deployment) settleList() { time.Sleep(2 * time.Second) }

// Pattern: a planned stop of the scheduler while streams run and wait.
func TestPlannedStopCutsNoRequest(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	d := deploy(t, deploymentOptions{routers: 2, engines: []standin.EngineConfig{fencingKnobs()}, set: testSet(2), fences: true})
	stopping := d.schedulerOf()
	wantWhole(t, d.chat(stopping, "model-0", "first", 5), "model-0", "first", 5)
	running := make(chan answer, 2)
	go func() { running <- d.chat(stopping, "model-0", "long", 300) }()
	go func() { running <- d.chat(1-stopping, "model-0", "long", 300) }()
	d.eventually("the streams run", func() bool { return d.cluster.Engines[0].Inventory().Running == 2 })
	is.Equal(d.routers[stopping].stop(), 0)
	for range 2 {
		wantWhole(t, <-running, "model-0", "long", 300)
	}
	wantWhole(t, d.chat(1-stopping, "model-1", "next", 5), "model-1", "next", 5)
}

// Pattern: SIGHUP with a good and with a wrong settings file.
func TestHangupEndsNothing(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	d := deploy(t, deploymentOptions{routers: 1, services: []standin.ServiceConfig{{RunMS: 300}}, set: testSet(1)})
	path := filepath.Join(d.dir, "router-0.json")
	good, err := os.ReadFile(path)
	is.NoErr(err)
	for _, file := range [][]byte{good, []byte(`{"bogus": 1}`), good} {
		is.NoErr(os.WriteFile(path, file, 0o600))
		running := make(chan answer, 1)
		go func() { running <- d.book(0, "{}") }()
		d.eventually("the call runs", func() bool { return d.cluster.Services[0].Counts().Running == 1 })
		d.routers[0].signal(syscall.SIGHUP)
		is.Equal((<-running).status, http.StatusOK)
	}
	log, err := os.ReadFile(filepath.Join(d.dir, "router-0.log"))
	is.NoErr(err)
	is.Equal(bytes.Count(log, []byte("msg=reload outcome=applied")), 2)
	is.Equal(bytes.Count(log, []byte("msg=reload outcome=kept")), 1)
}

// Pattern: idle models hold no accelerators, and a new version replaces the old
// one.
func TestIdleModelsAndOldVersionsAreUnloaded(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	set := testSet(1)
	set.Models[0].KeepAliveMs = 1000
	set.Deployment.ColdStartWeight, set.Deployment.IdleWeight = 1, 12 // 5 s for what is no longer published
	d := deploy(t, deploymentOptions{routers: 1, engines: []standin.EngineConfig{testKnobs()}, set: set})
	wantWhole(t, d.chat(0, "model-0", "first", 5), "model-0", "first", 5)
	d.eventually("the idle model is unloaded", func() bool { return len(d.cluster.Engines[0].Inventory().Models) == 0 })
	wantWhole(t, d.chat(0, "model-0", "again", 5), "model-0", "again", 5)
	set.Models[0].Version = "model-0-v2"
	set.Models[0].KeepAliveMs = 600_000
	set.Versions = append(set.Versions, &apiv1.Version{Name: "model-0-v2", Model: "model-0", Checkpoint: "checkpoints/next", MemoryMib: 400})
	d.waitInForce(d.publish(set).GetRevision())
	a := d.chat(0, "model-0", "new", 5)
	is.Equal(a.text, standin.Completion("model-0-v2", "", standin.Prompt("new"), 5))
	d.eventually("the old version is unloaded", func() bool {
		models := d.cluster.Engines[0].Inventory().Models
		return len(models) == 1 && models[0].Model == "model-0-v2"
	})
}

// Pattern: the table is away while models are cold.
func TestColdStartWhileTheTableIsDown(t *testing.T) {
	t.Parallel()
	d := deploy(t, deploymentOptions{routers: 2, engines: []standin.EngineConfig{fencingKnobs()}, set: testSet(2), fences: true})
	d.schedulerOf()
	wantWhole(t, d.chat(0, "model-0", "before", 5), "model-0", "before", 5)
	d.cluster.Table.Faults.Set(standin.Faults{Down: true})
	time.Sleep(testLeaseMs * time.Millisecond)
	wantWhole(t, d.chat(0, "model-1", "while it is down", 5), "model-1", "while it is down", 5)
	wantWhole(t, d.chat(1, "model-0", "through the other", 5), "model-0", "through the other", 5)
}

func TestWrongRequestsAreRefused(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	d := deploy(t, deploymentOptions{routers: 1, engines: []standin.EngineConfig{testKnobs()}, services: []standin.ServiceConfig{{}}, set: testSet(1)})
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
