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

// conn is one connection to an upstream. It carries one exchange at a time.
type conn struct {
	net.Conn
	reader *bufio.Reader
	// number names the connection within its pool, uses counts its exchanges.
	number, uses uint64
	// written counts the bytes that the kernel took.
	written atomic.Int64
	// idleSince and idleLimit belong to the pool while the connection is idle.
	idleSince time.Time
	idleLimit time.Duration
}

func newConn(c net.Conn, number uint64) *conn {
	return &conn{Conn: c, number: number, reader: bufio.NewReaderSize(c, readBufferBytes), idleLimit: defaultIdleLimit}
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
