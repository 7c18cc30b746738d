// Package turn decides which of the requests that wait comes next: by rank, then evenly among
// workspaces, then by objective. It does no I/O and reads no clock.
package turn

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// memory is the time constant with which it is forgotten what a workspace has used.
const memory = 8 * time.Second

// Claim is what a request that waits is ordered by.
type Claim struct {
	// Rank is its rank with the improvement by waiting, 0 first.
	Rank int
	// Due is when its response is expected to begin.
	Due time.Time
	// Workspace is that of its caller, empty for none. Weight is the workspace's claim in
	// proportion to that of others; 0 counts as 1. Cost is what the request will use.
	Workspace    string
	Weight, Cost float64
}

// Shares remembers what workspaces have used lately. The zero value remembers nothing. It is not
// safe for concurrent use.
type Shares struct {
	used map[string]float64 // per weight, at the time at
	at   time.Time
}

// Use records that a request was served.
func (s *Shares) Use(now time.Time, claim Claim) {
	if claim.Workspace == "" {
		return
	}
	s.forget(now)
	if s.used == nil {
		s.used = make(map[string]float64)
	}
	s.used[claim.Workspace] += claim.share()
}

func (s *Shares) forget(now time.Time) {
	if passed := now.Sub(s.at); passed > 0 {
		factor := math.Exp(-passed.Seconds() / memory.Seconds())
		for name := range s.used {
			s.used[name] *= factor
		}
	}
	s.at = now
}

// share is the cost per weight.
func (c Claim) share() float64 {
	if c.Weight <= 0 {
		return c.Cost
	}
	return c.Cost / c.Weight
}

// Sort orders requests. Among those of one rank the next one is that of the workspace that has used
// least for its weight, what goes before it in this order included; requests of one workspace are
// ordered by Due. Without workspaces, or with one, all are.
func Sort[T any](now time.Time, waiting []T, claim func(T) Claim, shares *Shares) {
	type entry struct {
		item  T
		claim Claim
		share float64
	}
	entries := make([]entry, len(waiting))
	several := false
	for i, item := range waiting {
		entries[i] = entry{item: item, claim: claim(item)}
		several = several || entries[i].claim.Workspace != entries[0].claim.Workspace
	}
	slices.SortStableFunc(entries, func(a, b entry) int {
		return cmp.Or(cmp.Compare(a.claim.Rank, b.claim.Rank), a.claim.Due.Compare(b.claim.Due))
	})
	if several {
		shares.forget(now)
		ahead := make(map[string]float64)
		for i := range entries {
			e := &entries[i]
			e.share = shares.used[e.claim.Workspace] + ahead[e.claim.Workspace]
			ahead[e.claim.Workspace] += e.claim.share()
		}
		slices.SortStableFunc(entries, func(a, b entry) int {
			return cmp.Or(cmp.Compare(a.claim.Rank, b.claim.Rank), cmp.Compare(a.share, b.share))
		})
	}
	for i, e := range entries {
		waiting[i] = e.item
	}
}
