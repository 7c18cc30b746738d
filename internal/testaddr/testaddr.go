// Package testaddr finds free loopback addresses for servers that tests start later.
package testaddr

import (
	"fmt"
	"net"
	"os"
	"sync/atomic"
	"testing"
)

// The range lies below the system's ephemeral ports: an outgoing connection could
// otherwise take a port before the test binds it.
const (
	firstPort = 20_000
	portCount = 12_000
)

// lastOffset starts at a different value in each test process, so that processes that
// run at the same time rarely try the same ports.
var lastOffset atomic.Int64

func init() { lastOffset.Store(int64(os.Getpid()) * 101) }

// Free returns a loopback address, "IP:PORT", with no TCP or UDP socket bound
// to it.
func Free(t testing.TB) string {
	t.Helper()
	for range portCount {
		address := fmt.Sprintf("127.0.0.1:%d", firstPort+lastOffset.Add(1)%portCount)
		if isFree(address) {
			return address
		}
	}
	t.Fatal("no free port: end processes that hold ports on loopback")
	return ""
}

func isFree(address string) bool {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return false
	}
	defer func() { _ = listener.Close() }() // only opened to check the port
	conn, err := net.ListenPacket("udp", address)
	if err != nil {
		return false
	}
	_ = conn.Close() // only opened to check the port
	return true
}
