package route

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// State is where a replica is in its life.
type State int

// States of a replica, worst first.
const (
	StateCold State = iota
	StateLoading
	StateReady
)

// Candidate is one assigned slot on a live host.
type Candidate struct {
	Host string
	// HostHash is HashHost(Host).
	HostHash   uint64
	Slot       uint32
	Generation uint64
	State      State
	// InFlight is the expected number of requests on the replica, and Sent the
	// number of those from this router.
	InFlight int
	Sent     int
	// Room is false when this router may not send it more now.
	Room bool
	// Paused is true when that is due to a recent refusal, not to its load.
	Paused bool
	// ReadyIn is the expected time until it can answer.
	ReadyIn time.Duration
	// HasAdapter is true when the wanted adapter is loaded.
	HasAdapter bool
}

// Reason tells why a candidate was chosen.
type Reason string

// Reasons of a choice.
const (
	ReasonAffinity Reason = "prefix affinity"
	ReasonLoad     Reason = "less load than the affinity choice"
	ReasonRoom     Reason = "only ready replica with room"
	ReasonLoading  Reason = "lowest slot that is loading"
	ReasonCold     Reason = "lowest slot, none is ready"
	ReasonScaleOut Reason = "ready replicas are full, loads another slot"
	ReasonRetry    Reason = "same host as the earlier try"
)

// Wish narrows a choice.
type Wish struct {
	// Key is the affinity key, see AffinityKey.
	Key uint64
	// Prefer is the host of an earlier try that is taken if it has a slot.
	Prefer string
	// Only is set when no other host than Prefer will do.
	Only bool
	// Avoid is a host that is taken only when there is no other.
	Avoid string
	// LoadOnly takes the less loaded of the two replicas that Key selects, also
	// when the difference is small.
	LoadOnly bool
}

// affinitySlack is the number of requests by which the affinity choice may
// exceed the second one before the second is taken.
const affinitySlack = 4

// Pick chooses among the candidates, which are ordered by slot. It returns the
// index of the choice, or -1 when none has room. The choice among cold slots
// depends on the candidates alone, so that all routers load the same one.
func Pick(candidates []Candidate, wish Wish) (int, Reason) {
	if wish.Prefer != "" {
		if i := onHost(candidates, wish.Prefer); i >= 0 {
			return i, ReasonRetry
		}
		if wish.Only {
			return -1, ""
		}
	}
	if i, reason := pick(candidates, wish, wish.Avoid); i >= 0 || wish.Avoid == "" {
		return i, reason
	}
	return pick(candidates, wish, "")
}

func onHost(candidates []Candidate, host string) int {
	for i := range candidates {
		if candidates[i].Host == host {
			return i
		}
	}
	return -1
}

func pick(candidates []Candidate, wish Wish, avoid string) (int, Reason) {
	i, reason := pickReady(candidates, wish, avoid)
	if i >= 0 {
		return i, reason
	}
	ready, paused := readiness(candidates, avoid)
	if paused {
		return -1, ""
	}
	i = pickCold(candidates, avoid)
	if i < 0 || !candidates[i].Room {
		return -1, ""
	}
	switch {
	case !ready && candidates[i].State == StateLoading:
		return i, ReasonLoading
	case !ready:
		return i, ReasonCold
	case candidates[i].InFlight == 0:
		// One request is enough to start the load; the others wait for the
		// replicas that are ready.
		return i, ReasonScaleOut
	default:
		return -1, ""
	}
}

// readiness reports whether a replica is ready, and whether one that is will
// soon take work again.
func readiness(candidates []Candidate, avoid string) (ready, paused bool) {
	for i := range candidates {
		c := &candidates[i]
		if c.State == StateReady && c.Host != avoid {
			ready = true
			paused = paused || c.Paused
		}
	}
	return ready, paused
}

// pickReady takes the two best ready replicas with room by rendezvous hashing
// and of these the one with less load.
func pickReady(candidates []Candidate, wish Wish, avoid string) (chosen int, reason Reason) {
	first, second := -1, -1
	var firstScore, secondScore uint64
	for i := range candidates {
		c := &candidates[i]
		if c.State != StateReady || !c.Room || c.Host == avoid {
			continue
		}
		score := mix(wish.Key ^ c.HostHash)
		switch {
		case first < 0 || score > firstScore:
			second, secondScore = first, firstScore
			first, firstScore = i, score
		case second < 0 || score > secondScore:
			second, secondScore = i, score
		}
	}
	slack := affinitySlack
	if wish.LoadOnly {
		slack = 0
	}
	switch {
	case first < 0:
		return -1, ""
	case second < 0:
		return first, ReasonRoom
	case candidates[first].InFlight > candidates[second].InFlight+slack:
		return second, ReasonLoad
	default:
		return first, ReasonAffinity
	}
}

// pickCold returns the lowest slot that is loading, else the lowest one that
// is not ready.
func pickCold(candidates []Candidate, avoid string) int {
	cold := -1
	for i := range candidates {
		c := &candidates[i]
		if c.State == StateReady || c.Host == avoid {
			continue
		}
		if c.State == StateLoading {
			return i
		}
		if cold < 0 {
			cold = i
		}
	}
	return cold
}

// affinityBytes is the length of the prompt prefix that decides the affinity.
const affinityBytes = 256

// AffinityKey hashes what an engine's prefix cache is shared by: model, adapter
// and the start of the prompt.
func AffinityKey(model, adapter, prompt string) uint64 {
	if len(prompt) > affinityBytes {
		prompt = prompt[:affinityBytes]
	}
	key := xxhash.Sum64String(model)
	key = mix(key) ^ xxhash.Sum64String(adapter)
	return mix(key) ^ xxhash.Sum64String(prompt)
}

// HashHost hashes a host id for Candidate.HostHash.
func HashHost(host string) uint64 { return xxhash.Sum64String(host) }

// mix spreads the bits of a hash (the finalizer of MurmurHash3).
func mix(h uint64) uint64 {
	h ^= h >> 33
	h *= 0xff51afd7ed558ccd
	h ^= h >> 33
	h *= 0xc4ceb9fe1a85ec53
	h ^= h >> 33
	return h
}
