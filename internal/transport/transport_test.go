package transport_test

import (
	"context"
	"errors"
	"io"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/goleak"

	apiv1 "github.com/ragwortdoor/ragwortdoor/api/ragwortdoor/v1"
	"github.com/ragwortdoor/ragwortdoor/internal/transport"
)

const loopback = "127.0.0.1:0"

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// serveQueued replies to a placement request with its number and closes the stream.
func serveQueued(_ context.Context, s *transport.Stream) {
	defer func() { _ = s.Close() }()
	in := &apiv1.SchedulerCall{}
	if err := s.Recv(in); err != nil {
		return
	}
	_ = s.Send(queuedReply(in.GetAsk().GetNumber()))
}

func placementRequest(number uint64) *apiv1.SchedulerCall {
	return &apiv1.SchedulerCall{Body: &apiv1.SchedulerCall_Ask{Ask: &apiv1.PlacementAsk{Number: number}}}
}

func queuedReply(number uint64) *apiv1.SchedulerReply {
	return &apiv1.SchedulerReply{Body: &apiv1.SchedulerReply_Queued{Queued: &apiv1.PlacementQueued{Number: number}}}
}

func serve(t *testing.T, creds transport.Credentials, handler transport.Handler) *transport.Server {
	t.Helper()
	server, err := transport.Listen(loopback, creds, nil, handler)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- server.Serve(ctx) }()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	return server
}

func TestOneSessionCarriesManyStreams(t *testing.T) {
	is := is.New(t)
	server := serve(t, transport.Credentials{}, serveQueued)
	session, err := transport.Dial(context.Background(), server.Addr(), transport.Credentials{})
	is.NoErr(err)
	for number := range uint64(3) {
		s, err := session.Open()
		is.NoErr(err)
		is.NoErr(s.Send(placementRequest(number)))
		out := &apiv1.SchedulerReply{}
		is.NoErr(s.Recv(out))
		is.Equal(out.GetQueued().GetNumber(), number)
		is.Equal(s.Recv(out), io.EOF)
		is.NoErr(s.Close())
	}
	is.NoErr(session.Close())
}

func TestBothEndsVerifyToken(t *testing.T) {
	for _, tc := range []struct {
		name           string
		server, client string
		ok             bool
	}{
		{"same token", "secret", "secret", true},
		{"other token", "secret", "guess", false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			server := serve(t, transport.Credentials{Token: []byte(tc.server)}, serveQueued)
			session, err := transport.Dial(context.Background(), server.Addr(), transport.Credentials{Token: []byte(tc.client)})
			if tc.ok {
				is.NoErr(err)
				is.NoErr(session.Close())
				return
			}
			is.True(errors.Is(err, transport.ErrUnauthorized))
		})
	}
}

// Guards against a Dial that outlives its context because the peer accepts the
// connection but never writes.
func TestDialEndsWithItsContext(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp", loopback)
	is.NoErr(err)
	defer listener.Close()
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	_, err = transport.Dial(ctx, listener.Addr().String(), transport.Credentials{Token: []byte("secret")})
	is.True(errors.Is(err, context.DeadlineExceeded))
}

func TestDisconnectedStreamReturnsError(t *testing.T) {
	is := is.New(t)
	server := serve(t, transport.Credentials{}, func(_ context.Context, s *transport.Stream) {
		_ = s.Recv(&apiv1.SchedulerCall{})
		_ = s.Send(queuedReply(1))
	})
	session, err := transport.Dial(context.Background(), server.Addr(), transport.Credentials{})
	is.NoErr(err)
	defer func() { _ = session.Close() }()
	s, err := session.Open()
	is.NoErr(err)
	is.NoErr(s.Send(placementRequest(1)))
	is.NoErr(s.Recv(&apiv1.SchedulerReply{}))
	is.NoErr(server.Close())
	is.True(s.Recv(&apiv1.SchedulerReply{}) != nil)
}
