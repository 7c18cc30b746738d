package external_test

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/ragwortdoor/ragwortdoor/internal/external"
	"github.com/ragwortdoor/ragwortdoor/internal/standin"
)

const (
	model      = "manifest-7b"
	checkpoint = "manifest-7b-v1"
	modelMiB   = 600
)

func order(id string, kind external.OrderKind, epoch uint64) external.Order {
	return external.Order{ID: id, Kind: kind, Epoch: epoch, Model: model, Version: "v1", Checkpoint: checkpoint, MemoryMiB: modelMiB}
}

func startEngine(t *testing.T, knobs standin.EngineKnobs) (*standin.Engine, external.Engine) {
	t.Helper()
	c := startCluster(t, standin.ClusterOptions{
		Weights:     standin.WeightKnobs{LoadsPerSecond: 100, MiBPerSecond: 1 << 20},
		Checkpoints: []external.CheckpointInfo{{Checkpoint: checkpoint, SizeMiB: modelMiB}},
		Engines:     []standin.EngineOptions{{Host: "e0", MemoryMiB: 1000, Knobs: knobs}},
	})
	options := external.ClientOptions{BaseURL: c.EngineURLs[0], CallTimeout: 300 * time.Millisecond}
	return c.Engines[0], closeIdle(t, external.NewEngineClient(options))
}

func TestEngineOrders(t *testing.T) {
	load := order("o1", external.OrderLoad, 5)
	second := load
	second.Model, second.ID = "other", "o2"
	for _, tc := range []struct {
		name    string
		knobs   standin.EngineKnobs
		faults  standin.Faults
		before  []external.Order
		order   external.Order
		kind    external.Kind // 0 expects success
		unknown bool
		models  int // held afterwards
	}{
		{name: "load", order: load, models: 1},
		{name: "load twice under one id", before: []external.Order{load}, order: load, models: 1},
		{name: "load slower than the call timeout", knobs: standin.EngineKnobs{MemoryLoadMS: 600}, order: load, models: 1},
		{name: "answer lost", faults: standin.Faults{LoseAnswers: 1}, order: load, kind: external.KindUnavailable, unknown: true, models: 1},
		{name: "closed without an answer", faults: standin.Faults{Down: true}, order: load, kind: external.KindUnavailable, unknown: true},
		{name: "refused", faults: standin.Faults{Refuse: true}, order: load, kind: external.KindOverloaded},
		{name: "old epoch, checked", knobs: standin.EngineKnobs{Fences: true}, before: []external.Order{load}, order: order("o2", external.OrderUnload, 4), kind: external.KindFenced, models: 1},
		{name: "old epoch, ignored", before: []external.Order{load}, order: order("o2", external.OrderUnload, 4)},
		{name: "no memory", knobs: standin.EngineKnobs{OvercommitRefused: true}, before: []external.Order{load}, order: second, kind: external.KindNoMemory, models: 1},
		{name: "overcommitted", before: []external.Order{load}, order: second, kind: external.KindUnavailable, unknown: true},
		{name: "unload of nothing", order: order("o1", external.OrderUnload, 5), kind: external.KindNotFound},
		{name: "adapter of nothing", order: order("o1", external.OrderLoadAdapter, 5), kind: external.KindNotFound},
		{name: "no such order", order: order("o1", "dance", 5), kind: external.KindInvalid},
	} {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			ctx := context.Background()
			engine, client := startEngine(t, tc.knobs)
			for _, o := range tc.before {
				is.NoErr(client.Do(ctx, o))
			}
			engine.Faults.Set(tc.faults)
			err := client.Do(ctx, tc.order)
			is.Equal(err == nil, tc.kind == 0)
			if err != nil {
				is.Equal(external.KindOf(err), tc.kind)
				is.True(hasRemedy(err))
			}
			is.Equal(external.OutcomeUnknown(err), tc.unknown)
			engine.Faults.Set(standin.Faults{})
			inventory, err := client.Inventory(ctx)
			is.NoErr(err)
			is.Equal(len(inventory.Models), tc.models)
		})
	}
}

// read returns the text of a request's own events, and the others' ids.
func read(stream external.TokenStream, requestID string) (text string, others []string, err error) {
	defer func() { _ = stream.Close() }()
	var b strings.Builder
	for {
		event, err := stream.Next()
		switch {
		case errors.Is(err, io.EOF):
			return b.String(), others, nil
		case err != nil:
			return b.String(), others, err
		case event.RequestID != requestID:
			others = append(others, event.RequestID)
		default:
			b.WriteString(event.Text)
		}
	}
}

func TestEngineStreams(t *testing.T) {
	const tokens = 12
	whole := standin.Answer(model, "", "p", tokens)
	half := standin.Answer(model, "", "p", 5)
	for _, tc := range []struct {
		name   string
		knobs  standin.EngineKnobs
		gen    external.Generation
		text   string
		others int
		cut    bool
	}{
		{name: "whole", text: whole},
		{name: "from an offset", gen: external.Generation{Offset: 5}, text: strings.TrimPrefix(whole, half)},
		{name: "from the end", gen: external.Generation{Offset: tokens}},
		{name: "cut", knobs: standin.EngineKnobs{CutStreams: 1, CutAfterTokens: 5}, text: half, cut: true},
		{name: "cut before the first token", knobs: standin.EngineKnobs{CutStreams: 1}, cut: true},
		{name: "event of another request", knobs: standin.EngineKnobs{StrayEvents: 1}, text: whole, others: 1},
		{name: "answer of another request", knobs: standin.EngineKnobs{CrossedStreams: 1}, others: tokens + 1},
	} {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			ctx := context.Background()
			engine, client := startEngine(t, tc.knobs)
			is.NoErr(client.Do(ctx, order("o1", external.OrderLoad, 1)))
			tc.gen.RequestID, tc.gen.Model, tc.gen.Prompt, tc.gen.MaxTokens = "r1", model, "p", tokens
			stream, err := client.Generate(ctx, tc.gen)
			is.NoErr(err)
			text, others, err := read(stream, "r1")
			is.Equal(text, tc.text)
			is.Equal(len(others), tc.others)
			is.Equal(err != nil, tc.cut)
			_, again := stream.Next()
			is.True(again != nil) // the end is final
			if !tc.cut {
				return
			}
			is.True(hasRemedy(err))
			is.True(!errors.Is(err, io.EOF))
			tc.gen.Offset = len(text) / len(standin.Token(model, "", "p", 0))
			stream, err = client.Generate(ctx, tc.gen)
			is.NoErr(err)
			rest, _, err := read(stream, "r1")
			is.NoErr(err)
			is.Equal(text+rest, whole)
			is.Equal(engine.Counts().Resumed, int64(1))
		})
	}
}

func TestEngineStreamEndsWithAnUnloadOrRestart(t *testing.T) {
	for _, tc := range []struct {
		name string
		end  func(external.Engine, *standin.Engine) error
	}{
		{"unload", func(client external.Engine, _ *standin.Engine) error {
			return client.Do(context.Background(), order("o2", external.OrderUnload, 1))
		}},
		{"restart", func(_ external.Engine, engine *standin.Engine) error {
			engine.Restart()
			return nil
		}},
		{"cancel", func(client external.Engine, _ *standin.Engine) error {
			return client.Cancel(context.Background(), "r1")
		}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			ctx := context.Background()
			engine, client := startEngine(t, standin.EngineKnobs{TokenMS: 20})
			is.NoErr(client.Do(ctx, order("o1", external.OrderLoad, 1)))
			boot := engine.BootID()
			stream, err := client.Generate(ctx, external.Generation{RequestID: "r1", Model: model, MaxTokens: 10_000})
			is.NoErr(err)
			_, err = stream.Next()
			is.NoErr(err)
			is.NoErr(tc.end(client, engine))
			_, _, err = read(stream, "r1")
			is.Equal(external.KindOf(err), external.KindUnavailable)
			is.True(hasRemedy(err))
			inventory, err := client.Inventory(ctx)
			is.NoErr(err)
			is.Equal(inventory.BootID != boot, tc.name == "restart")
			is.Equal(len(inventory.Models) == 1, tc.name == "cancel")
		})
	}
}

func TestEngineCancelOfUnknownRequest(t *testing.T) {
	is := is.New(t)
	_, client := startEngine(t, standin.EngineKnobs{})
	is.NoErr(client.Cancel(context.Background(), "no-such-request"))
	_, err := client.Generate(context.Background(), external.Generation{RequestID: "r1", Model: model})
	is.Equal(external.KindOf(err), external.KindNotFound)
	is.Equal(external.OutcomeUnknown(err), false)
}

func TestEngineCacheEventsComeWithGapsAndLate(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	engine, client := startEngine(t, standin.EngineKnobs{EventGapEvery: 2, PrefixCache: 2})
	is.NoErr(client.Do(ctx, order("o1", external.OrderLoad, 1)))
	for _, prompt := range []string{"a", "b", "c"} {
		stream, err := client.Generate(ctx, external.Generation{RequestID: prompt, Model: model, Prompt: prompt, MaxTokens: 1})
		is.NoErr(err)
		_, _, err = read(stream, prompt)
		is.NoErr(err)
	}
	// Stored a, stored b (lost), stored c, evicted a (lost).
	events, err := client.CacheEvents(ctx, 0)
	is.NoErr(err)
	is.Equal(len(events), 2)
	is.Equal(events[1], external.CacheEvent{Sequence: 3, Model: model, PrefixHash: standin.PrefixHash(model, "c"), Stored: true})
	events, err = client.CacheEvents(ctx, 3)
	is.NoErr(err)
	is.Equal(len(events), 0)
	engine.SetKnobs(standin.EngineKnobs{EventLagMS: 60_000})
	events, err = client.CacheEvents(ctx, 0)
	is.NoErr(err)
	is.Equal(len(events), 0)
}

func TestEngineStreamsReuseTheirConnection(t *testing.T) {
	is := is.New(t)
	var conns atomic.Int64
	answer := func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, `{"request_id":"r1","done":true}`)
	}
	server := httptest.NewUnstartedServer(http.HandlerFunc(answer))
	server.Config.ConnState = func(_ net.Conn, state http.ConnState) {
		if state == http.StateNew {
			conns.Add(1)
		}
	}
	server.Start()
	defer server.Close()
	client := closeIdle(t, external.NewEngineClient(external.ClientOptions{BaseURL: server.URL}))
	for range 5 {
		stream, err := client.Generate(context.Background(), external.Generation{RequestID: "r1"})
		is.NoErr(err)
		_, _, err = read(stream, "r1")
		is.NoErr(err)
	}
	is.Equal(conns.Load(), int64(1))
}
