// Package memory bounds the bytes that a process holds for others that may keep it waiting: requests
// as they are read and responses that are not read. When the bound is reached, those that have stood
// still longest make room, or else the largest.
package memory

import (
	"errors"
	"sync"
	"time"
)

// MinIdle is how long a holder must have stood still to make room for a smaller one.
const MinIdle = 300 * time.Millisecond

// ErrExhausted means that the budget has no room, and that no other holder could make any.
var ErrExhausted = errors.New("this router holds as many bytes for callers as it may: come back later, or send less at once")

// Budget is a number of bytes that holders share. It is safe for concurrent use.
type Budget struct {
	limit int64 // 0 for no limit

	mu      sync.Mutex
	used    int64
	holders map[*Hold]struct{}
	evicted int64
}

// NewBudget returns a budget of limit bytes; 0 is no limit.
func NewBudget(limit int64) *Budget {
	return &Budget{limit: limit, holders: make(map[*Hold]struct{})}
}

// Hold is what one request holds. It is not safe for concurrent use.
type Hold struct {
	budget *Budget
	evict  func()
	// The rest belongs to the budget's lock.
	bytes      int64
	progressAt time.Time
	// atRest is set while the other side keeps the holder waiting.
	atRest  bool
	evicted bool
}

// Open returns a hold of no bytes. evict is called, on another holder's goroutine, when it has to make
// room; it must end the request and return at once.
func (b *Budget) Open(evict func()) *Hold {
	h := &Hold{budget: b, evict: evict}
	if b.limit <= 0 {
		return h
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	h.progressAt = time.Now()
	b.holders[h] = struct{}{}
	return h
}

// Grow adds bytes that are about to be held. The error is ErrExhausted.
func (h *Hold) Grow(now time.Time, n int64) error {
	b := h.budget
	if b.limit <= 0 {
		return nil
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	h.progressAt = now
	if h.evicted || !b.makeRoom(now, h, n) {
		return ErrExhausted
	}
	h.add(n)
	return nil
}

// Add is Grow for bytes that are held already: they count even if there is no room.
func (h *Hold) Add(now time.Time, n int64) {
	b := h.budget
	if b.limit <= 0 {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	h.progressAt = now
	if !h.evicted {
		b.makeRoom(now, h, n)
		h.add(n)
	}
}

func (h *Hold) add(n int64) {
	h.bytes += n
	h.budget.used += n
}

// makeRoom evicts holders until there is room for n more bytes of one. It reports false if there is
// none.
func (b *Budget) makeRoom(now time.Time, asks *Hold, n int64) bool {
	for b.used+n > b.limit {
		victim := b.victim(now, asks, n)
		if victim == nil {
			return false
		}
		b.used -= victim.bytes
		victim.bytes, victim.evicted = 0, true
		delete(b.holders, victim)
		b.evicted++
		victim.evict()
	}
	return true
}

// victim returns the holder at rest that has stood still longest, or else the largest one that is
// larger than what asks; nil if there is none.
func (b *Budget) victim(now time.Time, asks *Hold, n int64) *Hold {
	var longest, largest *Hold
	for h := range b.holders {
		if h == asks || !h.atRest || h.bytes == 0 {
			continue
		}
		if now.Sub(h.progressAt) >= MinIdle && (longest == nil || h.progressAt.Before(longest.progressAt)) {
			longest = h
		}
		if h.bytes > asks.bytes+n && (largest == nil || h.bytes > largest.bytes) {
			largest = h
		}
	}
	if longest != nil {
		return longest
	}
	return largest
}

// SetAtRest says whether the other side may keep the holder waiting from now on: only then can it be
// made to give way.
func (h *Hold) SetAtRest(now time.Time, atRest bool) {
	if h.budget.limit <= 0 {
		return
	}
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	h.atRest, h.progressAt = atRest, now
}

// Close gives all bytes back.
func (h *Hold) Close() {
	if h.budget.limit <= 0 {
		return
	}
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	h.budget.used -= h.bytes
	h.bytes = 0
	delete(h.budget.holders, h)
}

// Use returns the bytes that are held, and how many holders had to make room so far.
func (b *Budget) Use() (used, evicted int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.used, b.evicted
}
