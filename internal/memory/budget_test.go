package memory

import (
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"
)

var start = time.Unix(1000, 0)

// Load: callers that hold all there is, and stop. An ordinary request must pass.
func TestWhatStandsStillMakesRoom(t *testing.T) {
	is := is.New(t)
	b := NewBudget(100)
	evicted := make([]bool, 10)
	holds := make([]*Hold, 10)
	for i := range holds {
		holds[i] = b.Open(func() { evicted[i] = true })
		is.NoErr(holds[i].Grow(start.Add(time.Duration(i)*time.Millisecond), 10))
		holds[i].SetAtRest(start.Add(time.Duration(i)*time.Millisecond), true)
	}
	later := start.Add(time.Second)
	is.NoErr(holds[0].Grow(later, 0)) // makes progress
	ordinary := b.Open(func() { t.Error("the ordinary request made room") })
	is.NoErr(ordinary.Grow(later, 15))
	is.Equal(evicted, []bool{false, true, true, false, false, false, false, false, false, false})
	is.True(errors.Is(holds[1].Grow(later, 1), ErrExhausted)) // it is over
	holds[1].Close()
	used, n := b.Use()
	is.Equal(used, int64(95))
	is.Equal(n, int64(2))
	for _, h := range append(holds, ordinary) {
		h.Close()
	}
	used, _ = b.Use()
	is.Equal(used, int64(0))
}

func TestTheLargestMakesRoomForSmallerOnes(t *testing.T) {
	is := is.New(t)
	b := NewBudget(100)
	gone := 0
	large, busy := b.Open(func() { gone++ }), b.Open(func() { t.Error("a request that its caller does not keep waiting made room") })
	is.NoErr(busy.Grow(start, 40))
	is.NoErr(large.Grow(start, 60))
	large.SetAtRest(start, true)
	is.True(errors.Is(b.Open(nil).Grow(start, 70), ErrExhausted)) // larger than all
	small := b.Open(nil)
	is.NoErr(small.Grow(start, 5))
	is.Equal(gone, 1)
	is.True(errors.Is(small.Grow(start, 70), ErrExhausted))
	unlimited := NewBudget(0).Open(nil)
	is.NoErr(unlimited.Grow(start, 1<<60))
	unlimited.Close()
}
