package router_test

import (
	"net"
	"sync"
	"testing"
)

// freezer passes connections on to a peer until it is frozen.
type freezer struct {
	address string
	gate    sync.RWMutex // held for writing while frozen
}

func newFreezer(t testing.TB, peer string) *freezer {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	z := &freezer{address: listener.Addr().String()}
	var copies sync.WaitGroup
	copies.Go(func() {
		for {
			in, err := listener.Accept()
			if err != nil {
				return
			}
			out, err := net.Dial("tcp", peer)
			if err != nil {
				_ = in.Close()
				continue
			}
			copies.Go(func() { z.copy(in, out) })
			copies.Go(func() { z.copy(out, in) })
		}
	})
	t.Cleanup(func() {
		_ = listener.Close()
		copies.Wait()
	})
	return z
}

func (z *freezer) copy(dst, src net.Conn) {
	defer func() { _ = dst.Close() }()
	buf := make([]byte, 4096)
	for {
		n, err := src.Read(buf)
		if err != nil {
			return
		}
		z.gate.RLock()
		_, err = dst.Write(buf[:n])
		z.gate.RUnlock()
		if err != nil {
			return
		}
	}
}
