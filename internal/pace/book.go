package pace

import "time"

// bookTTL is how long a limit is remembered that no response has confirmed: far longer than an
// upstream is missing from the platform's list while the store is away.
const bookTTL = 10 * time.Minute

// Limit is the last statement about an incarnation of an upstream.
type Limit struct {
	UpstreamID string
	// StartedMs is the start time of the incarnation in Unix milliseconds, 0 if unknown.
	StartedMs int64
	Statement
	// inControl is set once a response to an order or a read of an inventory named a limit.
	inControl bool
}

// Book has the last statement about each upstream. It is not safe for concurrent use.
type Book struct{ limits map[string]Limit }

// NewBook returns an empty book.
func NewBook() *Book { return &Book{limits: make(map[string]Limit)} }

// Note takes in a limit and reports whether it changed what is known. Responses arrive in any
// order: a statement is newer than another if its request was sent after the other was heard. Of
// two that overlap, the lower one counts.
func (b *Book) Note(next Limit) bool {
	if next.Kind == Unreadable {
		return false
	}
	known, ok := b.limits[next.UpstreamID]
	restarted := ok && next.StartedMs > known.StartedMs && known.StartedMs != 0
	switch {
	case !ok || restarted:
		if next.Kind == Unlimited && (!ok || next.Control) {
			return false // as are nearly all upstreams
		}
	case next.StartedMs != 0 && next.StartedMs < known.StartedMs:
		return false
	case !known.HeardAt.Before(next.AskedAt) && known.isBelow(next):
		return false
	case known.AskedAt.After(next.HeardAt):
		return false
	case next.Control && next.Kind == Unlimited && !known.inControl:
		return false
	}
	if next.StartedMs == 0 {
		next.StartedMs = known.StartedMs
	}
	next.inControl = known.inControl && !restarted || next.Control && next.Kind == Limited
	b.limits[next.UpstreamID] = next
	return !ok || known.Notice != next.Notice
}

// isBelow reports whether a limit is stricter than another.
func (l Limit) isBelow(other Limit) bool {
	return l.Kind == Limited && (other.Kind != Limited || l.PerSecond < other.PerSecond)
}

// Of returns the limit of an upstream; false if it has none.
func (b *Book) Of(id string) (Limit, bool) {
	limit, ok := b.limits[id]
	return limit, ok && limit.Kind == Limited
}

// All returns all statements, those of limits that have ended included.
func (b *Book) All() []Limit {
	all := make([]Limit, 0, len(b.limits))
	for _, limit := range b.limits {
		all = append(all, limit)
	}
	return all
}

// Prune forgets statements that were heard long ago.
func (b *Book) Prune(now time.Time) {
	for id, limit := range b.limits {
		if now.Sub(limit.HeardAt) > bookTTL {
			delete(b.limits, id)
		}
	}
}
