package transport

import (
	"errors"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"

	apiv1 "github.com/ragwortdoor/ragwortdoor/api/ragwortdoor/v1"
)

// slowClose is a connection whose Close lasts until release is closed.
type slowClose struct {
	net.Conn
	closing, release chan struct{}
}

func (c *slowClose) Close() error {
	close(c.closing)
	<-c.release
	return c.Conn.Close()
}

// A session closes while a stream waits for a frame. The read must end when the close
// begins: until the close is complete, yamux would poll and occupy a core.
func TestReadEndsWhenTheSessionBeginsToClose(t *testing.T) {
	is := is.New(t)
	near, far := net.Pipe()
	conn := &slowClose{Conn: near, closing: make(chan struct{}), release: make(chan struct{})}
	session, err := newSession(conn)
	is.NoErr(err)
	peer, err := newSession(far)
	is.NoErr(err)
	stream, err := session.Open()
	is.NoErr(err)
	received := make(chan error, 1)
	go func() { received <- stream.Recv(&apiv1.SchedulerReply{}) }()
	closed := make(chan error, 1)
	go func() { closed <- session.Close() }()
	<-conn.closing
	select {
	case err := <-received:
		is.True(errors.Is(err, ErrDisconnected))
	case <-time.After(20 * time.Second):
		t.Error("the read did not end")
	}
	close(conn.release)
	is.NoErr(<-closed)
	is.NoErr(peer.Close())
}
