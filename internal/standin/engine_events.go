package standin

import (
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/ragwortdoor/ragwortdoor/internal/external"
)

// keptEvents is the number of cache events that an engine remembers.
const keptEvents = 1024

// prefixCache holds the prompt starts that an engine has cached, the least
// recently used first, and the events about them.
type prefixCache struct {
	entries  []cachedPrefix
	sequence int64
	events   []timedEvent
}

type cachedPrefix struct {
	hash  uint64
	model string
}

type timedEvent struct {
	at    time.Time
	event external.CacheEvent
}

// touchPrefix reports whether a prompt start was cached, and caches it.
func (e *Engine) touchPrefix(b *boot, hash uint64, model string) bool {
	p := &b.prefixes
	entry := cachedPrefix{hash: hash, model: model}
	if i := slices.Index(p.entries, entry); i >= 0 {
		p.entries = append(slices.Delete(p.entries, i, i+1), entry)
		return true
	}
	p.entries = append(p.entries, entry)
	e.recordEvent(b, entry, true)
	for len(p.entries) > e.knobs.PrefixCache {
		e.recordEvent(b, p.entries[0], false)
		p.entries = p.entries[1:]
	}
	return false
}

func (e *Engine) recordEvent(b *boot, entry cachedPrefix, stored bool) {
	p := &b.prefixes
	p.sequence++
	if gap := e.knobs.EventGapEvery; gap > 0 && p.sequence%int64(gap) == 0 {
		return
	}
	event := external.CacheEvent{Sequence: p.sequence, Model: entry.model, PrefixHash: entry.hash, Stored: stored}
	p.events = append(p.events, timedEvent{at: time.Now(), event: event})
	if len(p.events) > keptEvents {
		p.events = p.events[1:]
	}
}

func (e *Engine) handleEvents(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseInt(r.URL.Query().Get("after"), 10, 64)
	if err != nil {
		writeError(w, external.KindInvalid, "after: "+err.Error())
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	shown := time.Now().Add(-milliseconds(e.knobs.EventLagMS))
	events := []external.CacheEvent{}
	for _, t := range e.boot.prefixes.events {
		if t.event.Sequence > after && !t.at.After(shown) {
			events = append(events, t.event)
		}
	}
	writeJSON(w, events)
}
