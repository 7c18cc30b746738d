// Package testaddr gives tests loopback addresses for servers that bind them later.
package testaddr

import (
	"fmt"
	"net"
	"os"
	"sync/atomic"
	"testing"
)

// The ports lie below those that the system gives to outgoing connections, which
// could take a port between its choice and its use.
const (
	firstPort = 20_000
	portCount = 12_000
)

// used starts at a place of its own in each test process.
var used atomic.Int64

func init() { used.Store(int64(os.Getpid()) * 101) }

// Free returns an address of the loopback interface, "IP:PORT", that nobody
// listens on with TCP or UDP.
func Free(t testing.TB) string {
	t.Helper()
	for range portCount {
		address := fmt.Sprintf("127.0.0.1:%d", firstPort+used.Add(1)%portCount)
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
	defer func() { _ = listener.Close() }() // it served the check only
	conn, err := net.ListenPacket("udp", address)
	if err != nil {
		return false
	}
	_ = conn.Close() // it served the check only
	return true
}
