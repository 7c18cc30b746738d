package router

import (
	"math/rand/v2"
	"sync"
	"time"
)

const (
	downMin = 100 * time.Millisecond // after the first failure
	downMax = 2 * time.Second

	drainPause = time.Second // after a host has refused as draining
)

// hostHealth remembers which hosts could not be reached or take no new work.
type hostHealth struct {
	hosts sync.Map // host id -> *hostState
}

type hostState struct {
	mu    sync.Mutex
	until time.Time     // no new work before; guarded by mu
	pause time.Duration // grows with each failure in a row; guarded by mu
}

func newHostHealth() *hostHealth { return &hostHealth{} }

// usable reports whether a host may get work now.
func (h *hostHealth) usable(host string, now time.Time) bool {
	v, known := h.hosts.Load(host)
	if !known {
		return true
	}
	s := v.(*hostState)
	s.mu.Lock()
	defer s.mu.Unlock()
	return !now.Before(s.until)
}

// unreachable notes that a host could not be reached.
func (h *hostHealth) unreachable(host string, now time.Time) {
	s := h.state(host)
	s.mu.Lock()
	defer s.mu.Unlock()
	if now.Before(s.until) {
		return // one of several tries that failed together
	}
	s.pause = min(max(2*s.pause, downMin), downMax)
	s.until = now.Add(s.pause/2 + rand.N(s.pause))
}

// draining notes that a host takes no new work.
func (h *hostHealth) draining(host string, now time.Time) {
	s := h.state(host)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.until = now.Add(drainPause)
}

// reached forgets the failures of a host.
func (h *hostHealth) reached(host string) { h.hosts.Delete(host) }

func (h *hostHealth) state(host string) *hostState {
	v, _ := h.hosts.LoadOrStore(host, &hostState{})
	return v.(*hostState)
}
