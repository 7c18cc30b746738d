package standin_test

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/ragwortdoor/ragwortdoor/internal/external"
	"github.com/ragwortdoor/ragwortdoor/internal/standin"
)

func TestOvercommitCrashesTheEngineAndIsCounted(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	c := startCluster(t)
	client := engineClient(t, c, 0)
	is.NoErr(client.Do(ctx, loadOrder("o1")))
	boot := c.Engines[0].BootID()
	second := loadOrder("o2")
	second.Model = "other"
	is.True(client.Do(ctx, second) != nil)
	is.True(c.Engines[0].BootID() != boot)
	is.Equal(len(c.Engines[0].Inventory().Models), 0)
	counts := c.Engines[0].Counts()
	is.Equal(counts.OvercommitAttempts, int64(1))
	is.Equal(counts.PeakMemoryMiB, int64(modelMiB))
	is.Equal(c.Census.Model(model).Held, 0)
}

func TestCensusCountsReplicasOverEngines(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	c := startCluster(t)
	for i := range c.Engines {
		is.NoErr(engineClient(t, c, i).Do(ctx, loadOrder("o1")))
	}
	unload := loadOrder("o2")
	unload.Kind = external.OrderUnload
	is.NoErr(engineClient(t, c, 0).Do(ctx, unload))
	is.Equal(c.Census.Model(model), standin.ModelCensus{Loads: 2, Held: 1, PeakHeld: 2})
	c.Engines[1].Restart()
	is.Equal(c.Census.Model(model).Held, 0)
}

func TestConcurrentLoadsOfOneModelAreOneLoad(t *testing.T) {
	is := is.New(t)
	c := startCluster(t)
	client := engineClient(t, c, 0)
	var wg sync.WaitGroup
	for i := range 20 {
		wg.Go(func() {
			if err := client.Do(context.Background(), loadOrder(fmt.Sprintf("o%d", i))); err != nil {
				t.Error(err)
			}
		})
	}
	wg.Wait()
	is.Equal(c.Census.Model(model), standin.ModelCensus{Loads: 1, Held: 1, PeakHeld: 1})
	is.Equal(c.Weights.Counts().Loads, int64(1))
	is.Equal(c.Engines[0].Counts().Loads, map[string]int{model: 1})
}

func TestLoadTakesTheNearestTier(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	c := startCluster(t)
	client := engineClient(t, c, 0)
	is.NoErr(client.Do(ctx, loadOrder("o1")))
	unload := loadOrder("o2")
	unload.Kind = external.OrderUnload
	is.NoErr(client.Do(ctx, unload))
	is.Equal(c.Engines[0].Inventory().Cached, []external.CachedCheckpoint{{Checkpoint: checkpoint, Tier: external.TierMemory}})
	c.Weights.Faults.Set(standin.Faults{Down: true})
	is.NoErr(client.Do(ctx, loadOrder("o3")))
	c.Engines[0].Restart()
	err := client.Do(ctx, loadOrder("o4")) // no longer in memory
	is.Equal(external.KindOf(err), external.KindUnavailable)
	is.Equal(len(c.Engines[0].Inventory().Models), 0)
}

func TestWaitingStreamsJoinByPriority(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	c := startCluster(t)
	client := engineClient(t, c, 0)
	is.NoErr(client.Do(ctx, loadOrder("o1")))
	c.Engines[0].SetKnobs(standin.EngineKnobs{MaxBatch: 1, TokenMS: 60_000})
	streams := make(map[string]external.TokenStream)
	for priority, id := range []string{"first", "low", "high"} {
		stream, err := client.Generate(ctx, external.Generation{RequestID: id, Model: model, MaxTokens: 2, Priority: priority})
		is.NoErr(err)
		defer func() { _ = stream.Close() }()
		streams[id] = stream
	}
	load, err := client.Load(ctx)
	is.NoErr(err)
	is.Equal(load, external.EngineLoad{Running: 1, Waiting: 2})
	for _, id := range []string{"first", "high", "low"} {
		_, err := streams[id].Next()
		is.NoErr(err) // it would end with ctx if another were before it
		is.NoErr(client.Cancel(ctx, id))
	}
	c.Engines[0].SetKnobs(standin.EngineKnobs{LoadLagMS: 60_000})
	load, err = client.Load(ctx)
	is.NoErr(err)
	is.Equal(load, external.EngineLoad{}) // as it was a minute ago
}

func TestKnobsOverHTTP(t *testing.T) {
	is := is.New(t)
	c := startCluster(t)
	post := func(url, body string) int {
		resp, err := http.Post(url, "application/json", strings.NewReader(body))
		is.NoErr(err)
		is.NoErr(resp.Body.Close())
		return resp.StatusCode
	}
	t.Cleanup(http.DefaultClient.CloseIdleConnections)
	is.Equal(post(c.TableURL+"/admin/faults", `{"down":true,"lose_every":3}`), http.StatusOK)
	is.Equal(c.Table.Faults.Get(), standin.Faults{Down: true, LoseEvery: 3})
	is.Equal(post(c.EngineURLs[0]+"/admin/knobs", `{"token_ms":7}`), http.StatusOK)
	is.Equal(c.Engines[0].Knobs().TokenMS, 7)
	is.Equal(c.Engines[0].Knobs().MaxBatch, 32) // not named, so kept
	is.Equal(post(c.TableURL+"/admin/faults", `{"donw":true}`), http.StatusBadRequest)
	is.Equal(post(c.HostListURL+"/admin/hosts", `{"id":"h1"}`), http.StatusOK)
	is.Equal(c.Hosts.Listing().Hosts[0].State, external.HostLive)
}

func TestStartNamesTheTakenPort(t *testing.T) {
	is := is.New(t)
	c := startCluster(t)
	_, err := standin.Start(t.Context(), standin.ClusterOptions{TableAddress: strings.TrimPrefix(c.TableURL, "http://")})
	is.True(err != nil)
	is.True(strings.Contains(err.Error(), "another"))
}
