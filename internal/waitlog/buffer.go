package waitlog

import (
	"container/list"

	apiv1 "github.com/ragwortdoor/ragwortdoor/api/ragwortdoor/v1"
	"github.com/ragwortdoor/ragwortdoor/internal/requestid"
)

// entry is one buffered record.
type entry struct {
	record *apiv1.WaitRecord
	id     requestid.ID
	late   bool
}

// buffer holds a bounded number of records. When it is full a new record takes
// the place of the oldest one that is not late, or, if it is late itself, of
// the oldest late one. It is not safe for concurrent use.
type buffer struct {
	capacity int
	// late and other hold *entry values, the oldest first.
	late, other *list.List
	// byID finds buffered records and those in flight.
	byID map[string]*entry
}

func newBuffer(capacity int) *buffer {
	return &buffer{
		capacity: capacity,
		late:     list.New(),
		other:    list.New(),
		byID:     make(map[string]*entry),
	}
}

// add stores an entry and returns the number of records that were lost for it.
func (b *buffer) add(e *entry) (lost int) {
	if b.byID[e.record.GetRequestId()] != nil {
		return 0 // a request has one record: the first
	}
	if len(b.byID) >= b.capacity {
		lost = 1
		if !b.evict(e.late) {
			return lost
		}
	}
	b.byID[e.record.GetRequestId()] = e
	b.queue(e).PushBack(e)
	return lost
}

func (b *buffer) queue(e *entry) *list.List {
	if e.late {
		return b.late
	}
	return b.other
}

// evict drops the oldest record that is not late, or a late one if allowed. It
// reports whether it dropped one; records in flight are not dropped.
func (b *buffer) evict(evenLate bool) bool {
	oldest := b.other.Front()
	from := b.other
	if oldest == nil && evenLate {
		oldest = b.late.Front()
		from = b.late
	}
	if oldest == nil {
		return false
	}
	e := from.Remove(oldest).(*entry)
	delete(b.byID, e.record.GetRequestId())
	return true
}

// take removes up to limit entries from the queues, late ones first. They
// count towards the capacity until done or putBack.
func (b *buffer) take(limit int) []*entry {
	var taken []*entry
	for _, queue := range []*list.List{b.late, b.other} {
		for queue.Len() > 0 && len(taken) < limit {
			taken = append(taken, queue.Remove(queue.Front()).(*entry))
		}
	}
	return taken
}

// done forgets entries that are stored.
func (b *buffer) done(entries []*entry) {
	for _, e := range entries {
		delete(b.byID, e.record.GetRequestId())
	}
}

// putBack returns entries that could not be stored to the front of the queues.
func (b *buffer) putBack(entries []*entry) {
	for i := len(entries) - 1; i >= 0; i-- {
		b.queue(entries[i]).PushFront(entries[i])
	}
}

func (b *buffer) len() int { return len(b.byID) }
