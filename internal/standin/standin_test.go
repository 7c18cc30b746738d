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

type engineBed struct {
	t       *testing.T
	cluster *standin.Cluster
	client  *http.Client
}

func newEngineBed(t *testing.T, knobs standin.EngineConfig) *engineBed {
	t.Helper()
	cluster, err := standin.Start(t.Context(), standin.ClusterOptions{
		Weights: standin.WeightStoreConfig{LoadsPerSecond: 100, MiBPerSecond: 1 << 20},
		Engines: []standin.EngineOptions{{Host: "engine-0", MemoryMiB: 1000, Config: knobs}},
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(cluster.Close)
	client := &http.Client{Transport: &http.Transport{}}
	t.Cleanup(client.CloseIdleConnections)
	return &engineBed{t: t, cluster: cluster, client: client}
}

// post returns the status and the body; a cut answer has status 0.
func (b *engineBed) post(path string, header http.Header, body any) (int, string) {
	b.t.Helper()
	encoded, err := json.Marshal(body)
	if err != nil {
		b.t.Fatal(err)
	}
	req, err := http.NewRequest(http.MethodPost, b.cluster.EngineURLs[0]+path, bytes.NewReader(encoded))
	if err != nil {
		b.t.Fatal(err)
	}
	if header != nil {
		req.Header = header
	}
	resp, err := b.client.Do(req)
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

func (b *engineBed) order(order external.Order) int {
	b.t.Helper()
	status, _ := b.post(external.PathOrders, nil, order)
	return status
}

// settle waits until the engine is idle.
func (b *engineBed) settle() external.Inventory {
	b.t.Helper()
	for {
		if inventory := b.cluster.Engines[0].Inventory(); !inventory.Busy && len(inventory.LoadingAdapters) == 0 {
			return inventory
		}
		time.Sleep(time.Millisecond)
	}
}

func count(n int64) *int64 { return &n }

func TestOrdersAreCountedFencedAndAnsweredByState(t *testing.T) {
	is := is.New(t)
	b := newEngineBed(t, standin.EngineConfig{Fences: true, UnloadMS: 1})
	load := external.Order{Model: model, MemoryMiB: modelMiB, Fence: 7, ExpectedOrders: count(0)}
	is.Equal(b.order(load), http.StatusAccepted)
	is.Equal(b.settle().Models[0].Model, model)
	is.Equal(b.order(load), http.StatusOK) // a late copy changes nothing
	old := load
	old.Fence = 6
	is.Equal(b.order(old), http.StatusPreconditionFailed)
	unload := external.Order{Model: model, Unload: true, Fence: 7, ExpectedOrders: count(0)}
	is.Equal(b.order(unload), http.StatusConflict) // one order was accepted since
	unload.ExpectedOrders = count(1)
	is.Equal(b.order(unload), http.StatusAccepted)
	inventory := b.settle()
	is.Equal(len(inventory.Models), 0)
	is.Equal(inventory.Orders, int64(2))
	is.Equal(inventory.OnDisk, []string{model})
	is.Equal(b.order(external.Order{Model: model, Adapter: "a", Fence: 7}), http.StatusBadRequest)
}

func TestOvercommitCrashesTheEngine(t *testing.T) {
	is := is.New(t)
	b := newEngineBed(t, standin.EngineConfig{})
	is.Equal(b.order(external.Order{Model: model, MemoryMiB: modelMiB}), http.StatusAccepted)
	before := b.settle()
	is.Equal(b.order(external.Order{Model: "other", MemoryMiB: modelMiB}), http.StatusInsufficientStorage)
	after := b.settle()
	is.Equal(len(after.Models), 0)
	is.True(after.StartedUnixMs > before.StartedUnixMs)
	is.Equal(b.cluster.Engines[0].Counts().OvercommitAttempts, int64(1))
	is.Equal(b.cluster.ReplicaStats.Model(model).Replicas, 0)
}

func TestAnswersAreWholeResumedOrRefused(t *testing.T) {
	is := is.New(t)
	b := newEngineBed(t, standin.EngineConfig{AbortStreams: 1, AbortAfterTokens: 2})
	is.Equal(b.order(external.Order{Model: model, MemoryMiB: modelMiB}), http.StatusAccepted)
	b.settle()
	body := map[string]any{"model": model, "stream": true, "max_tokens": 3, "messages": []map[string]string{{"role": "user", "content": "p"}}}
	status, text := b.post(external.PathChat, nil, body)
	is.Equal(status, 0) // cut after two tokens
	is.Equal(strings.Count(text, "data: "), 2)
	status, text = b.post(external.PathChat, http.Header{external.HeaderLastEvent: {"1"}}, body)
	is.Equal(status, http.StatusOK)
	is.True(strings.Contains(text, standin.Token(model, "", standin.Prompt("p"), 2)))
	is.True(strings.HasSuffix(text, "data: [DONE]\n\n"))
	body["stream"] = false
	_, text = b.post(external.PathChat, nil, body)
	is.True(strings.Contains(text, standin.Completion(model, "", standin.Prompt("p"), 3)))
	status, _ = b.post(external.PathChat, http.Header{external.HeaderModel: {"none"}}, body)
	is.Equal(status, http.StatusMisdirectedRequest)
	status, _ = b.post(external.PathChat, http.Header{external.HeaderUpstream: {"engine-9"}}, body)
	is.Equal(status, http.StatusMisdirectedRequest)
}
