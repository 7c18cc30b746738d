// Package memory bounds the bytes that a process holds for others that may keep it waiting, and the
// number of their connections: heads and bodies as they are read, responses that are not read. When
// the bound is reached, connections at rest make room: the one that has stood still longest, or else
// the largest.
package memory

import (
	"errors"
	"sync"
	"time"
)

const (
	// MinIdle is how long a holder must have stood still to make room for a larger one.
	MinIdle = 300 * time.Millisecond
	// smallBytes is what a holder takes at most to use all of the budget. Larger ones leave
	// smallReserve of it free, so that ordinary requests pass beside large ones.
	smallBytes   = 64 << 10
	smallReserve = 0.25
)

// ErrExhausted means that the budget has no room, and that no other holder could make any.
var ErrExhausted = errors.New("this router holds as many bytes for callers as it may: come back later, or send less at once")

// Limits bound a Budget.
type Limits struct {
	// Bytes and Holders are the most that all holders take and how many there are; 0 for no
	// limit.
	Bytes   int64
	Holders int
}

// Use is how a budget is used.
type Use struct {
	Limits
	Bytes   int64
	Holders int
	// Evicted counts the holders that had to make room so far, Refused those that found none.
	Evicted, Refused int64
}

// Budget is what holders share. It is safe for concurrent use.
type Budget struct {
	limits Limits

	mu sync.Mutex
	// released is broadcast when bytes were given back or a holder was evicted.
	released *sync.Cond
	holders  map[*Hold]struct{}
	used     int64
	// leaving is the part of used that belongs to evicted holders, which give it back soon,
	// and evictedOpen their number. awaited is what waits for it.
	leaving, awaited int64
	evictedOpen      int
	evicted, refused int64
}

// NewBudget returns a budget with the given limits.
func NewBudget(limits Limits) *Budget {
	b := &Budget{limits: limits, holders: make(map[*Hold]struct{})}
	b.released = sync.NewCond(&b.mu)
	return b
}

// Limits returns the limits of the budget.
func (b *Budget) Limits() Limits { return b.limits }

// Use returns how the budget is used.
func (b *Budget) Use() Use {
	b.mu.Lock()
	defer b.mu.Unlock()
	return Use{Limits: b.limits, Bytes: b.used, Holders: len(b.holders), Evicted: b.evicted, Refused: b.refused}
}

// Open returns a hold of n bytes, which is at rest. evict is called, on another holder's goroutine,
// when it has to make room: it must make the owner call Close soon, and return at once. The error is
// ErrExhausted.
func (b *Budget) Open(now time.Time, n int64, evict func()) (*Hold, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	h := &Hold{budget: b, evict: evict, progressAt: now, atRest: true}
	for b.limits.Holders > 0 && len(b.holders)-b.evictedOpen >= b.limits.Holders {
		if !b.evictOne(now, h, n) {
			b.refused++
			return nil, ErrExhausted
		}
	}
	if !b.makeRoom(now, h, n) {
		b.refused++
		return nil, ErrExhausted
	}
	b.holders[h] = struct{}{}
	h.add(n)
	return h, nil
}

// makeRoom evicts holders until there is room for n more bytes of one, once those that were evicted
// have given back what they hold. It reports false if there is none.
func (b *Budget) makeRoom(now time.Time, asks *Hold, n int64) bool {
	for b.used-b.leaving+b.awaited+n > b.limitOf(asks, n) {
		if !b.evictOne(now, asks, n) {
			return false
		}
	}
	return true
}

const unlimited = int64(1) << 62

// limitOf returns what all holders may take after one has grown by n bytes.
func (b *Budget) limitOf(asks *Hold, n int64) int64 {
	switch {
	case b.limits.Bytes <= 0:
		return unlimited
	case asks.bytes+n > smallBytes:
		return b.limits.Bytes - int64(smallReserve*float64(b.limits.Bytes))
	}
	return b.limits.Bytes
}

// evictOne evicts the holder at rest that has stood still longest, or else the largest one that is
// larger than what asks. It reports false if there is none.
func (b *Budget) evictOne(now time.Time, asks *Hold, n int64) bool {
	var longest, largest *Hold
	for h := range b.holders {
		if h == asks || !h.atRest || h.evicted {
			continue
		}
		if now.Sub(h.progressAt) >= MinIdle && (longest == nil || h.progressAt.Before(longest.progressAt)) {
			longest = h
		}
		if h.bytes > asks.bytes+n && (largest == nil || h.bytes > largest.bytes) {
			largest = h
		}
	}
	victim := longest
	if victim == nil {
		victim = largest
	}
	if victim == nil {
		return false
	}
	victim.evicted = true
	b.leaving += victim.bytes
	b.evictedOpen++
	b.evicted++
	victim.evict()
	b.released.Broadcast() // the victim may wait itself
	return true
}
