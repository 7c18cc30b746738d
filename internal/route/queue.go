package route

import (
	"cmp"
	"slices"
	"time"
)

// Class orders waiting requests.
type Class struct {
	Name string
	// Priority is the base priority; higher goes first.
	Priority uint32
	// Ageing is the waiting time that raises a request by one priority step;
	// 0 means that it never rises.
	Ageing time.Duration
}

// Waiter is one request in a Queue.
type Waiter[T any] struct {
	Class   Class
	Arrived time.Time
	Value   T

	serial uint64
	queued bool
}

// Queued reports whether the waiter is in a queue.
func (w *Waiter[T]) Queued() bool { return w.queued }

// level is the priority with the steps earned by waiting.
func (w *Waiter[T]) level(now time.Time) int64 {
	base := int64(w.Class.Priority)
	waited := now.Sub(w.Arrived)
	if w.Class.Ageing <= 0 || waited <= 0 {
		return base
	}
	return base + int64(waited/w.Class.Ageing)
}

// Queue is a bounded queue: higher classes first, earlier arrivals first
// within a class, and a rise with the time waited so that no class starves. It
// is not safe for concurrent use.
type Queue[T any] struct {
	limit int
	size  int
	next  uint64
	lines []*line[T]
}

// line holds the waiters of one class by arrival, so that its head always has
// the highest level in it.
type line[T any] struct {
	class   Class
	waiters []*Waiter[T]
}

// NewQueue makes a queue for at most limit waiters.
func NewQueue[T any](limit int) *Queue[T] {
	return &Queue[T]{limit: limit}
}

// SetLimit changes the bound. Waiters beyond a lower bound stay.
func (q *Queue[T]) SetLimit(limit int) { q.limit = limit }

// Len returns the number of waiters.
func (q *Queue[T]) Len() int { return q.size }

// Push adds a waiter. In a full queue it takes the place of the latest waiter
// of the lowest class, if that class is lower than its own: evicted is then the
// waiter that lost its place. It reports false when there is no place.
func (q *Queue[T]) Push(w *Waiter[T]) (evicted *Waiter[T], ok bool) {
	if q.size >= q.limit {
		evicted = q.lowest()
		if evicted == nil || evicted.Class.Priority >= w.Class.Priority {
			return nil, false
		}
		q.Remove(evicted)
	}
	q.insert(w)
	return evicted, true
}

// Return puts back a waiter that had left the queue. It takes no notice of the
// bound, since the waiter was admitted before.
func (q *Queue[T]) Return(w *Waiter[T]) { q.insert(w) }

func (q *Queue[T]) insert(w *Waiter[T]) {
	l := q.line(w.Class)
	i := len(l.waiters)
	for i > 0 && l.waiters[i-1].Arrived.After(w.Arrived) {
		i--
	}
	w.serial = q.next
	w.queued = true
	q.next++
	q.size++
	l.waiters = slices.Insert(l.waiters, i, w)
}

func (q *Queue[T]) line(class Class) *line[T] {
	for _, l := range q.lines {
		if l.class == class {
			return l
		}
	}
	l := &line[T]{class: class}
	q.lines = append(q.lines, l)
	return l
}

// lowest returns the waiter that is shed first.
func (q *Queue[T]) lowest() *Waiter[T] {
	var low *Waiter[T]
	for _, l := range q.lines {
		last := l.waiters[len(l.waiters)-1]
		if low == nil || shedBefore(last, low) {
			low = last
		}
	}
	return low
}

func shedBefore[T any](a, b *Waiter[T]) bool {
	if a.Class.Priority != b.Class.Priority {
		return a.Class.Priority < b.Class.Priority
	}
	if !a.Arrived.Equal(b.Arrived) {
		return a.Arrived.After(b.Arrived)
	}
	return a.serial > b.serial
}

// Peek returns the waiter that goes next, or nil.
func (q *Queue[T]) Peek(now time.Time) *Waiter[T] {
	var best *Waiter[T]
	for _, l := range q.lines {
		head := l.waiters[0]
		if best == nil || compare(head, best, now) < 0 {
			best = head
		}
	}
	return best
}

// Pop removes and returns the waiter that goes next, or nil.
func (q *Queue[T]) Pop(now time.Time) *Waiter[T] {
	w := q.Peek(now)
	if w != nil {
		q.Remove(w)
	}
	return w
}

// Remove takes a waiter out. It reports false when the waiter is not queued.
func (q *Queue[T]) Remove(w *Waiter[T]) bool {
	if !w.queued {
		return false
	}
	for i, l := range q.lines {
		at := slices.Index(l.waiters, w)
		if at < 0 {
			continue
		}
		l.waiters = slices.Delete(l.waiters, at, at+1)
		if len(l.waiters) == 0 {
			q.lines = slices.Delete(q.lines, i, i+1)
		}
		w.queued = false
		q.size--
		return true
	}
	return false
}

// Ahead counts the waiters that would go before a request that arrives now.
func (q *Queue[T]) Ahead(class Class, now time.Time) int {
	n := 0
	for _, l := range q.lines {
		for _, w := range l.waiters {
			if w.level(now) < int64(class.Priority) {
				break
			}
			n++
		}
	}
	return n
}

// Ordered lists the waiters in the order in which they would go now.
func (q *Queue[T]) Ordered(now time.Time) []*Waiter[T] {
	all := make([]*Waiter[T], 0, q.size)
	for _, l := range q.lines {
		all = append(all, l.waiters...)
	}
	slices.SortFunc(all, func(a, b *Waiter[T]) int { return compare(a, b, now) })
	return all
}

// compare is negative when a goes before b.
func compare[T any](a, b *Waiter[T], now time.Time) int {
	if c := cmp.Compare(b.level(now), a.level(now)); c != 0 {
		return c
	}
	if c := a.Arrived.Compare(b.Arrived); c != 0 {
		return c
	}
	return cmp.Compare(a.serial, b.serial)
}
