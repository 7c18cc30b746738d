package cell

import (
	"context"
	"errors"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a router that never reaches a scheduler, because the requests that it has running
// make its first message too large.
func TestLinkWithManyLargeRequests(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	_, addr := newScheduler(t, ctx)
	client := newClient("r1", "boot")
	for range 1000 {
		ask := placementRequest()
		ask.RequestId = strings.Repeat("x", 30<<10)
		client.Adopt(ask, "e")
	}
	go client.Run(ctx)
	client.Follow(addr, 1)
	is.NoErr(client.WaitLinked(ctx))
	ask := placementRequest()
	ask.GiveUpUs = time.Second.Microseconds()
	_, err := client.Place(ctx, ask)
	var refused *RefusedError
	is.True(err == nil || errors.As(err, &refused)) // the scheduler has decided
}
