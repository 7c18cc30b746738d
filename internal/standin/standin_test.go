package standin_test

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/goleak"

	"github.com/ragwortdoor/ragwortdoor/internal/external"
	"github.com/ragwortdoor/ragwortdoor/internal/standin"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

const (
	model    = "manifest-7b"
	modelMiB = 600
)

type engineFixture struct {
	t       *testing.T
	cluster *standin.Cluster
	client  *http.Client
}

func newEngineFixture(t *testing.T, cfg standin.EngineConfig) *engineFixture {
	t.Helper()
	cluster, err := standin.Start(t.Context(), standin.ClusterOptions{
		Weights: standin.WeightStoreConfig{LoadsPerSecond: 100, MiBPerSecond: 1 << 20},
		Engines: []standin.EngineOptions{{Host: "engine-0", MemoryMiB: 1000, Config: cfg}},
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(cluster.Close)
	client := &http.Client{Transport: &http.Transport{}}
	t.Cleanup(client.CloseIdleConnections)
	return &engineFixture{t: t, cluster: cluster, client: client}
}

// post returns the status and the body; a truncated response has status 0.
func (f *engineFixture) post(path string, header http.Header, body any) (int, string) {
	f.t.Helper()
	encoded, err := json.Marshal(body)
	if err != nil {
		f.t.Fatal(err)
	}
	req, err := http.NewRequest(http.MethodPost, f.cluster.EngineURLs[0]+path, bytes.NewReader(encoded))
	if err != nil {
		f.t.Fatal(err)
	}
	if header != nil {
		req.Header = header
	}
	resp, err := f.client.Do(req)
	if err != nil {
		return 0, err.Error()
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, string(data)
	}
	return resp.StatusCode, string(data)
}

func (f *engineFixture) order(order external.Order) int {
	f.t.Helper()
	status, _ := f.post(external.PathOrders, nil, order)
	return status
}

// waitIdle waits until the engine executes no order and returns its inventory.
func (f *engineFixture) waitIdle() external.Inventory {
	f.t.Helper()
	for {
		if inventory := f.cluster.Engines[0].Inventory(); !inventory.Busy && len(inventory.LoadingAdapters) == 0 {
			return inventory
		}
		time.Sleep(time.Millisecond)
	}
}

func orderCount(n int64) *int64 { return &n }

func TestOrdersAreCountedFencedAndIdempotent(t *testing.T) {
	is := is.New(t)
	f := newEngineFixture(t, standin.EngineConfig{Fences: true, UnloadMS: 1})
	load := external.Order{Model: model, MemoryMiB: modelMiB, Fence: 7, ExpectedOrders: orderCount(0)}
	is.Equal(f.order(load), http.StatusAccepted)
	is.Equal(f.waitIdle().Models[0].Model, model)
	is.Equal(f.order(load), http.StatusOK) // a duplicate changes nothing
	old := load
	old.Fence = 6
	is.Equal(f.order(old), http.StatusPreconditionFailed)
	unload := external.Order{Model: model, Unload: true, Fence: 7, ExpectedOrders: orderCount(0)}
	is.Equal(f.order(unload), http.StatusConflict) // one order was accepted since
	unload.ExpectedOrders = orderCount(1)
	is.Equal(f.order(unload), http.StatusAccepted)
	inventory := f.waitIdle()
	is.Equal(len(inventory.Models), 0)
	is.Equal(inventory.Orders, int64(2))
	is.Equal(inventory.OnDisk, []string{model})
	is.Equal(f.order(external.Order{Model: model, Adapter: "a", Fence: 7}), http.StatusBadRequest)
}

func TestOvercommitCrashesTheEngine(t *testing.T) {
	is := is.New(t)
	f := newEngineFixture(t, standin.EngineConfig{})
	is.Equal(f.order(external.Order{Model: model, MemoryMiB: modelMiB}), http.StatusAccepted)
	before := f.waitIdle()
	is.Equal(f.order(external.Order{Model: "other", MemoryMiB: modelMiB}), http.StatusInsufficientStorage)
	after := f.waitIdle()
	is.Equal(len(after.Models), 0)
	is.True(after.StartedUnixMs > before.StartedUnixMs)
	is.Equal(f.cluster.Engines[0].Counts().OvercommitAttempts, int64(1))
	is.Equal(f.cluster.ReplicaStats.Model(model).Replicas, 0)
}

func TestResponsesAreCompleteResumedOrRefused(t *testing.T) {
	is := is.New(t)
	f := newEngineFixture(t, standin.EngineConfig{AbortStreams: 1, AbortAfterTokens: 2})
	is.Equal(f.order(external.Order{Model: model, MemoryMiB: modelMiB}), http.StatusAccepted)
	f.waitIdle()
	body := map[string]any{"model": model, "stream": true, "max_tokens": 3, "messages": []map[string]string{{"role": "user", "content": "p"}}}
	status, text := f.post(external.PathChat, nil, body)
	is.Equal(status, 0) // aborted after two tokens
	is.Equal(strings.Count(text, "data: "), 2)
	status, text = f.post(external.PathChat, http.Header{external.HeaderLastEvent: {"1"}}, body)
	is.Equal(status, http.StatusOK)
	is.True(strings.Contains(text, standin.Token(model, "", standin.Prompt("p"), 2)))
	is.True(strings.HasSuffix(text, "data: [DONE]\n\n"))
	body["stream"] = false
	_, text = f.post(external.PathChat, nil, body)
	is.True(strings.Contains(text, standin.Completion(model, "", standin.Prompt("p"), 3)))
	status, _ = f.post(external.PathChat, http.Header{external.HeaderModel: {"none"}}, body)
	is.Equal(status, http.StatusMisdirectedRequest)
	status, _ = f.post(external.PathChat, http.Header{external.HeaderUpstream: {"engine-9"}}, body)
	is.Equal(status, http.StatusMisdirectedRequest)
}
