package blocklist

import (
	"maps"
	"sync"
	"sync/atomic"
	"time"
)

// List is a router's copy of the blocked prompts of all services. It is safe for
// concurrent use; reads do not block.
type List struct {
	mu      sync.Mutex // serializes writers
	current atomic.Pointer[map[string][]Entry]
	// replaced counts the calls of Replace.
	replaced atomic.Int64
}

// Load returns the entries by service. They must not be changed.
func (l *List) Load() map[string][]Entry {
	if current := l.current.Load(); current != nil {
		return *current
	}
	return nil
}

// Replace stores the entries of the router that schedules.
func (l *List) Replace(entries map[string][]Entry) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.current.Store(&entries)
	l.replaced.Add(1)
}

// Replaced counts the calls of Replace. What was read before one of them may be outdated.
func (l *List) Replaced() int64 { return l.replaced.Load() }

// Merge adds entries that the list lacks.
func (l *List) Merge(entries map[string][]Entry) {
	l.mu.Lock()
	defer l.mu.Unlock()
	merged := union(l.Load(), entries)
	l.current.Store(&merged)
}

// Match returns an entry that a prompt matches; ok is false if there is none.
func (l *List) Match(service string, parts []string) (entry Entry, ok bool) {
	for _, e := range l.Load()[service] {
		if e.Matches(parts) {
			return e, true
		}
	}
	return Entry{}, false
}

// union returns the entries of both, with the trials of the one that had more.
func union(a, b map[string][]Entry) map[string][]Entry {
	out := make(map[string][]Entry, len(a))
	maps.Copy(out, a)
	for service, entries := range b {
		both := NewLedger()
		both.Adopt(time.Time{}, out[service])
		both.Adopt(time.Time{}, entries)
		out[service] = both.Entries()
	}
	return out
}
