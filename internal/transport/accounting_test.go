package transport_test

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/ragwortdoor/ragwortdoor/internal/memory"
	"github.com/ragwortdoor/ragwortdoor/internal/transport"
)

// Load: other routers and clients that pretend to be one. Sessions that have sent a frame keep their
// place, those that have not make room, and there is room for the process's other connections.
func TestSessionsAreAccountedFor(t *testing.T) {
	is := is.New(t)
	const limit = 1 << 20
	budget := memory.NewBudget(memory.Limits{Bytes: limit})
	server, err := transport.Listen(loopback, transport.Credentials{}, budget, echoNumbers)
	is.NoErr(err)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- server.Serve(ctx) }()
	dial := func() (*transport.Session, *transport.Stream) {
		session, err := transport.Dial(ctx, server.Addr(), transport.Credentials{})
		is.NoErr(err)
		stream, err := session.Open()
		is.NoErr(err)
		return session, stream
	}
	exchange := func(stream *transport.Stream) error {
		return errors.Join(stream.Send(placementRequest(1)), stream.Recv(queuedReply(0)))
	}
	var sessions []*transport.Session
	var streams []*transport.Stream
	for {
		session, stream := dial()
		sessions = append(sessions, session)
		if exchange(stream) != nil {
			break
		}
		streams = append(streams, stream)
	}
	is.True(len(streams) > 5)
	is.True(budget.Use().Bytes < limit*2/3)
	for range 100 { // a crowd that says nothing, whose members may be closed at once
		session, err := transport.Dial(ctx, server.Addr(), transport.Credentials{})
		is.NoErr(err)
		_, err = session.Open()
		is.True(err == nil || errors.Is(err, transport.ErrDisconnected))
		sessions = append(sessions, session)
	}
	waitUntil(t, func() bool { // the server may have accepted the crowd only just now
		ordinary, err := budget.Open(time.Now(), 64<<10, nil)
		if err == nil {
			ordinary.Close()
		}
		return err == nil
	})
	for _, stream := range streams {
		is.NoErr(exchange(stream))
	}
	for _, session := range sessions {
		is.NoErr(session.Close())
	}
	waitUntil(t, func() bool { return budget.Use().Bytes == 0 })
	last, stream := dial()
	is.NoErr(exchange(stream)) // there is room again
	for range 100 {            // more streams than a router opens
		if _, err = last.Open(); err != nil {
			break
		}
		time.Sleep(time.Millisecond)
	}
	waitUntil(t, func() bool { return budget.Use().Holders == 0 })
	is.NoErr(last.Close())
	cancel()
	is.NoErr(<-done)
}

// echoNumbers replies to each placement request with its number.
func echoNumbers(ctx context.Context, s *transport.Stream) {
	defer func() { _ = s.Close() }()
	defer context.AfterFunc(ctx, func() { _ = s.Close() })()
	for {
		in := placementRequest(0)
		if s.Recv(in) != nil || s.Send(queuedReply(in.GetAsk().GetNumber())) != nil {
			return
		}
	}
}

func waitUntil(t *testing.T, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(20 * time.Second); !condition(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("condition was not met")
		}
	}
}
