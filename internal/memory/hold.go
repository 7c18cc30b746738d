package memory

import (
	"context"
	"errors"
	"io"
	"time"
)

// Hold is what one connection holds. It is safe for concurrent use; all methods do nothing on a nil
// Hold, which stands for a connection that is not accounted for.
type Hold struct {
	budget *Budget
	evict  func()
	// The rest belongs to the budget's lock.
	bytes      int64
	progressAt time.Time
	// atRest is set while the other side keeps the holder waiting.
	atRest  bool
	evicted bool
	closed  bool
}

// Grow adds bytes that are about to be held. It waits until holders that make room have given back
// theirs. Without any bytes, it only notes that the holder makes progress. The error is ErrExhausted.
func (h *Hold) Grow(now time.Time, n int64) error {
	if h == nil {
		return nil
	}
	b := h.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	h.progressAt = now
	for !h.evicted && !h.closed && (n <= 0 || b.makeRoom(now, h, n)) {
		if n <= 0 || b.used+n <= b.limitOf(h, n) {
			h.add(n)
			return nil
		}
		b.awaited += n
		b.released.Wait()
		b.awaited -= n
	}
	b.refused++
	return ErrExhausted
}

// Add is Grow for bytes that are held already: they count even if there is no room.
func (h *Hold) Add(now time.Time, n int64) {
	if h == nil {
		return
	}
	b := h.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	h.progressAt = now
	if !h.evicted && !h.closed {
		b.makeRoom(now, h, n)
		h.add(n)
	}
}

// Reset sets the number of bytes to n, even if there is no room for them.
func (h *Hold) Reset(now time.Time, n int64) {
	if h == nil {
		return
	}
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	h.progressAt = now
	if !h.closed {
		h.add(n - h.bytes)
	}
}

// Shrink gives n bytes back.
func (h *Hold) Shrink(n int64) {
	if h == nil {
		return
	}
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	h.add(-min(n, h.bytes))
}

// add requires the budget's lock.
func (h *Hold) add(n int64) {
	h.bytes += n
	h.budget.used += n
	if h.evicted {
		h.budget.leaving += n
	}
	if n < 0 {
		h.budget.released.Broadcast()
	}
}

// SetAtRest says whether the other side may keep the holder waiting from now on: only then can it be
// made to give way.
func (h *Hold) SetAtRest(now time.Time, atRest bool) {
	if h == nil {
		return
	}
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	h.atRest, h.progressAt = atRest, now
}

// Close gives all bytes back.
func (h *Hold) Close() {
	if h == nil {
		return
	}
	b := h.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if h.closed {
		return
	}
	h.add(-h.bytes)
	h.closed = true
	if h.evicted {
		b.evictedOpen--
	}
	delete(b.holders, h)
}

type holdKey struct{}

// WithHold returns a context that carries the hold of a connection.
func WithHold(ctx context.Context, h *Hold) context.Context {
	return context.WithValue(ctx, holdKey{}, h)
}

// HoldOf returns the hold that ctx carries, nil if there is none.
func HoldOf(ctx context.Context) *Hold {
	h, _ := ctx.Value(holdKey{}).(*Hold)
	return h
}

// firstPiece is the first piece of a body that is read; the next ones double.
const firstPiece = 16 << 10

// ReadAll reads r to its end, as io.ReadAll does. Memory is accounted for before each piece is read;
// while r is read, h is at rest. length is the expected number of bytes, negative if it is not known.
// The error may be ErrExhausted.
func (h *Hold) ReadAll(r io.Reader, length int64) ([]byte, error) {
	var data []byte
	h.SetAtRest(time.Now(), true)
	defer func() { h.SetAtRest(time.Now(), false) }()
	for {
		if len(data) == cap(data) {
			size := max(firstPiece, 2*cap(data))
			if left := length - int64(len(data)); left >= 0 {
				size = min(size, len(data)+int(left)+1) // one more shows the end
			}
			if err := h.Grow(time.Now(), int64(size-cap(data))); err != nil {
				return nil, err
			}
			data = append(make([]byte, 0, size), data...)
		}
		n, err := r.Read(data[len(data):cap(data)])
		data = data[:len(data)+n]
		if errors.Is(err, io.EOF) {
			return data, nil
		}
		if err != nil {
			return data, err
		}
		if growErr := h.Grow(time.Now(), 0); growErr != nil { // notes progress
			return nil, growErr
		}
	}
}
