package memory

import (
	"bytes"
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"
)

var start = time.Unix(1000, 0)

// open opens a hold that must find room.
func open(t *testing.T, b *Budget, now time.Time, n int64, evict func()) *Hold {
	t.Helper()
	h, err := b.Open(now, n, evict)
	if err != nil {
		t.Fatal(err)
	}
	return h
}

func mustNotEvict(t *testing.T, what string) func() {
	return func() { t.Errorf("%s made room", what) }
}

// Load: callers that hold all there is, and stop. An ordinary request must pass.
func TestWhatStandsStillMakesRoom(t *testing.T) {
	is := is.New(t)
	b := NewBudget(Limits{Bytes: 100})
	evicted := make([]bool, 10)
	holds := make([]*Hold, 10)
	for i := range holds {
		holds[i] = open(t, b, start.Add(time.Duration(i)*time.Millisecond), 10, func() { evicted[i] = true })
	}
	later := start.Add(time.Second)
	is.NoErr(holds[0].Grow(later, 0)) // makes progress
	ordinary := open(t, b, later, 5, mustNotEvict(t, "the ordinary request"))
	grown := make(chan error)
	go func() { grown <- ordinary.Grow(later, 10) }()
	waitUntil(t, func() bool { return b.Use().Evicted == 2 })
	is.Equal(evicted, []bool{false, true, true, false, false, false, false, false, false, false})
	is.True(errors.Is(holds[1].Grow(later, 1), ErrExhausted)) // it is over
	holds[1].Close()
	holds[2].Close()
	is.NoErr(<-grown) // once those that make room have given theirs back
	is.Equal(b.Use().Bytes, int64(95))
	for _, h := range append(holds, ordinary) {
		h.Close()
		h.Close() // a connection may be closed twice
	}
	is.Equal(b.Use().Bytes, int64(0))
	is.Equal(b.Use().Holders, 0)
}

func waitUntil(t *testing.T, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(20 * time.Second); !condition(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("condition was not met")
		}
	}
}

func TestTheLargestMakesRoomForSmallerOnes(t *testing.T) {
	is := is.New(t)
	b := NewBudget(Limits{Bytes: 100})
	gone := 0
	busy := open(t, b, start, 40, mustNotEvict(t, "a request that its caller does not keep waiting"))
	busy.SetAtRest(start, false)
	var large *Hold
	large = open(t, b, start, 60, func() { gone++; go large.Close() })
	small := open(t, b, start, 0, nil)
	_, err := b.Open(start, 70, nil)
	is.True(errors.Is(err, ErrExhausted)) // larger than all
	is.NoErr(small.Grow(start, 5))
	is.Equal(gone, 1)
	is.True(errors.Is(small.Grow(start, 70), ErrExhausted))
	is.Equal(b.Use().Refused, int64(2))
	is.NoErr(open(t, NewBudget(Limits{}), start, 0, nil).Grow(start, 1<<60))
}

// Load: large requests that are at work and can't make room. Ordinary ones must pass beside them.
func TestLargeHoldersLeaveRoomForSmallOnes(t *testing.T) {
	is := is.New(t)
	const limit = 100 * smallBytes
	b := NewBudget(Limits{Bytes: limit})
	taken := int64(0)
	for {
		h := open(t, b, start, 1, nil)
		h.SetAtRest(start, false)
		if h.Grow(start, 4*smallBytes) != nil {
			break
		}
		taken += 4 * smallBytes
	}
	is.True(taken <= limit*(1-smallReserve))
	is.True(taken > limit*(1-smallReserve)-8*smallBytes)
	for range int(limit*smallReserve)/smallBytes - 4 {
		open(t, b, start, smallBytes, nil).SetAtRest(start, false)
	}
}

// Load: more connections than there may be. The one that has stood still longest ends.
func TestHoldersAreBounded(t *testing.T) {
	is := is.New(t)
	b := NewBudget(Limits{Holders: 2})
	gone := ""
	open(t, b, start, 1, func() { gone += "a" })
	busy := open(t, b, start.Add(time.Millisecond), 1, func() { gone += "b" })
	open(t, b, start.Add(time.Second), 1, func() { gone += "c" })
	is.Equal(gone, "a")
	busy.SetAtRest(start, false)
	_, err := b.Open(start.Add(time.Second), 1, nil)
	is.True(errors.Is(err, ErrExhausted)) // all others are at work or have just come
}

// A body that would exceed the budget is not read any further, and what it took is given back.
func TestReadAllAccountsBeforeItReads(t *testing.T) {
	is := is.New(t)
	b := NewBudget(Limits{Bytes: 256 << 10})
	h := open(t, b, start, 0, nil)
	body := bytes.Repeat([]byte("x"), 100<<10)
	data, err := h.ReadAll(bytes.NewReader(body), int64(len(body)))
	is.NoErr(err)
	is.Equal(data, body)
	is.True(b.Use().Bytes >= int64(len(body)))
	h.Reset(start, 0)
	large := bytes.NewReader(make([]byte, 1<<20))
	_, err = h.ReadAll(large, -1)
	is.True(errors.Is(err, ErrExhausted))
	is.True(large.Len() > 512<<10)
	h.Shrink(1 << 40)
	is.Equal(b.Use().Bytes, int64(0))
	var unaccounted *Hold
	data, err = unaccounted.ReadAll(bytes.NewReader(body), -1)
	is.NoErr(err)
	is.Equal(data, body)
}
