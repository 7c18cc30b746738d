package scheduler

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/ragwortdoor/ragwortdoor/internal/fleet"
)

// A new holder reads the inventories of a large fleet while many requests wait for a model.
// To try all of them after each inventory takes longer than the inventories do, so that
// heartbeats come late and routers leave. A small fleet grants at once.
func TestInventoriesOfALargeFleetAreDispatchedByTheTick(t *testing.T) {
	for _, engines := range []int{10, 1000} {
		t.Run(fmt.Sprint(engines, " engines"), func(t *testing.T) {
			is := is.New(t)
			spec := testSpec(1)
			cell := New(Options{Holder: "router-1", Fence: 1, LoadWindow: 5 * time.Second})
			now := time.Unix(1_000_000, 0)
			var list []*fleet.Upstream
			for i := range engines {
				list = append(list, newFakeEngine(fmt.Sprint("e", i), spec).up)
			}
			cell.Update(now, spec, list)
			for key := range uint64(100) {
				req := &Request{Key: key, Model: "m0", PromptTokens: 100, Objective: now.Add(time.Second), Deadline: now.Add(10 * time.Second), FailureDomain: "a"}
				is.Equal(len(cell.Submit(now, req).Grants), 0)
			}
			inventory := fleet.Inventory{StartedMs: 1, Models: []fleet.LoadedModel{{Name: "m0", Version: 1}}}
			granted := len(cell.HandleInventory(now, "e0", inventory, nil).Grants)
			is.Equal(granted > 0, engines == 10)
			granted += len(cell.Tick(now.Add(10 * time.Millisecond)).Grants)
			is.True(granted > 0)
		})
	}
}
