// Package testaddr finds free loopback addresses for servers that tests start later.
package testaddr

import (
	"errors"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"sync"
	"testing"

	"golang.org/x/sys/unix"
)

// The range lies below the system's ephemeral ports: an outgoing connection could
// otherwise take a port before the test binds it. A test process claims blocks of ports,
// so that no other one takes a port between the check and its use.
const (
	firstPort     = 20_000
	blockCount    = 60
	portsPerBlock = 200
)

// claims are the blocks of this process.
var claims struct {
	mu    sync.Mutex
	ports []int
	next  int
	locks []*os.File // held until the process ends
}

// Free returns a loopback address, "IP:PORT", with no TCP or UDP socket bound
// to it. No two calls return the same one while others are left.
func Free(t testing.TB) string {
	t.Helper()
	claims.mu.Lock()
	defer claims.mu.Unlock()
	for range blockCount * portsPerBlock {
		if claims.next == len(claims.ports) {
			if err := claimBlock(); err != nil && len(claims.ports) == 0 {
				t.Fatal(err)
			}
			claims.next %= len(claims.ports) // without another block, from the beginning
		}
		address := fmt.Sprintf("127.0.0.1:%d", claims.ports[claims.next])
		claims.next++
		if isFree(address) {
			return address
		}
	}
	t.Fatal("no free port: end processes that hold ports on loopback")
	return ""
}

// claimBlock adds a block that no other process has claimed.
func claimBlock() error {
	dir := filepath.Join(os.TempDir(), "ragwortdoor-testaddr")
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return err
	}
	for block := range blockCount {
		lock, err := os.OpenFile(filepath.Join(dir, fmt.Sprint(block)), os.O_CREATE|os.O_RDWR, 0o600)
		if err != nil {
			return err
		}
		err = unix.Flock(int(lock.Fd()), unix.LOCK_EX|unix.LOCK_NB)
		if err != nil {
			_ = lock.Close() // nothing was written
			if errors.Is(err, unix.EWOULDBLOCK) {
				continue
			}
			return fmt.Errorf("lock %s: %w", lock.Name(), err)
		}
		claims.locks = append(claims.locks, lock)
		for port := range portsPerBlock {
			claims.ports = append(claims.ports, firstPort+block*portsPerBlock+port)
		}
		return nil
	}
	return errors.New("no block of ports is left: end other test processes")
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
