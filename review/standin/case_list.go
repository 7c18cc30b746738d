package main

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

func init() { cases["stale-list"] = playStaleList }

const (
	// answerHeld is how long the answer to the list is under way.
	answerHeld = 1200 * time.Millisecond
	// servesOn is how long the leaving server serves after its entry is removed.
	servesOn = 11 * time.Second
)

// serveBooking is a server of the booking application: it answers after 60 ms.
func serveBooking(e *engine, w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	if !sleepFor(r, 60*time.Millisecond) {
		return
	}
	body := strings.Repeat("x", 800)
	w.Header().Set("X-Server-Stamp", "stamp-"+e.id()+"-"+r.Header.Get("X-Request-Id"))
	w.Header().Set("X-Server-Load", "1,0,6")
	w.Header().Set("Content-Length", fmt.Sprint(len(body)))
	_, _ = io.WriteString(w, body)
}

// playStaleList: a router starts again, and the answer to its first read of the list of
// servers is under way for 1.2 s. A server leaves just after the store has made that answer.
func playStaleList(b *bench) {
	b.models = []string{"m0", "m1", "m2"}
	var mu sync.Mutex
	var removedAt, boundFrom time.Time
	var started *router
	var leaving *engine
	for i := range 4 {
		e := b.newEngine(fmt.Sprintf("app%d", i), "app", zones[i])
		e.plain = true
		e.serve = func(e *engine, w http.ResponseWriter, r *http.Request) bool {
			mu.Lock()
			since, bound, left := removedAt, boundFrom, e == leaving
			mu.Unlock()
			now := time.Now()
			if left && !since.IsZero() {
				b.record("server %s, whose entry is removed, gets %s", e.id(), r.Header.Get("X-Request-Id"))
				if now.After(since.Add(drain)) && !bound.IsZero() && now.After(bound) {
					b.broken("DRAIN: %s reaches %s %.2f s after the store had removed its entry, from a router in touch", r.Header.Get("X-Request-Id"), e.id(), now.Sub(since).Seconds())
				}
			}
			serveBooking(e, w, r)
			return true
		}
		b.engines = append(b.engines, e)
	}
	for i := range 4 {
		b.engines = append(b.engines, b.newEngine(fmt.Sprintf("lm%d", i), "lm", zones[i], b.models...))
	}
	b.config(7, standardRoutes())
	b.startRouters()
	holder := b.waitHolder()
	mu.Lock()
	for i, r := range b.routers[:2] {
		if r != holder {
			started, leaving = r, b.engines[i] // in the router's zone
		}
	}
	mu.Unlock()
	leave := func() {
		mu.Lock()
		defer mu.Unlock()
		if !removedAt.IsZero() {
			return
		}
		leaving.mu.Lock()
		leaving.quiet = true
		leaving.mu.Unlock()
		b.store.remove("servers", leaving.id())
		removedAt = time.Now()
		b.record("server %s leaves: its entry is removed, it serves on for %s", leaving.id(), servesOn)
	}
	started.signal(syscall.SIGKILL)
	<-started.exited
	time.Sleep(time.Second)
	held := false
	started.proxy.setHold(func(request []byte) (bool, time.Duration, func()) {
		if held || !bytes.Contains(request, []byte("/rows-get?")) || !bytes.Contains(request, []byte("table=servers")) {
			return false, 0, nil
		}
		held = true
		b.record("proxy  the store's answer to the list for %s is under way", started.node)
		if !b.trouble {
			return true, 0, leave
		}
		return true, answerHeld, leave
	})
	started.start()
	startedAt := time.Now()
	b.waitReady()
	mu.Lock()
	// In touch again touchMs after its start and the delay on its link.
	boundFrom = startedAt.Add(answerHeld + 200*time.Millisecond + touch)
	mu.Unlock()
	var wg sync.WaitGroup
	for time.Since(startedAt) < 10*time.Second {
		wg.Go(func() {
			b.send(started, call{path: "/book/x", deadline: 3 * time.Second, body: "booking", label: "booking"})
		})
		time.Sleep(200 * time.Millisecond)
	}
	wg.Wait()
	leaving.crash()
	b.record("server %s is gone", leaving.id())
	for range 10 {
		b.send(started, call{path: "/book/x", deadline: 3 * time.Second, body: "booking", label: "booking"})
	}
}
