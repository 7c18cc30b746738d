package exchange

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"time"
)

// maxConnUses limits the exchanges per connection and so the size of conn.sentIDs.
const maxConnUses = 256

// conn is one connection to an upstream. It carries one exchange at a time and never
// the same request ID twice: an upstream may send a duplicate of an earlier response
// before a later one, and the ID in a response names the request, not the attempt.
type conn struct {
	net.Conn
	reader *bufio.Reader
	// headLimit is between the connection and reader.
	headLimit *headLimiter
	// number identifies the connection within its pool.
	number uint64
	// sentIDs holds the keys of the IDs of the requests sent on the connection.
	sentIDs map[string]struct{}
	// unidentified is set once a response had no request ID. A duplicate of it could
	// precede any later response, so only state reads may follow on the connection.
	unidentified bool
	// bytesWritten counts the bytes that the kernel accepted.
	bytesWritten atomic.Int64
	// idleSince and idleTimeout are owned by the pool while the connection is idle.
	idleSince   time.Time
	idleTimeout time.Duration
}

func newConn(c net.Conn, number uint64) *conn {
	limit := &headLimiter{r: c}
	return &conn{Conn: c, number: number, sentIDs: make(map[string]struct{}), reader: bufio.NewReaderSize(limit, readBufferBytes), headLimit: limit, idleTimeout: defaultIdleTimeout}
}

// errHeadTooLarge means that an upstream sent more than maxHeadBytes without
// completing the head of its response.
var errHeadTooLarge = fmt.Errorf("no complete response head within %d bytes", maxHeadBytes)

// headLimiter bounds the bytes that are read for the heads of one exchange:
// http.ReadResponse itself collects a line or a header of any length.
type headLimiter struct {
	r         io.Reader
	active    bool
	remaining int
}

// begin starts to count; end stops it, before the body is read.
func (l *headLimiter) begin() { l.active, l.remaining = true, maxHeadBytes }

func (l *headLimiter) end() { l.active = false }

// Read implements io.Reader.
func (l *headLimiter) Read(b []byte) (int, error) {
	if !l.active {
		return l.r.Read(b)
	}
	if l.remaining <= 0 {
		return 0, errHeadTooLarge
	}
	n, err := l.r.Read(b[:min(len(b), l.remaining)])
	l.remaining -= n
	return n, err
}

// uses returns the number of exchanges so far.
func (c *conn) uses() int { return len(c.sentIDs) }

// mayCarry reports whether req may be sent on the connection: no duplicate of an
// earlier response can be mistaken for the response to req. A request without an ID
// needs a new connection.
func (c *conn) mayCarry(req *Request) bool {
	_, sentBefore := c.sentIDs[req.key]
	return req.ID != "" && !sentBefore && (!c.unidentified || req.purpose == purposeStateRead)
}

// Write implements io.Writer.
func (c *conn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.bytesWritten.Add(int64(n))
	return n, err
}

// isUsable reports whether an idle connection is open and has received no
// unsolicited bytes.
func (c *conn) isUsable() bool {
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
		var buf [1]byte
		n, _, peekErr = syscall.Recvfrom(int(fd), buf[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		return true
	})
	if err != nil || n > 0 {
		return false
	}
	return errors.Is(peekErr, syscall.EAGAIN)
}

// applyKeepAlive adopts the idle timeout announced in the Keep-Alive header, if any.
func (c *conn) applyKeepAlive(h http.Header) {
	for _, field := range strings.Split(h.Get("Keep-Alive"), ",") {
		seconds, ok := strings.CutPrefix(strings.TrimSpace(field), "timeout=")
		if !ok {
			continue
		}
		n, err := strconv.Atoi(seconds)
		if err != nil || n < 0 {
			continue // ignore a malformed timeout
		}
		c.idleTimeout = time.Duration(float64(n) * idleTimeoutFraction * float64(time.Second))
	}
}
