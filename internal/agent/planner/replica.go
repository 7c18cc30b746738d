package planner

import (
	"strings"
	"time"

	"github.com/cenkalti/backoff/v5"

	apiv1 "github.com/ragwortdoor/ragwortdoor/api/ragwortdoor/v1"
	"github.com/ragwortdoor/ragwortdoor/internal/agent/ledger"
	"github.com/ragwortdoor/ragwortdoor/internal/agent/slots"
)

// held names the slot and generation under which a model was loaded.
type held struct {
	// known is false for a model that was taken over from the engine's
	// inventory and not assigned since.
	known      bool
	key        slots.Key
	generation uint64
}

// span is a stretch of time with its cause; a zero end means that it lasts.
type span struct {
	begin, end time.Time
	cause      string
}

// replica is one model on the engine, loaded or not.
type replica struct {
	model string
	// spec is the slot that allows the model here; nil when none does.
	spec   *apiv1.SlotSpec
	heldAs held
	// epoch is the highest fencing number known for the model.
	epoch uint64

	// waiting holds requests by priority, then arrival.
	waiting []*request
	running int
	load    *load // pending or in flight
	last    *load // ended last
	unload  span  // last unload

	// doomed is true from a release until the unload is confirmed.
	doomed   bool
	releases []uint64

	failures *backoff.ExponentialBackOff // nil while the last load succeeded
	retryAt  time.Time
	// unloadAt delays an unload after a failed one.
	unloadAt time.Time
	// wantedUntil keeps the model for callers that were told to retry.
	wantedUntil time.Time
	idleSince   time.Time

	adapters map[string]*adapter
}

func compareReplicas(a, b *replica) int { return strings.Compare(a.model, b.model) }

func (r *replica) key() ledger.Key { return ledger.Key{Model: r.model} }

func (r *replica) bind(spec *apiv1.SlotSpec) {
	r.heldAs = held{known: true, key: slots.KeyOf(spec), generation: spec.GetGeneration()}
}

// heldUnder reports whether the model may be loaded under a generation of the
// slot that is not above generation.
func (r *replica) heldUnder(key slots.Key, generation uint64) bool {
	if !r.heldAs.known {
		return true
	}
	return r.heldAs.key == key && r.heldAs.generation <= generation
}

func (r *replica) busy() bool { return r.running > 0 || len(r.waiting) > 0 }

func (p *Planner) state(r *replica) ledger.State { return p.ledger.Get(r.key()).State }

// resident reports whether the engine holds the model, or may do so.
func (p *Planner) resident(r *replica) bool {
	state := p.state(r)
	return state != ledger.Absent && state != ledger.Reserved
}

// step moves one replica on after an event.
func (p *Planner) step(now time.Time, r *replica) {
	if p.resident(r) {
		p.cancelLoad(r) // planned before the inventory showed the model
	}
	switch p.state(r) {
	case ledger.Ready:
		if reason := p.mustGo(r); reason != "" {
			p.unloadIdle(now, r, reason)
			return
		}
		p.serve(now, r)
	case ledger.Absent, ledger.Reserved:
		p.confirmReleases(r)
		p.planLoad(now, r)
	}
}

// mustGo tells why a loaded model has to be unloaded once it is idle; empty
// when it may stay.
func (p *Planner) mustGo(r *replica) string {
	switch {
	case r.doomed:
		return "released"
	case !p.gate.Open():
		return ""
	case r.spec == nil:
		return "not assigned"
	case r.spec.GetVersion() != p.ledger.Get(r.key()).Version:
		return "version changed"
	default:
		return ""
	}
}

// unloadIdle orders the unload of a model without running requests.
func (p *Planner) unloadIdle(now time.Time, r *replica, reason string) bool {
	if r.running > 0 || now.Before(r.unloadAt) {
		return false
	}
	if err := p.ledger.BeginUnload(r.key()); err != nil {
		return false // an adapter order is open; its end leads here again
	}
	r.unload = span{begin: now, cause: reason}
	p.sendUnload(r, reason)
	return true
}
