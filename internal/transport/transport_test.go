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

// echoTokens answers a GenerateRequest with one token and an end.
func echoTokens(_ context.Context, s *transport.Stream) {
	defer func() { _ = s.Close() }()
	in := &apiv1.RouterFrame{}
	if err := s.Recv(in); err != nil {
		return
	}
	id := in.GetGenerate().GetRequestId()
	_ = s.Send(&apiv1.SidecarFrame{Body: &apiv1.SidecarFrame_Tokens{Tokens: &apiv1.Tokens{RequestId: id, Text: []string{"a"}}}})
	_ = s.Send(&apiv1.SidecarFrame{Body: &apiv1.SidecarFrame_End{End: &apiv1.StreamEnd{RequestId: id, TotalTokens: 1}}})
}

func serve(t *testing.T, creds transport.Credentials, h transport.Handler) *transport.Server {
	t.Helper()
	server, err := transport.Listen(loopback, creds, h)
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

func generate(id string) *apiv1.RouterFrame {
	return &apiv1.RouterFrame{Body: &apiv1.RouterFrame_Generate{Generate: &apiv1.GenerateRequest{RequestId: id}}}
}

func TestPoolSharesOneSession(t *testing.T) {
	is := is.New(t)
	server := serve(t, transport.Credentials{}, echoTokens)
	pool := transport.NewPool(transport.Credentials{}, time.Minute)
	defer pool.Close()
	for range 3 {
		s, err := pool.Open(context.Background(), server.Addr())
		is.NoErr(err)
		is.NoErr(s.Send(generate("r1")))
		out := &apiv1.SidecarFrame{}
		is.NoErr(s.Recv(out))
		is.Equal(out.GetTokens().GetRequestId(), "r1")
		is.NoErr(s.Recv(out))
		is.Equal(out.GetEnd().GetTotalTokens(), uint32(1))
		is.Equal(s.Recv(out), io.EOF)
		is.NoErr(s.Close())
	}
	is.Equal(pool.Size(), 1)
	pool.CloseIdle(time.Now().Add(2 * time.Minute))
	is.Equal(pool.Size(), 0)
}

func TestTokenIsProvedByBothEnds(t *testing.T) {
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
			server := serve(t, transport.Credentials{Token: []byte(tc.server)}, echoTokens)
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

// silentPeer accepts connections and never writes.
func silentPeer(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", loopback)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	return listener.Addr().String()
}

func TestOpenEndsWithItsContext(t *testing.T) {
	is := is.New(t)
	addr := silentPeer(t)
	pool := transport.NewPool(transport.Credentials{Token: []byte("secret")}, time.Minute)
	defer pool.Close()
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	errs := make(chan error, 3)
	for range cap(errs) {
		go func() {
			_, err := pool.Open(ctx, addr)
			errs <- err
		}()
	}
	for range cap(errs) {
		is.True(errors.Is(<-errs, context.DeadlineExceeded))
	}
}

func TestCutStreamIsNoCleanEnd(t *testing.T) {
	is := is.New(t)
	server := serve(t, transport.Credentials{}, func(_ context.Context, s *transport.Stream) {
		_ = s.Recv(&apiv1.RouterFrame{})
		_ = s.Send(&apiv1.SidecarFrame{Body: &apiv1.SidecarFrame_Tokens{Tokens: &apiv1.Tokens{Text: []string{"a"}}}})
	})
	session, err := transport.Dial(context.Background(), server.Addr(), transport.Credentials{})
	is.NoErr(err)
	defer func() { _ = session.Close() }()
	s, err := session.Open()
	is.NoErr(err)
	is.True(!s.Sent())
	is.NoErr(s.Send(generate("r2")))
	is.True(s.Sent())
	is.NoErr(s.Recv(&apiv1.SidecarFrame{}))
	is.NoErr(server.Close())
	is.True(s.Recv(&apiv1.SidecarFrame{}) != nil)
}
