package exchange

import (
	"bufio"
	"errors"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"time"
)

// maxUses bounds the exchanges of a connection, and so the ids that it remembers.
const maxUses = 256

// conn is one connection to an upstream. It carries one exchange at a time, and no
// request twice: an upstream may send an answer once more in front of a later one,
// and the id that tells them apart is that of the request, not of its sending.
type conn struct {
	net.Conn
	reader *bufio.Reader
	// number names the connection within its pool.
	number uint64
	// carried holds the ids of the requests that were sent on the connection.
	carried map[string]struct{}
	// unnamed is set once an answer on it bore no id. A copy of that could come in
	// front of any later answer, so only reads of state follow on the connection.
	unnamed bool
	// written counts the bytes that the kernel took.
	written atomic.Int64
	// idleSince and idleLimit belong to the pool while the connection is idle.
	idleSince time.Time
	idleLimit time.Duration
}

func newConn(c net.Conn, number uint64) *conn {
	return &conn{Conn: c, number: number, carried: make(map[string]struct{}), reader: bufio.NewReaderSize(c, readBufferBytes), idleLimit: defaultIdleLimit}
}

// uses is the number of exchanges so far.
func (c *conn) uses() int { return len(c.carried) }

// mayCarry reports whether no copy of an earlier answer can be taken for that to req.
// A request without an id needs a new connection.
func (c *conn) mayCarry(req *Request) bool {
	_, before := c.carried[req.ID]
	return req.ID != "" && !before && (!c.unnamed || req.purpose == forState)
}

// Write implements io.Writer.
func (c *conn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.written.Add(int64(n))
	return n, err
}

// isQuiet reports whether an idle connection is open and holds no bytes that
// nobody asked for.
func (c *conn) isQuiet() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	sys, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sys.SyscallConn()
	if err != nil {
		return false
	}
	var peekErr error
	var n int
	err = raw.Read(func(fd uintptr) bool {
		var one [1]byte
		n, _, peekErr = syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		return true
	})
	if err != nil || n > 0 {
		return false
	}
	return errors.Is(peekErr, syscall.EAGAIN)
}

// learnIdleLimit takes over the idle timeout that the upstream announces.
func (c *conn) learnIdleLimit(h http.Header) {
	for _, field := range strings.Split(h.Get("Keep-Alive"), ",") {
		seconds, ok := strings.CutPrefix(strings.TrimSpace(field), "timeout=")
		if !ok {
			continue
		}
		n, err := strconv.Atoi(seconds)
		if err != nil || n < 0 {
			continue // an announcement that can't be read changes nothing
		}
		c.idleLimit = time.Duration(float64(n) * idleShare * float64(time.Second))
	}
}
