package cell

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/ragwortdoor/ragwortdoor/internal/fleet"
)

// countingEngines counts the inventories that are read at the same time.
type countingEngines struct {
	stubEngines
	mu           sync.Mutex
	current, max int
	read         map[string]bool
}

func (e *countingEngines) Inspect(_ context.Context, up *fleet.Upstream) (fleet.Inventory, error) {
	e.mu.Lock()
	e.current++
	e.max = max(e.max, e.current)
	e.read[up.ID] = true
	e.mu.Unlock()
	time.Sleep(5 * time.Millisecond)
	e.mu.Lock()
	e.current--
	e.mu.Unlock()
	return fleet.Inventory{StartedMs: 1}, nil
}

func (e *countingEngines) readCount() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.read)
}

// A new holder reads the inventories of a large fleet. Together they would slow each
// other down until all time out.
func TestInventoriesOfALargeFleetAreReadInTurn(t *testing.T) {
	const engineCount = 600
	is := is.New(t)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	directory := fleet.NewDirectory()
	spec := &fleet.EngineSpec{Slots: 1, KVTokens: 1000, MemoryMB: 10, Models: map[string]fleet.Model{"m": {Name: "m", MemoryMB: 10}}}
	directory.SetConfig(fleet.NewConfig(1, nil, map[string]fleet.Service{"s": {Name: "s", Engine: spec}}, fleet.Limits{}))
	change := fleet.Change{Complete: true}
	for i := range engineCount {
		id := fmt.Sprint("e", i)
		change.Registrations = append(change.Registrations, fleet.Registration{ID: id, Upstream: &fleet.Upstream{ID: id, Service: "s", Addr: "127.0.0.1:1", StartedMs: 1}})
	}
	directory.Merge(time.Now(), change)
	engines := &countingEngines{read: make(map[string]bool)}
	s := NewScheduler(SchedulerOptions{
		Directory: directory, Engines: engines, Host: "h", MayOrder: func() bool { return true },
		RenewedAgo: func() time.Duration { return 0 }, LeaseVersion: func() int64 { return 1 }, Log: noopLog{},
	})
	go s.Run(ctx)
	s.Start(LeaseTerm{Fence: 1})
	deadline := time.Now().Add(30 * time.Second)
	for engines.readCount() < engineCount && time.Now().Before(deadline) {
		time.Sleep(5 * time.Millisecond)
	}
	is.Equal(engines.readCount(), engineCount)
	engines.mu.Lock()
	defer engines.mu.Unlock()
	is.True(engines.max <= maxInspections)
}
