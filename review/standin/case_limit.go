package main

import (
	"fmt"
	"sync"
	"syscall"
	"time"
)

func init() { cases["limit"] = playLimit }

const (
	// The pages leave an order without an answer and carry it out 2 to 12 s later.
	lateAdapter = 5 * time.Second
	lateUnload  = 4 * time.Second
)

// playLimit: an order to load an adapter gets no answer and is carried out 5 s later. The
// holder is killed meanwhile, and with it the client's connection. The next holder orders
// the same server to unload a model, and that order gets no answer either. All other orders
// are answered.
func playLimit(b *bench) {
	for i := range 12 {
		b.models = append(b.models, fmt.Sprintf("m%d", i))
	}
	var mu sync.Mutex
	armed, adapterLost, unloadLost := false, false, false
	for i := range 3 {
		e := b.newEngine(fmt.Sprintf("lm%d", i), "lm", zones[i], b.models[3*i], b.models[3*i+1], b.models[3*i+2])
		e.answerOrder = func(o order) time.Duration {
			mu.Lock()
			defer mu.Unlock()
			switch {
			case !armed || e != b.engines[0]:
			case o.Adapter == "a2" && !adapterLost:
				adapterLost = true
				return lateAdapter
			case o.OpKind == "evict" && o.Adapter == "" && adapterLost && !unloadLost:
				unloadLost = true
				return lateUnload
			}
			return 0
		}
		b.engines = append(b.engines, e)
	}
	b.config(7, standardRoutes())
	b.startRouters()

	var wg sync.WaitGroup
	n := 0
	chat := func(r *router, model string) {
		n++
		prefix := fmt.Sprintf("aa01:119,bb%02d:79,ff%02d:430", n, n)
		wg.Go(func() {
			b.send(r, call{path: "/chat/x", model: model, tokens: "628,40", prefix: prefix, deadline: 15 * time.Second, label: "chat"})
		})
	}
	for i := range 3 {
		chat(b.routers[i], fmt.Sprintf("m%d/a1", 3*i))
	}
	wg.Wait()
	time.Sleep(time.Second)
	mu.Lock()
	armed = b.trouble
	mu.Unlock()
	holder := b.waitHolder()
	for _, model := range []string{"m0/a3", "m3/a3", "m6/a3"} { // these orders are answered
		chat(holder, model)
	}
	wg.Wait()
	chat(holder, "m0/a2")
	time.Sleep(300 * time.Millisecond)
	if b.trouble {
		holder.signal(syscall.SIGKILL)
		<-holder.exited
		time.AfterFunc(time.Second, holder.start)
	}
	time.Sleep(6 * time.Second)
	b.waitHolder()
	for _, r := range b.routers {
		if r != holder {
			wg.Go(func() {
				b.send(r, call{path: "/brief/x", model: "m10", tokens: "9190,52", prefix: "cc01:2520,dd01:3780,ee01:2890", deadline: 11 * time.Second, label: "brief"})
			})
			break
		}
	}
	wg.Wait()
}
