package pace

import (
	"sync"
	"time"
)

// Router is what one router knows about limits. It is safe for concurrent use.
type Router struct {
	mu   sync.Mutex
	book *Book
}

// NewRouter returns a router that knows of no limit.
func NewRouter() *Router { return &Router{book: NewBook()} }

// Note takes in a limit that this router heard or was told. It reports whether that changed
// what it knows.
func (r *Router) Note(limit Limit) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.book.Note(limit)
}

// Prune forgets limits that were heard long ago.
func (r *Router) Prune(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.book.Prune(now)
}
