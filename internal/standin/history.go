package standin

import (
	"slices"
	"time"
)

// historyRetention is how long values are retained, and so the longest lag that can be
// served.
const historyRetention = 2 * time.Minute

// history retains past values, so that an outdated one can be served. It is not
// safe for concurrent use.
type history[T any] struct {
	first   T // the value before the oldest entry
	entries []historyEntry[T]
}

type historyEntry[T any] struct {
	at    time.Time
	value T
}

// add records the value that is valid from now on.
func (h *history[T]) add(now time.Time, value T) {
	h.entries = append(h.entries, historyEntry[T]{at: now, value: value})
	for len(h.entries) > 1 && now.Sub(h.entries[0].at) > historyRetention {
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

// at returns the value that was valid at t. It searches from the newest value
// backwards, because most lags are short.
func (h *history[T]) at(t time.Time) T {
	for _, e := range slices.Backward(h.entries) {
		if !e.at.After(t) {
			return e.value
		}
	}
	return h.first
}
