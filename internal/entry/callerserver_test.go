package entry

import (
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/ragwortdoor/ragwortdoor/internal/listener"
)

// lingeringListener stays in Accept for a while after it was closed.
type lingeringListener struct {
	net.Listener
	release chan struct{}
}

func (l lingeringListener) Accept() (net.Conn, error) {
	<-l.release
	return nil, net.ErrClosed
}

// Guards against a planned stop that ends with an error because the goroutine that accepts
// connections has not returned yet when the server is closed.
func TestCloseWhileTheListenerIsInUse(t *testing.T) {
	is := is.New(t)
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	l := lingeringListener{inner, make(chan struct{})}
	s := newCallerServer(listener.New(l, nil, nil), http.NotFoundHandler(), nil)
	served := make(chan error, 1)
	go func() { served <- s.Serve() }()
	time.Sleep(50 * time.Millisecond) // serve has the listener
	time.AfterFunc(100*time.Millisecond, func() { close(l.release) })
	is.NoErr(s.close(time.Now()))
	is.NoErr(<-served)
}
