package main

import (
	"bytes"
	"io"
	"net"
	"sync"
	"time"
)

// proxy passes connections on to an address. hold may keep the answers of a connection back
// for a while: it is asked once for each block of bytes that goes to the other side.
type proxy struct {
	listener net.Listener
	target   string

	mu   sync.Mutex
	hold func(request []byte) (match bool, held time.Duration, seen func())
}

func (b *bench) newProxy(target string) *proxy {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.fatal("listen for a proxy: %v", err)
	}
	p := &proxy{listener: l, target: target}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go p.serve(c)
		}
	}()
	return p
}

func (p *proxy) addr() string { return p.listener.Addr().String() }

func (p *proxy) setHold(hold func(request []byte) (bool, time.Duration, func())) {
	p.mu.Lock()
	p.hold = hold
	p.mu.Unlock()
}

func (p *proxy) serve(c net.Conn) {
	defer c.Close()
	up, err := net.Dial("tcp", p.target)
	if err != nil {
		return
	}
	defer up.Close()
	type pause struct {
		held time.Duration
		seen func()
	}
	pauses := make(chan pause, 1)
	go func() {
		defer up.Close()
		buf := make([]byte, 64<<10)
		for {
			n, err := c.Read(buf)
			if n > 0 {
				p.mu.Lock()
				hold := p.hold
				p.mu.Unlock()
				if hold != nil {
					if match, held, seen := hold(bytes.Clone(buf[:n])); match {
						pauses <- pause{held, seen}
					}
				}
				if _, err := up.Write(buf[:n]); err != nil {
					return
				}
			}
			if err != nil {
				return
			}
		}
	}()
	buf := make([]byte, 64<<10)
	for {
		n, err := up.Read(buf)
		if n > 0 {
			select {
			case stop := <-pauses:
				stop.seen()
				time.Sleep(stop.held)
			default:
			}
			if _, err := c.Write(buf[:n]); err != nil {
				return
			}
		}
		if err != nil && err != io.EOF {
			return
		}
		if err != nil {
			return
		}
	}
}
