// Package crowdtest plays crowds of clients against a process under test: connections that together
// ask for more memory or descriptors than the process has, each within the limits of a request.
package crowdtest

import (
	"bufio"
	"bytes"
	"fmt"
	"net"
	"os"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"
)

const (
	// memberTimeout ends the writes of a member whose process does not read.
	memberTimeout  = 15 * time.Second
	sampleInterval = 20 * time.Millisecond
	// A process has taken in what a crowd sent once it uses at most idleTicks of processor time
	// in idlePeriod; settleTimeout bounds the wait for that.
	idlePeriod    = 400 * time.Millisecond
	idleTicks     = 4
	settleTimeout = 8 * time.Second
)

// Member sends its part over a connection. It returns when it is done or the connection fails: a
// process may close the connections of a crowd.
type Member func(c net.Conn)

// Send returns a member that writes data at once.
func Send(data string) Member {
	return func(c net.Conn) { _, _ = c.Write([]byte(data)) }
}

// Pieces returns a member that writes head and then size bytes in pieces, short of the last byte.
func Pieces(head string, size, piece int) Member {
	return func(c net.Conn) {
		if _, err := c.Write([]byte(head)); err != nil {
			return
		}
		data := bytes.Repeat([]byte("x"), piece)
		for left := size - 1; left > 0; {
			n, err := c.Write(data[:min(left, piece)])
			if err != nil {
				return
			}
			left -= n
		}
	}
}

// Lines returns header lines with different names that have at least n bytes together.
func Lines(n int) string {
	var lines strings.Builder
	for i := 0; lines.Len() < n; i++ {
		lines.WriteString("x" + strconv.Itoa(i) + ":\r\n")
	}
	return lines.String()
}

// Crowd is a number of members that connect to one address.
type Crowd struct {
	// Dial opens a connection.
	Dial   func() (net.Conn, error)
	Size   int
	Member Member
	// Rounds is how often each member comes and resets its connection, before the one that stays.
	Rounds int
}

// TCP returns the Dial of plain connections to addr.
func TCP(addr string) func() (net.Conn, error) {
	return func() (net.Conn, error) { return net.Dial("tcp", addr) }
}

// Play plays crowds at the same time and returns when all members are done. Their last connections
// stay open until the test ends.
func Play(t *testing.T, crowds ...Crowd) {
	t.Helper()
	var wg sync.WaitGroup
	for _, crowd := range crowds {
		for range crowd.Size {
			wg.Go(func() {
				for range crowd.Rounds {
					playMember(t, crowd, true)
				}
				playMember(t, crowd, false)
			})
		}
	}
	wg.Wait()
}

func playMember(t *testing.T, crowd Crowd, reset bool) {
	conn, err := crowd.Dial()
	if err != nil {
		return // refused
	}
	if !reset {
		t.Cleanup(func() { _ = conn.Close() })
	}
	_ = conn.SetDeadline(time.Now().Add(memberTimeout))
	crowd.Member(conn)
	if !reset {
		return
	}
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}

// Bounds are the most that a process may take.
type Bounds struct {
	PeakMb      int
	Descriptors int
}

// Watch samples the descriptors of a process. The returned function waits until the process has taken
// in what it was sent, and reports one that has ended or has taken more than its bounds so far.
func Watch(t *testing.T, pid int, bounds Bounds) (check func()) {
	t.Helper()
	var mu sync.Mutex
	most := 0
	stop := make(chan struct{})
	sample := func() {
		entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid))
		if err != nil {
			return // check reports a process that has ended
		}
		mu.Lock()
		defer mu.Unlock()
		most = max(most, len(entries))
	}
	go func() {
		for ticker := time.NewTicker(sampleInterval); ; {
			select {
			case <-ticker.C:
				sample()
			case <-stop:
				ticker.Stop()
				return
			}
		}
	}()
	t.Cleanup(func() { close(stop) })
	return func() {
		t.Helper()
		settle(pid)
		sample()
		peak, err := peakMb(pid)
		if err != nil {
			t.Fatalf("the process has ended: %v", err)
		}
		mu.Lock()
		defer mu.Unlock()
		t.Logf("peak %d MB, %d descriptors", peak, most)
		if peak > bounds.PeakMb {
			t.Errorf("the process took %d MB, more than %d", peak, bounds.PeakMb)
		}
		if most > bounds.Descriptors {
			t.Errorf("the process had %d descriptors open, more than %d", most, bounds.Descriptors)
		}
	}
}

// settle waits until a process is almost idle.
func settle(pid int) {
	last := -1 - idleTicks
	for end := time.Now().Add(settleTimeout); time.Now().Before(end); time.Sleep(idlePeriod) {
		ticks := processorTicks(pid)
		if ticks-last <= idleTicks {
			return
		}
		last = ticks
	}
}

// processorTicks returns the processor time of a process in clock ticks, 0 if it has ended.
func processorTicks(pid int) int {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0
	}
	const user, system = 11, 12 // fields after the name in parentheses
	fields := strings.Fields(string(data[bytes.LastIndexByte(data, ')')+1:]))
	ticks := 0
	for _, field := range []int{user, system} {
		n, err := strconv.Atoi(fields[field])
		if err != nil {
			return 0
		}
		ticks += n
	}
	return ticks
}

// peakMb returns the most memory that a process has taken so far.
func peakMb(pid int) (int, error) {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0, err
	}
	for lines := bufio.NewScanner(bytes.NewReader(data)); lines.Scan(); {
		fields := strings.Fields(lines.Text())
		if len(fields) == 3 && fields[0] == "VmHWM:" {
			kb, err := strconv.Atoi(fields[1])
			return kb >> 10, err
		}
	}
	return 0, fmt.Errorf("process %d has no memory: it has exited", pid)
}
