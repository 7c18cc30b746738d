package cell

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	apiv1 "github.com/ragwortdoor/ragwortdoor/api/ragwortdoor/v1"
	"github.com/ragwortdoor/ragwortdoor/internal/quarantine"
	"github.com/ragwortdoor/ragwortdoor/internal/tabletest"
)

// quarantineRouter is a router's copy of the quarantined parts with its store.
type quarantineRouter struct {
	*QuarantineStore
	list      *quarantine.List
	fence     int64
	linked    bool
	era       int64
	simulated time.Time
}

func newQuarantineRouter(table *tabletest.Table, fence int64) *quarantineRouter {
	r := &quarantineRouter{list: &quarantine.List{}, fence: fence, linked: fence != 0, simulated: time.Now()}
	r.QuarantineStore = NewQuarantineStore(QuarantineStoreOptions{
		Table: table, List: r.list, Fence: func() int64 { return r.fence }, HasActiveScheduler: func() bool { return r.linked },
		StoreEra: func() int64 { return r.era }, OnRead: r.list.Merge, OnFailed: func(string, error) {},
	})
	return r
}

// run lets time pass in which the store is read and written.
func (r *quarantineRouter) run() {
	for range 60 {
		r.simulated = r.simulated.Add(quarantineTickInterval)
		r.step(context.Background(), r.simulated)
	}
}

func (r *quarantineRouter) add(part string) {
	r.list.Merge(map[string][]quarantine.Entry{"s": {{Parts: []string{part}, Since: time.UnixMilli(1), Crashes: 3}}})
}

func (r *quarantineRouter) has(parts ...string) bool {
	_, ok := r.list.Match("s", parts)
	return ok
}

// All routers are killed at once: what was quarantined must be known to those that start.
func TestQuarantineOutlastsAllRouters(t *testing.T) {
	for name, fault := range map[string]tabletest.Fault{"calm": tabletest.None, "the answer to a write is lost": tabletest.LostReply} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			table := tabletest.New()
			holder := newQuarantineRouter(table, 1)
			holder.run()
			holder.add("fatal")
			table.SetFault(fault)
			holder.step(context.Background(), holder.simulated.Add(time.Second))
			table.SetFault(tabletest.None)
			commits := table.Commits()
			started := newQuarantineRouter(table, 0)
			started.run()
			is.True(started.has("common", "fatal"))
			is.True(!started.has("common"))
			holder.run()
			is.Equal(table.Commits(), commits) // nothing is left to write
		})
	}
}

// The store comes back from a copy without the row.
func TestQuarantineIsWrittenAgainAfterARestore(t *testing.T) {
	is := is.New(t)
	table := tabletest.New()
	older := table.Copy()
	holder := newQuarantineRouter(table, 1)
	holder.run()
	holder.add("fatal")
	holder.run()
	table.Restore(older)
	holder.era = 1
	holder.run()
	started := newQuarantineRouter(table, 0)
	started.run()
	is.True(started.has("fatal"))
}

// A former holder writes what it learned last after its successor has written.
func TestWritersOfTheQuarantineKeepEachOthersParts(t *testing.T) {
	is := is.New(t)
	table := tabletest.New()
	former, holder := newQuarantineRouter(table, 1), newQuarantineRouter(table, 2)
	former.run()
	holder.run()
	former.add("fatal-1")
	holder.add("fatal-2")
	holder.run()
	former.run()
	holder.fence = 3 // a new term
	holder.run()
	started := newQuarantineRouter(table, 0)
	started.run()
	is.True(started.has("fatal-1") && started.has("fatal-2"))
	is.True(holder.has("fatal-1"))
}

// A router that no scheduler reaches learns from the store what others found out.
func TestRouterWithoutSchedulerFollowsTheQuarantine(t *testing.T) {
	is := is.New(t)
	table := tabletest.New()
	holder, alone := newQuarantineRouter(table, 1), newQuarantineRouter(table, 0)
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
	_, found := client.opts.Quarantine.Match("s", []string{"fatal"})
	is.True(found)
}
