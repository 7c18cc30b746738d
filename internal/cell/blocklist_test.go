package cell

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	apiv1 "github.com/ragwortdoor/ragwortdoor/api/ragwortdoor/v1"
	"github.com/ragwortdoor/ragwortdoor/internal/blocklist"
	"github.com/ragwortdoor/ragwortdoor/internal/external"
	"github.com/ragwortdoor/ragwortdoor/internal/tabletest"
)

// blocklistRouter is a router's copy of the blocked prompts with its store.
type blocklistRouter struct {
	*BlocklistStore
	list      *blocklist.List
	fence     int64
	linked    bool
	era       int64
	simulated time.Time
}

func newBlocklistRouter(table *tabletest.Table, fence int64) *blocklistRouter {
	r := &blocklistRouter{list: &blocklist.List{}, fence: fence, linked: fence != 0, simulated: time.Now()}
	r.BlocklistStore = NewBlocklistStore(BlocklistStoreOptions{
		Table: table, List: r.list, Fence: func() int64 { return r.fence }, HasActiveScheduler: func() bool { return r.linked },
		StoreEra: func() int64 { return r.era }, OnRead: r.list.Merge, OnFailed: func(string, error) {},
	})
	return r
}

// run lets time pass in which the store is read and written.
func (r *blocklistRouter) run() {
	for range 60 {
		r.simulated = r.simulated.Add(blocklistTickInterval)
		r.step(context.Background(), r.simulated)
	}
}

func (r *blocklistRouter) add(part string) {
	r.list.Merge(map[string][]blocklist.Entry{"s": {{Parts: []string{part}, Since: time.UnixMilli(1), Crashes: 3}}})
}

func (r *blocklistRouter) has(parts ...string) bool {
	_, ok := r.list.Match("s", parts)
	return ok
}

// All routers are killed at once: what was blocked must be known to those that start.
func TestBlocklistOutlastsAllRouters(t *testing.T) {
	for name, fault := range map[string]tabletest.Fault{"calm": tabletest.None, "the answer to a write is lost": tabletest.LostReply} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			table := tabletest.New()
			holder := newBlocklistRouter(table, 1)
			holder.run()
			holder.add("fatal")
			table.SetFault(fault)
			holder.step(context.Background(), holder.simulated.Add(time.Second))
			table.SetFault(tabletest.None)
			commits := table.Commits()
			started := newBlocklistRouter(table, 0)
			started.run()
			is.True(started.has("common", "fatal"))
			is.True(!started.has("common"))
			holder.run()
			is.Equal(table.Commits(), commits) // nothing is left to write
		})
	}
}

// A row that is damaged must not block all prompts.
func TestEntryWithoutPartsBlocksNothing(t *testing.T) {
	is := is.New(t)
	list := decodeBlocklist(&apiv1.Blocklist{Entries: []*apiv1.BlockedPrompts{{Service: "s"}, {Service: "s", Parts: []string{"fatal"}}}})
	is.Equal(len(list["s"]), 1)
	is.Equal(list["s"][0].Parts, []string{"fatal"})
}

// The store comes back from a copy without the row.
func TestBlocklistIsWrittenAgainAfterARestore(t *testing.T) {
	is := is.New(t)
	table := tabletest.New()
	older := table.Copy()
	holder := newBlocklistRouter(table, 1)
	holder.run()
	holder.add("fatal")
	holder.run()
	table.Restore(older)
	holder.era = 1
	holder.run()
	started := newBlocklistRouter(table, 0)
	started.run()
	is.True(started.has("fatal"))
}

// A former holder writes what it learned last after its successor has written.
func TestWritersOfTheBlocklistKeepEachOthersPrompts(t *testing.T) {
	is := is.New(t)
	table := tabletest.New()
	former, holder := newBlocklistRouter(table, 1), newBlocklistRouter(table, 2)
	former.run()
	holder.run()
	former.add("fatal-1")
	holder.add("fatal-2")
	holder.run()
	former.run()
	holder.fence = 3 // a new term
	holder.run()
	started := newBlocklistRouter(table, 0)
	started.run()
	is.True(started.has("fatal-1") && started.has("fatal-2"))
	is.True(holder.has("fatal-1"))
}

// A router that no scheduler reaches learns from the store what others found out.
func TestRouterWithoutSchedulerFollowsTheBlocklist(t *testing.T) {
	is := is.New(t)
	table := tabletest.New()
	holder, alone := newBlocklistRouter(table, 1), newBlocklistRouter(table, 0)
	alone.run()
	holder.run()
	holder.add("fatal")
	holder.run()
	alone.run()
	is.True(alone.has("fatal"))
}

// Engines end one after the other while schedulers are replaced and while there is none. The
// next scheduler must learn of all of them from the routers.
func TestNextSchedulerLearnsWhatBrokeOff(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	client := newClient("r1", "boot")
	go client.Run(ctx)
	breakOff := func(engine int) {
		req := placementRequest()
		req.Parts = []*apiv1.PromptPart{{Id: "fatal"}, {Id: fmt.Sprint("own-", engine)}}
		client.ReportBrokenOff(client.Adopt(req, fmt.Sprint("engine-", engine)), 1)
	}
	for engine := range 3 {
		breakOff(engine) // the engines are no longer listed anywhere
		time.Sleep(20 * time.Millisecond)
	}
	client.mu.Lock()
	for i := range client.brokenOff {
		client.brokenOff[i].at = client.brokenOff[i].at.Add(time.Duration(i-3) * time.Second)
	}
	client.mu.Unlock()
	_, addr := newScheduler(t, ctx)
	client.Follow(addr, 1)
	is.NoErr(client.WaitLinked(ctx))
	req := placementRequest()
	req.Parts = []*apiv1.PromptPart{{Id: "fatal"}, {Id: "own"}}
	var refused *RefusedError
	for refused == nil {
		_, err := client.Place(ctx, req)
		is.True(err != nil)
		errors.As(err, &refused)
	}
	_, found := client.opts.Blocklist.Match("s", []string{"fatal"})
	is.True(found)
}

// lateTable answers a read after onGet, with the row as it was before.
type lateTable struct {
	external.TableService
	onGet func()
}

func (t lateTable) Get(ctx context.Context, key string) (external.Row, error) {
	row, err := t.TableService.Get(ctx, key)
	t.onGet()
	return row, err
}

// Guards against a prompt that is refused again although it was released: a router that starts
// reads the store, and the scheduler's later list arrives before the answer.
func TestBlocklistThatArrivesAfterARelayedOne(t *testing.T) {
	for name, tc := range map[string]struct {
		fence int64
		has   bool
	}{"router": {0, false}, "scheduler that takes over": {1, true}} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			table := tabletest.New()
			holder := newBlocklistRouter(table, 1)
			holder.run()
			holder.add("released")
			holder.run()
			starts := newBlocklistRouter(table, tc.fence)
			starts.linked = true
			starts.opts.Table = lateTable{table, sync.OnceFunc(func() { starts.list.Replace(nil) })}
			starts.run()
			is.Equal(starts.has("released", "other"), tc.has)
		})
	}
}
