package standin_test

import (
	"context"
	"errors"
	"io"
	"strings"
	"testing"

	"github.com/matryer/is"
	"go.uber.org/goleak"

	"github.com/ragwortdoor/ragwortdoor/internal/external"
	"github.com/ragwortdoor/ragwortdoor/internal/standin"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

const (
	model      = "manifest-7b"
	checkpoint = "manifest-7b-v1"
	modelMiB   = 600
	engineMiB  = 1000
)

// startCluster runs a cluster with two engines and one service.
func startCluster(t *testing.T) *standin.Cluster {
	t.Helper()
	c, err := standin.Start(t.Context(), standin.ClusterOptions{
		Weights:     standin.WeightKnobs{LoadsPerSecond: 100, MiBPerSecond: 1 << 20},
		Checkpoints: []external.CheckpointInfo{{Checkpoint: checkpoint, SizeMiB: modelMiB}},
		Engines: []standin.EngineOptions{
			{Host: "engine-0", MemoryMiB: engineMiB},
			{Host: "engine-1", MemoryMiB: engineMiB},
		},
		Services: []standin.ServiceOptions{{Host: "app-0", Name: "giveaway-app"}},
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(c.Close)
	return c
}

func engineClient(t *testing.T, c *standin.Cluster, i int) external.Engine {
	t.Helper()
	engine := external.NewEngineClient(external.ClientOptions{BaseURL: c.EngineURLs[i]})
	closeIdle(t, engine)
	return engine
}

func closeIdle(t *testing.T, client any) {
	t.Cleanup(client.(interface{ CloseIdleConnections() }).CloseIdleConnections)
}

func loadOrder(id string) external.Order {
	return external.Order{
		ID:         id,
		Kind:       external.OrderLoad,
		Epoch:      1,
		Model:      model,
		Version:    "v1",
		Checkpoint: checkpoint,
		MemoryMiB:  modelMiB,
	}
}

// collect reads a stream to its end and returns the text of one request.
func collect(stream external.TokenStream, requestID string) (string, error) {
	defer func() { _ = stream.Close() }()
	var text strings.Builder
	for {
		event, err := stream.Next()
		if errors.Is(err, io.EOF) {
			return text.String(), nil
		}
		if err != nil {
			return text.String(), err
		}
		if event.RequestID == requestID && !event.Done {
			text.WriteString(event.Text)
		}
	}
}

func TestColdModelIsLoadedAndAnswersWhole(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	c := startCluster(t)
	engine := engineClient(t, c, 0)
	is.NoErr(engine.Do(ctx, loadOrder("order-1")))
	stream, err := engine.Generate(ctx, external.Generation{RequestID: "r1", Model: model, Prompt: "p", MaxTokens: 20})
	is.NoErr(err)
	text, err := collect(stream, "r1")
	is.NoErr(err)
	is.Equal(text, standin.Answer(model, "", "p", 20))
	is.Equal(c.Census.Model(model).Loads, 1)
}
