package main

import (
	"fmt"
	"sync"
	"syscall"
	"time"
)

func init() { cases["lost"] = playLost }

// playLost: a router is stopped while it relays streams; its settings file changes while it
// finishes them.
func playLost(b *bench) {
	for i := range 6 {
		b.models = append(b.models, fmt.Sprintf("m%d", i))
	}
	for i := range 4 {
		e := b.newEngine(fmt.Sprintf("lm%d", i), "lm", zones[i], b.models[:3]...)
		e.events, e.gap = 30, 100*time.Millisecond
		b.engines = append(b.engines, e)
	}
	b.config(7, standardRoutes())
	b.startRouters()
	r := b.routers[0]
	if r == b.holder() {
		r = b.routers[1]
	}
	var wg sync.WaitGroup
	var mu sync.Mutex
	var answers []answer
	for i := range 8 {
		wg.Go(func() {
			a := b.send(r, call{path: "/chat/x", model: fmt.Sprintf("m%d", i%3), tokens: "628,120", prefix: fmt.Sprintf("aa01:119,bb%02d:79,%02d:430", i, i), deadline: 15 * time.Second, label: "chat"})
			mu.Lock()
			answers = append(answers, a)
			mu.Unlock()
		})
	}
	time.Sleep(700 * time.Millisecond)
	r.signal(syscall.SIGTERM)
	time.Sleep(time.Second)
	if b.trouble {
		r.signal(syscall.SIGHUP)
	}
	wg.Wait()
	for _, a := range answers {
		if !a.whole {
			b.broken("LOST: request %s was read and passed on, and its connection ended without a complete answer (%d bytes, %v)", a.id, len(a.body), a.err)
		}
	}
	select {
	case <-r.exited:
	case <-time.After(8 * time.Second):
	}
}
