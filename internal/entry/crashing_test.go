package entry

import (
	"context"
	"errors"
	"fmt"
	"math"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/ragwortdoor/ragwortdoor/internal/fleet"
)

const (
	// learningTime is how long after the fifth crash requests with the part may still reach
	// engines; maxRequestsAfter is how many of them may later.
	learningTime     = 3 * time.Second
	maxRequestsAfter = 3
	// engineRestartTime is how long an engine is away after a crash.
	engineRestartTime = 300 * time.Millisecond
)

// crashingEngines are engines that end when they begin a response to a request that has
// fatalPart in its prompt, and come back with a new id.
type crashingEngines struct {
	fakeEngines
	t         *testing.T
	fatalPart string
	source    *fakeSource

	mu      sync.Mutex
	started int
	down    map[string]bool
	fatal   []time.Time // arrivals of requests with fatalPart
	ends    []time.Time
}

func newCrashingEngines(t *testing.T, fatalPart string, count int) *crashingEngines {
	c := &crashingEngines{t: t, fatalPart: fatalPart, source: &fakeSource{draining: map[string]bool{}}, down: make(map[string]bool)}
	for range count {
		c.startEngine()
	}
	return c
}

func (c *crashingEngines) startEngine() {
	c.mu.Lock()
	c.started++
	id := fmt.Sprint("engine-", c.started)
	c.mu.Unlock()
	up := newUpstream(c.t, id, func(w http.ResponseWriter, r *http.Request) { c.serve(id, w, r) })
	c.source.mu.Lock()
	defer c.source.mu.Unlock()
	c.source.upstreams = append(c.source.upstreams, up)
}

func (c *crashingEngines) serve(id string, w http.ResponseWriter, r *http.Request) {
	c.mu.Lock()
	fatal := strings.Contains(r.Header.Get("Parts"), c.fatalPart)
	if fatal {
		c.fatal = append(c.fatal, time.Now())
	}
	if c.down[id] {
		c.mu.Unlock()
		panic(http.ErrAbortHandler)
	}
	c.mu.Unlock()
	if !fatal {
		events(1, 2, true)(w, r)
		return
	}
	w.Header().Set("Signed", "yes")
	w.WriteHeader(http.StatusOK)
	w.(http.Flusher).Flush()
	c.end(id)
	panic(http.ErrAbortHandler)
}

// end ends an engine and starts another one later.
func (c *crashingEngines) end(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.down[id] {
		return
	}
	c.down[id] = true
	c.ends = append(c.ends, time.Now())
	time.AfterFunc(engineRestartTime, func() {
		c.source.remove(id)
		c.startEngine()
	})
}

// Inspect implements fleet.Engines.
func (c *crashingEngines) Inspect(ctx context.Context, up *fleet.Upstream) (fleet.Inventory, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.down[up.ID] {
		return fleet.Inventory{}, errors.New("connection refused")
	}
	return c.fakeEngines.Inspect(ctx, up)
}

// fatalAfter returns the number of requests with fatalPart that arrived later than
// learningTime after the fifth end, and the number of ends.
func (c *crashingEngines) fatalAfter() (requests, ends int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, at := range c.fatal {
		if len(c.ends) >= 5 && at.Sub(c.ends[4]) > learningTime {
			requests++
		}
	}
	return requests, len(c.ends)
}

// Requests that have one part of their prompt in common each end the engine that begins to
// respond to them (issue 31). They must be kept from further engines once that is plain;
// requests that share the other parts must be served.
func TestPartThatCrashesEnginesIsBlocked(t *testing.T) {
	for _, path := range []string{"/stream/a", "/resume/a"} {
		t.Run(path, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			engines := newCrashingEngines(t, "fatal", 6)
			router := startWith(t, engines.source, engines)
			var wg sync.WaitGroup
			end := time.Now().Add(2*learningTime + 4*time.Second)
			for i := 0; time.Now().Before(end); i++ {
				wg.Go(func() {
					router.sendPrompt(t, path, "common,fatal,own-"+strconv.Itoa(i))
				})
				time.Sleep(200 * time.Millisecond)
			}
			wg.Wait()
			after, ends := engines.fatalAfter()
			t.Logf("%d engines ended, %d requests with the part arrived after", ends, after)
			is.True(after <= maxRequestsAfter)
			served := 0
			for i := range 20 {
				if router.sendPrompt(t, path, "common,other,sound-"+strconv.Itoa(i)).status == http.StatusOK {
					served++
				}
			}
			is.True(served > 10)
			router.process.client.Follow("127.0.0.1:1", math.MaxInt64) // no scheduler listens there
			is.Equal(router.sendPrompt(t, path, "common,fatal,own").status, http.StatusServiceUnavailable)
			is.Equal(router.sendPrompt(t, path, "common,other,sound").status, http.StatusOK)
			now, _ := engines.fatalAfter()
			is.Equal(now, after)
		})
	}
}
