package cell

import (
	"context"
	"errors"
	"testing"

	"github.com/matryer/is"
)

// Guards against what the scheduler keeps of requests that it has refused: callers may name any model.
func TestNothingIsKeptOfRefusedRequests(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	s, addr := newScheduler(t, ctx)
	client := newClient("r1", "boot")
	go client.Run(ctx)
	client.Follow(addr, 1)
	is.NoErr(client.WaitLinked(ctx))
	for range 10 {
		ask := placementRequest()
		ask.Model = "none"
		_, err := client.Place(ctx, ask)
		var refused *RefusedError
		is.True(errors.As(err, &refused))
	}
	kept := make(chan int)
	s.post(func() {
		n := 0
		for _, session := range s.sessions {
			n += len(session.serviceByKey)
		}
		kept <- n
	})
	is.Equal(<-kept, 0)
}
