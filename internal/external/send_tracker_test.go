package external

import (
	"errors"
	"net"
	"net/http/httptrace"
	"testing"

	"github.com/matryer/is"
)

// scriptedConn returns n and err from each Write.
type scriptedConn struct {
	net.Conn
	n     int
	err   error
	calls int
}

func (c *scriptedConn) Write([]byte) (int, error) {
	c.calls++
	return c.n, c.err
}

func TestSendTracker(t *testing.T) {
	errReset := errors.New("connection reset")
	for _, tc := range []struct {
		name   string
		conn   *scriptedConn
		writes int
		sent   bool
	}{
		{name: "nothing written", conn: &scriptedConn{}},
		{name: "write of no bytes failed", conn: &scriptedConn{err: errReset}, writes: 1},
		{name: "written", conn: &scriptedConn{n: 5}, writes: 1, sent: true},
		{name: "partly written", conn: &scriptedConn{n: 2, err: errReset}, writes: 1, sent: true},
		{name: "written, then failed", conn: &scriptedConn{n: 5}, writes: 2, sent: true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			conn := &trackedConn{Conn: tc.conn}
			tracker := &sendTracker{}
			tracker.gotConn(httptrace.GotConnInfo{Conn: conn})
			for range tc.writes {
				_, _ = conn.Write([]byte("hello"))
			}
			is.Equal(tracker.maybeSent(), tc.sent)
			is.Equal(tracker.maybeSent(), tc.sent) // same result on a second call

			calls := tc.conn.calls
			_, err := conn.Write([]byte("late"))
			is.Equal(errors.Is(err, errSealed), !tc.sent) // a write after seal fails
			is.Equal(tc.conn.calls == calls, !tc.sent)
			is.Equal(tracker.maybeSent(), tc.sent)

			tracker.gotConn(httptrace.GotConnInfo{Conn: &trackedConn{Conn: &scriptedConn{}}})
			is.Equal(tracker.maybeSent(), tc.sent) // unchanged by another connection
		})
	}
}

func TestSendTrackerOfUntrackedConn(t *testing.T) {
	is := is.New(t)
	tracker := &sendTracker{}
	is.Equal(tracker.maybeSent(), false)
	tracker.gotConn(httptrace.GotConnInfo{Conn: &scriptedConn{}})
	is.Equal(tracker.maybeSent(), true)
}
