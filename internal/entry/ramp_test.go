package entry

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
)

// recoveringUpstream asks for a pause once, then takes requests, each for a while. It counts
// the arrivals of each 100 ms after the pause.
type recoveringUpstream struct {
	pause time.Duration

	mu       sync.Mutex
	until    time.Time
	arrivals []time.Time
}

func (u *recoveringUpstream) script(good http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		u.mu.Lock()
		first := u.until.IsZero()
		if first {
			u.until = time.Now().Add(u.pause)
		} else {
			u.arrivals = append(u.arrivals, time.Now())
		}
		u.mu.Unlock()
		if first {
			withHeader("Pause", u.pause.String(), refuse)(w, r)
			return
		}
		time.Sleep(50 * time.Millisecond)
		good(w, r)
	}
}

// perTenth returns the arrivals of each 100 ms after the pause.
func (u *recoveringUpstream) perTenth() []int {
	u.mu.Lock()
	defer u.mu.Unlock()
	counts := make([]int, 10)
	for _, at := range u.arrivals {
		if i := int(at.Sub(u.until) / (100 * time.Millisecond)); i >= 0 && i < len(counts) {
			counts[i]++
		}
	}
	return counts
}

// Callers that were refused until the end of a pause come back together. They must reach the
// upstream by degrees, first one or two, and must all be served.
func TestRequestsComeBackByDegreesAfterAPause(t *testing.T) {
	for _, model := range []string{"", "m"} {
		for _, pause := range []time.Duration{300 * time.Millisecond, time.Second} {
			t.Run(fmt.Sprintf("%s %v", strings.ReplaceAll("service "+model, "service m", "engine"), pause), func(t *testing.T) {
				t.Parallel()
				is := is.New(t)
				u := &recoveringUpstream{pause: pause}
				id, path, good := "plain-1", "/once/a", respond(http.StatusOK, "done")
				if model != "" {
					id, path, good = "engine-1", "/stream/a", events(1, 2, true)
				}
				router := start(t, newUpstream(t, id, u.script(good)))
				router.send(t, path, model, callerTimeout)
				time.Sleep(time.Until(u.until.Add(10 * time.Millisecond)))
				var wg sync.WaitGroup
				var mu sync.Mutex
				served := 0
				for range 40 {
					wg.Go(func() {
						if router.send(t, path, model, callerTimeout).status == http.StatusOK {
							mu.Lock()
							defer mu.Unlock()
							served++
						}
					})
				}
				wg.Wait()
				counts := u.perTenth()
				t.Logf("arrivals of each 100 ms after the pause: %v", counts)
				u.mu.Lock()
				early := 0
				for _, at := range u.arrivals {
					if at.Before(u.arrivals[0].Add(50 * time.Millisecond)) {
						early++
					}
				}
				u.mu.Unlock()
				is.True(early <= 2) // before the first one is answered
				is.Equal(served, 40)
			})
		}
	}
}
