package standin

import (
	"slices"
	"time"
)

// historyKept is how long a history remembers, and so the longest lag.
const historyKept = 2 * time.Minute

// history remembers past values, so that a lagging one can be served. It is not
// safe for concurrent use.
type history[T any] struct {
	first   T
	entries []historyEntry[T]
}

type historyEntry[T any] struct {
	at    time.Time
	value T
}

// add records the value that holds from now on.
func (h *history[T]) add(now time.Time, value T) {
	h.entries = append(h.entries, historyEntry[T]{at: now, value: value})
	for len(h.entries) > 1 && now.Sub(h.entries[0].at) > historyKept {
		h.first = h.entries[0].value
		h.entries = h.entries[1:]
	}
}

// last returns the newest value.
func (h *history[T]) last() T {
	if len(h.entries) == 0 {
		return h.first
	}
	return h.entries[len(h.entries)-1].value
}

// at returns the value that held at a time. It looks from the newest value back,
// since most lags are short.
func (h *history[T]) at(t time.Time) T {
	for _, e := range slices.Backward(h.entries) {
		if !e.at.After(t) {
			return e.value
		}
	}
	return h.first
}
