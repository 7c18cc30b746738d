package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

func init() { cases["drain"] = playDrain }

// playDrain: a server is full for a moment and asks for a pause. After it, the server is slow
// to answer the first request; then it reports that it drains, while further requests wait
// in a router for that answer.
func playDrain(b *bench) {
	for i := range 6 {
		b.models = append(b.models, fmt.Sprintf("m%d", i))
	}
	var mu sync.Mutex
	full := false
	slow := false
	var drainedAt time.Time
	for i := range 4 {
		models := b.models[3:6]
		if i == 0 {
			models = b.models[0:3]
		}
		e := b.newEngine(fmt.Sprintf("lm%d", i), "lm", zones[i], models...)
		e.serve = func(e *engine, w http.ResponseWriter, r *http.Request) bool {
			mu.Lock()
			refuse, hold, since := full, slow, drainedAt
			mu.Unlock()
			b.record("server %s gets %s", e.id(), r.Header.Get("X-Request-Id"))
			if e == b.engines[0] && !since.IsZero() && time.Since(since) > drain {
				b.broken("DRAIN: %s reaches %s %.2f s after the store had accepted that it drains", r.Header.Get("X-Request-Id"), e.id(), time.Since(since).Seconds())
			}
			if e != b.engines[0] {
				return false
			}
			if refuse {
				w.Header().Set("X-Not-Run", "1")
				w.Header().Set("Retry-After", "1")
				w.WriteHeader(http.StatusServiceUnavailable)
				return true
			}
			if hold && !sleepFor(r, 2700*time.Millisecond) {
				return true
			}
			return false
		}
		b.engines = append(b.engines, e)
	}
	b.config(7, standardRoutes())
	b.startRouters()
	r := b.routers[0]
	if r == b.holder() {
		r = b.routers[1]
	}
	var wg sync.WaitGroup
	n := 0
	brief := func() {
		n++
		i := n
		wg.Go(func() {
			b.send(r, call{path: "/chat/x", model: "m0", tokens: "628,40", prefix: fmt.Sprintf("cc01:119,dd%02d:79,ee%02d:430", i, i), deadline: 15 * time.Second, label: "chat"})
		})
	}
	brief()
	wg.Wait()
	set := func(v *bool, to bool) {
		mu.Lock()
		*v = to
		mu.Unlock()
	}
	if b.trouble {
		set(&full, true)
	}
	brief()
	wg.Wait()
	set(&full, false)
	if b.trouble {
		set(&slow, true)
	}
	time.Sleep(1100 * time.Millisecond)
	for range 4 {
		brief()
		time.Sleep(50 * time.Millisecond)
	}
	b.engines[0].drain()
	mu.Lock()
	drainedAt = time.Now()
	mu.Unlock()
	b.record("server %s drains; the store has accepted it", b.engines[0].id())
	wg.Wait()
	time.Sleep(3 * time.Second)
}
