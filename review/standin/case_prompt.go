package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"
)

func init() {
	cases["prompt"] = func(b *bench) {
		b.record("first play: the server crashes before the first byte of its answer; requests with the part come in groups")
		playPrompt(b, false)
		b.reset()
		b.record("second play: the server crashes as it writes its second event; requests with the part come one by one")
		playPrompt(b, true)
	}
}

// fatalPart is the part of prompts that crashes each server that begins to write an answer.
const fatalPart = "bad0beef"

// fatalLog has the arrivals at servers of requests with the part, and the crashes.
type fatalLog struct {
	mu       sync.Mutex
	arrivals []fatalArrival
	crashes  []time.Time
}

type fatalArrival struct {
	at time.Time
	id string
}

// playPrompt sends requests with a part that crashes servers, and sound ones beside them.
// Without begun, the server crashes before the first byte of its answer, and requests with
// the part come in groups. With it, the server crashes as it writes its second event, and
// they come one by one.
func playPrompt(b *bench, begun bool) {
	for i := range 6 {
		b.models = append(b.models, fmt.Sprintf("m%d", i))
	}
	log := &fatalLog{}
	for i := range 12 {
		e := b.newEngine(fmt.Sprintf("lm%d", i), "lm", zones[i%4], b.models[:3]...)
		e.serve = func(e *engine, w http.ResponseWriter, r *http.Request) bool {
			if !b.trouble || !strings.Contains(r.Header.Get("X-Prompt-Prefix"), fatalPart+":") {
				return false
			}
			id := r.Header.Get("X-Request-Id")
			log.mu.Lock()
			log.arrivals = append(log.arrivals, fatalArrival{time.Now(), id})
			log.mu.Unlock()
			b.record("server %s gets %s, which has the part", e.id(), id)
			if begun {
				e.generate(w, r, func(n int) bool {
					if n < 2 {
						return true
					}
					e.fail(log, id)
					return false
				})
				return true
			}
			if sleepFor(r, e.firstEvent) {
				e.fail(log, id)
			}
			panic(http.ErrAbortHandler)
		}
		b.engines = append(b.engines, e)
	}
	b.config(7, standardRoutes())
	b.startRouters()

	// Sound requests of the same route, with the same first part.
	end := time.Now().Add(25 * time.Second)
	var wg sync.WaitGroup
	for i := range 4 {
		wg.Go(func() {
			for n := 0; time.Now().Before(end); n++ {
				prefix := fmt.Sprintf("5c1e07a2:2520,91bd%04d:3780,%d%05d:2890", n%5, i, n)
				b.send(b.routers[i], call{path: "/digest/x", model: "m0", tokens: "9190,52", prefix: prefix, deadline: 5 * time.Second, label: "sound"})
				time.Sleep(time.Duration(200+rand.IntN(200)) * time.Millisecond)
			}
		})
	}
	time.Sleep(3 * time.Second)
	fatal := func(n int) {
		wg.Go(func() {
			prefix := fmt.Sprintf("5c1e07a2:2520,%s:3780,f%06d:2890", fatalPart, n)
			b.send(b.routers[n%4], call{path: "/digest/x", model: "m0", tokens: "9190,52", prefix: prefix, deadline: 5 * time.Second, label: "fatal"})
		})
	}
	n := 0
	if begun {
		for ; n < 14; n++ {
			fatal(n)
			time.Sleep(1200 * time.Millisecond)
		}
	} else {
		for range 4 {
			for range 8 {
				fatal(n)
				n++
			}
			time.Sleep(4 * time.Second)
		}
	}
	wg.Wait()
	log.judge(b)
}

// fail ends the server; it is back after 4 s, empty and as another incarnation.
func (e *engine) fail(log *fatalLog, id string) {
	name := e.id()
	if !e.crash() {
		return
	}
	log.mu.Lock()
	log.crashes = append(log.crashes, time.Now())
	n := len(log.crashes)
	log.mu.Unlock()
	e.c.record("server %s crashes under %s, crash %d", name, id, n)
	time.AfterFunc(4*time.Second, func() {
		if e.c.plays(e.store) {
			e.store.remove("servers", e.id())
			e.start()
		}
	})
}

// judge counts the requests with the part that reached servers later than touchMs after the
// fifth crash. No router was disturbed, so all of them were in touch.
func (l *fatalLog) judge(b *bench) {
	l.mu.Lock()
	defer l.mu.Unlock()
	b.record("%d requests with the part reached servers, %d crashes", len(l.arrivals), len(l.crashes))
	if len(l.crashes) < 5 {
		return
	}
	late := 0
	for _, a := range l.arrivals {
		if a.at.After(l.crashes[4].Add(touch)) {
			late++
			b.record("late   %s reached a server %.2f s after the fifth crash", a.id, a.at.Sub(l.crashes[4]).Seconds())
		}
	}
	if late > 3 {
		b.broken("BUDGET: %d requests with the part reached servers later than touchMs after the fifth crash; 3 may", late)
	}
}
