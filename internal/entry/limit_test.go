package entry

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"
)

const (
	// limitWindow and limitGrace are those of the platform's rule: from limitGrace after an
	// upstream first named a limit, a window holds at most limitFactor times what the limit
	// allows, and limitSlack requests more.
	limitWindow = 4 * time.Second
	limitGrace  = 3 * time.Second
	limitFactor = 1.5
	limitSlack  = 5
	// limitUse is the least part of a limit that is served when the demand is above it.
	limitUse = 0.75
)

// limitedServer is an upstream that names a limit in all its responses and notes the arrivals.
type limitedServer struct {
	*upstream
	perSecond float64
	mu        sync.Mutex
	arrivals  []time.Time
}

func newLimitedServer(t testing.TB, id string, perSecond float64) *limitedServer {
	s := &limitedServer{perSecond: perSecond}
	answer := respond(http.StatusOK, "id: 1\ndata: done\n\n")
	s.upstream = newUpstream(t, id, func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		s.arrivals = append(s.arrivals, time.Now())
		s.mu.Unlock()
		w.Header().Set("Limit", strconv.FormatFloat(s.perSecond, 'g', -1, 64))
		answer(w, r)
	})
	return s
}

// check checks the arrivals until the end of the demand against the rule, and that enough of the
// limit was used.
func (s *limitedServer) check(t *testing.T, end time.Time) {
	t.Helper()
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.arrivals) == 0 {
		t.Fatalf("%s got no request", s.id)
	}
	from := s.arrivals[0].Add(limitGrace)
	allowed := limitFactor*s.perSecond*limitWindow.Seconds() + limitSlack
	inGrace := 0
	for i, start := range s.arrivals {
		if start.Before(from) {
			inGrace++
			continue
		}
		n := 0
		for _, at := range s.arrivals[i:] {
			if at.Sub(start) < limitWindow {
				n++
			}
		}
		if float64(n) > allowed {
			t.Errorf("%s, which takes %g requests a second, got %d in %v; allowed %g", s.id, s.perSecond, n, limitWindow, allowed)
			return
		}
	}
	served := float64(len(s.arrivals) - inGrace)
	if due := limitUse*s.perSecond*end.Sub(from).Seconds() - 1; served < due {
		t.Errorf("%s, which takes %g requests a second, got %g in %v; due are %.1f", s.id, s.perSecond, served, end.Sub(from), due)
	}
}

// demand sends requests to routers in turn, at a rate, until the end. Each waits for its response
// or is refused; no caller heeds Retry-After.
func demand(t testing.TB, routers []*testRouter, path, model string, perSecond float64, end time.Time) {
	var wg sync.WaitGroup
	ticker := time.NewTicker(time.Duration(float64(time.Second) / perSecond))
	defer ticker.Stop()
	for n := 0; time.Now().Before(end); n++ {
		<-ticker.C
		req, err := http.NewRequest(http.MethodPost, routers[n%len(routers)].url+path, strings.NewReader("the body"))
		if err != nil {
			t.Fatal(err)
		}
		req.Header.Set("Id", fmt.Sprintf("%s-%s-%d", t.Name(), model, n))
		if model != "" {
			req.Header.Set("Model", model)
		}
		wg.Add(1)
		go func() {
			defer wg.Done()
			exchangeOnce(req, callerTimeout)
		}()
	}
	wg.Wait()
}

// Guards against requests above the limit that an upstream names, summed over all routers, and
// against leaving much of it unused.
func TestUpstreamsGetTheRateThatTheyName(t *testing.T) {
	for name, c := range map[string]struct {
		prefix, path, model string
		atOneRouter         bool
	}{
		"plain service":              {prefix: "app", path: "/once/x"},
		"plain service, one router":  {prefix: "app", path: "/again/x", atOneRouter: true},
		"engines":                    {prefix: "engine", path: "/stream/x", model: "m"},
		"engines, demand one router": {prefix: "engine", path: "/resume/x", model: "m", atOneRouter: true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var servers []*limitedServer
			source := &fakeSource{draining: map[string]bool{}}
			total := 0.0
			for i, rate := range []float64{0.5, 1, 4} {
				s := newLimitedServer(t, fmt.Sprint(c.prefix, "-", i+1), rate)
				servers = append(servers, s)
				source.upstreams = append(source.upstreams, s.upstream)
				total += rate
			}
			routers := startFleet(t, 3, source, fakeEngines{})
			if c.atOneRouter {
				routers = routers[2:]
			}
			end := time.Now().Add(limitGrace + 2*limitWindow)
			demand(t, routers, c.path, c.model, 10*total, end)
			for _, s := range servers {
				s.check(t, end)
			}
		})
	}
}

// Guards against requests that wait for a limit, or are refused, although another upstream of
// their service has none.
func TestWhatExceedsALimitGoesToOtherUpstreams(t *testing.T) {
	t.Parallel()
	limited := newLimitedServer(t, "app-1", 1)
	other := newUpstream(t, "app-2", respond(http.StatusOK, "done"))
	routers := startFleet(t, 3, &fakeSource{upstreams: []*upstream{limited.upstream, other}, draining: map[string]bool{}}, fakeEngines{})
	end := time.Now().Add(limitGrace + limitWindow)
	for n := 0; time.Now().Before(end); n++ {
		began := time.Now()
		got := routers[n%len(routers)].sendAs(t, fmt.Sprint("r-", n), "/once/x", "")
		if got.status != http.StatusOK || time.Since(began) > 500*time.Millisecond {
			t.Fatalf("request %d: status %d, error %v after %v", n, got.status, got.err, time.Since(began))
		}
		time.Sleep(5 * time.Millisecond)
	}
	limited.check(t, end)
}
