package placement

import (
	"time"

	apiv1 "github.com/ragwortdoor/ragwortdoor/api/ragwortdoor/v1"
	"github.com/ragwortdoor/ragwortdoor/internal/view"
)

// Memory is what a decider has seen over its rounds: since when a host is
// unlisted, a slot is releasing and a model's load calls for a change. It is
// not safe for concurrent use.
type Memory struct {
	hostReads uint64
	// unlisted holds the hosts of slots that the host list doesn't name.
	unlisted map[string]absence
	// releasing is when a slot was first seen releasing on an unlisted host.
	releasing map[SlotID]time.Time
	// silent is when a host was first seen silent.
	silent map[string]time.Time
	loads  map[string]loadMemory
}

// absence is the span over which every read of the host list missed a host.
type absence struct {
	since, last time.Time
}

// NewMemory returns an empty memory.
func NewMemory() *Memory {
	return &Memory{
		unlisted:  make(map[string]absence),
		releasing: make(map[SlotID]time.Time),
		silent:    make(map[string]time.Time),
		loads:     make(map[string]loadMemory),
	}
}

// Observe takes note of a state. Call it once before each Decide.
func (m *Memory) Observe(s State) {
	if s.HostReads != m.hostReads {
		m.hostReads = s.HostReads
		m.observeHosts(s)
	}
	m.observeReleasing(s)
	m.observeSilent(s)
	m.observeLoads(s)
}

// observeHosts looks for the slots' hosts in a list that was just read.
func (m *Memory) observeHosts(s State) {
	missing := make(map[string]absence)
	eachUsed(s, func(slot view.Slot) {
		host := slot.Row.GetHost()
		if _, listed := s.Hosts[host]; listed {
			return
		}
		a, known := m.unlisted[host]
		if !known {
			a.since = s.Now
		}
		a.last = s.Now
		missing[host] = a
	})
	m.unlisted = missing
}

// observeReleasing notes the releasing slots whose host is unlisted.
func (m *Memory) observeReleasing(s State) {
	seen := make(map[SlotID]time.Time)
	eachUsed(s, func(slot view.Slot) {
		if slot.Row.GetState() != apiv1.SlotState_SLOT_STATE_RELEASING {
			return
		}
		if _, missing := m.unlisted[slot.Row.GetHost()]; !missing {
			return
		}
		id := IDOf(slot)
		since, known := m.releasing[id]
		if !known {
			since = s.Now
		}
		seen[id] = since
	})
	m.releasing = seen
}

func (m *Memory) observeSilent(s State) {
	silent := make(map[string]time.Time, len(s.Silent))
	for host := range s.Silent {
		since, known := m.silent[host]
		if !known {
			since = s.Now
		}
		silent[host] = since
	}
	m.silent = silent
}

// silentFor is how long a host has been silent.
func (m *Memory) silentFor(host string, now time.Time) time.Duration {
	since, silent := m.silent[host]
	if !silent {
		return 0
	}
	return now.Sub(since)
}

// unlistedFor is the span over which the host list was read without the host.
func (m *Memory) unlistedFor(host string) time.Duration {
	a := m.unlisted[host]
	return a.last.Sub(a.since)
}

// goneFor is the span over which the host list was read without the host while
// its slot was releasing already. A host that came back before the release
// could still have got the slot; it is listed again within the list's lag.
func (m *Memory) goneFor(id SlotID, host string) time.Duration {
	a, missing := m.unlisted[host]
	since, releasing := m.releasing[id]
	if !missing || !releasing {
		return 0
	}
	if since.Before(a.since) {
		since = a.since
	}
	return a.last.Sub(since)
}

// eachUsed calls f with every slot that the caller decides for and that is not
// free.
func eachUsed(s State, f func(view.Slot)) {
	for model, slots := range s.Slots {
		if !s.mine(model) {
			continue
		}
		for _, slot := range slots {
			if isUsed(slot) {
				f(slot)
			}
		}
	}
}

func isUsed(slot view.Slot) bool {
	return slot.Row.GetState() != apiv1.SlotState_SLOT_STATE_FREE
}

// IDOf returns the generation of a slot that a row stands for.
func IDOf(slot view.Slot) SlotID {
	return SlotID{slot.Row.GetModel(), slot.Row.GetSlot(), slot.Row.GetGeneration()}
}
