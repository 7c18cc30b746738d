package decider

import (
	"context"
	"errors"
	"fmt"
	"time"

	"pgregory.net/rapid"

	apiv1 "github.com/ragwortdoor/ragwortdoor/api/ragwortdoor/v1"
	"github.com/ragwortdoor/ragwortdoor/internal/agent/slots"
	"github.com/ragwortdoor/ragwortdoor/internal/external"
)

// listLag is the greatest lag of the host list.
const listLag = 2 * time.Second

var errSilent = errors.New("sidecar does not answer")

// sidecar is the simplest one that keeps the rules of the wire, with the gate of
// the real one: it loads only slots handed to this boot, and never a generation
// that it has released.
type sidecar struct {
	host     string
	alive    bool
	frozen   bool
	draining bool
	boot     int
	gate     *slots.Gate
	// loaded is what the engine holds; it outlives a restart of the sidecar.
	loaded map[slots.Key]uint64
}

// reset starts a new sidecar process.
func (s *sidecar) reset() {
	s.boot++
	s.gate = slots.New(fmt.Sprintf("%s-%d", s.host, s.boot))
}

func (s *sidecar) answers() bool { return s.alive && !s.frozen }

// push is an AssignSlots on its way to a sidecar.
type push struct {
	to   *sidecar
	list *apiv1.AssignSlots
}

// assign takes over a list, and unloads what it no longer names.
func (s *sidecar) assign(list *apiv1.AssignSlots) {
	if !s.answers() || s.gate.Assign(list) != nil {
		return
	}
	for key, generation := range s.loaded {
		if s.gate.Spec(key, generation) == nil {
			delete(s.loaded, key)
		}
	}
}

// load loads every slot that the gate allows.
func (s *sidecar) load() {
	if !s.answers() {
		return
	}
	for _, spec := range s.gate.Specs() {
		s.loaded[slots.KeyOf(spec)] = spec.GetGeneration()
	}
}

func (s *sidecar) release(o *apiv1.ReleaseSlot) {
	key := slots.Key{Model: o.GetModel(), Slot: o.GetSlot()}
	s.gate.Release(key, o.GetGeneration())
	if s.loaded[key] <= o.GetGeneration() {
		delete(s.loaded, key)
	}
}

// Release implements Sidecars for every router of the machine.
func (m *machine) Release(_ context.Context, host string, o *apiv1.ReleaseSlot) (*apiv1.ReleaseReply, error) {
	s := m.sidecars[host]
	if !s.answers() {
		return nil, errSilent
	}
	outcome := 0
	if !m.calm {
		outcome = rapid.IntRange(0, 3).Draw(m.t, "release")
	}
	if outcome == 1 {
		return &apiv1.ReleaseReply{Reason: "still unloading"}, nil
	}
	s.release(o)
	if outcome == 2 {
		return nil, errSilent // the answer was lost
	}
	return &apiv1.ReleaseReply{Released: true}, nil
}

// listed is the host list from some time on.
type listed struct {
	at      time.Time
	listing external.HostListing
}

// relist records the present hosts as a new revision of the list.
func (m *machine) relist() {
	listing := external.HostListing{Revision: int64(len(m.lists) + 1)}
	for _, host := range hostNames {
		s := m.sidecars[host]
		if !s.alive {
			continue
		}
		state := external.HostLive
		if s.draining {
			state = external.HostLeaving
		}
		listing.Hosts = append(listing.Hosts, external.Host{
			ID: host, Role: external.RoleUpstream, Pool: "pool", State: state,
			FailureDomain: host[:1], MemoryMiB: 1000,
		})
	}
	m.lists = append(m.lists, listed{m.now, listing})
}

// readList returns the list as it was some time ago.
func (m *machine) readList() external.HostListing {
	ago := time.Duration(rapid.IntRange(0, int(listLag/time.Millisecond)).Draw(m.t, "list lag")) * time.Millisecond
	if m.calm {
		ago = 0
	}
	then := m.now.Add(-ago)
	shown := m.lists[0].listing
	for _, l := range m.lists {
		if !l.at.After(then) {
			shown = l.listing
		}
	}
	return shown
}

func (m *machine) drawSidecar() *sidecar {
	return m.sidecars[rapid.SampledFrom(hostNames).Draw(m.t, "host")]
}

// kill ends a host for good or for a time; what it had loaded is gone.
func (m *machine) kill(s *sidecar) {
	s.alive = false
	s.loaded = make(map[slots.Key]uint64)
	m.relist()
}

// revive starts a host that was killed, under its old id.
func (m *machine) revive(s *sidecar) {
	if s.alive {
		return
	}
	s.alive, s.frozen = true, false
	s.reset()
	m.relist()
}

// flap lets a host go and come back: one router sees it again and hands it its
// slots, while another decides from a list that lags or can't be read.
func (m *machine) flap() {
	s, decides, greets := m.drawSidecar(), m.drawRouter(), m.drawRouter()
	m.decideFor(decides)
	m.kill(s)
	m.decideFor(decides)
	m.revive(s)
	m.poll(greets)
	m.greet(greets, s)
	m.poll(greets)
	m.push(greets, s)
	m.deliver()
	s.load()
	m.listDown = rapid.Bool().Draw(m.t, "list down")
	m.decideFor(decides)
	m.check()
}

// decideFor runs a router for some rounds.
func (m *machine) decideFor(r *router) {
	for range rapid.IntRange(1, 4).Draw(m.t, "rounds") {
		m.advance()
		m.poll(r)
		m.round(r)
	}
}

// restart replaces a sidecar process; the engine keeps what it has loaded.
func (m *machine) restart() {
	if s := m.drawSidecar(); s.alive {
		s.frozen = false
		s.reset()
	}
}

func (m *machine) freeze() {
	s := m.drawSidecar()
	s.frozen = !s.frozen
}

func (m *machine) drain() {
	s := m.drawSidecar()
	s.draining = !s.draining
	m.relist()
}
