// Package placement decides which hosts hold the slots of each model. It is
// pure: a State goes in, Orders come out; it does no I/O and reads no clock.
package placement

import (
	"time"

	apiv1 "github.com/ragwortdoor/ragwortdoor/api/ragwortdoor/v1"
	"github.com/ragwortdoor/ragwortdoor/internal/config"
	"github.com/ragwortdoor/ragwortdoor/internal/external"
	"github.com/ragwortdoor/ragwortdoor/internal/view"
)

// SlotID names one generation of a slot.
type SlotID struct {
	Model      string
	Slot       uint32
	Generation uint64
}

// State is the input of Decide. Decide changes nothing in it.
type State struct {
	// Config is the configuration in force; nil gives no orders.
	Config *config.Index
	// Slots holds the slot rows of every model, ordered by slot number.
	Slots map[string][]view.Slot
	// Listing is the last host list.
	Listing []external.Host
	// Hosts is the same list by id.
	Hosts map[string]external.Host
	// HostReads counts how often the host list was read; 0 gives no orders.
	HostReads uint64
	// Drains holds the hosts that an operator drains.
	Drains map[string]bool
	// Report returns the latest load report of a host, or nil.
	Report func(host string) *apiv1.LoadReport
	// Silent holds the listed hosts that do not answer.
	Silent map[string]bool
	// Confirmed holds the releases that a sidecar has confirmed.
	Confirmed map[SlotID]bool
	// Mine reports whether the caller decides for a model; nil means all.
	Mine func(model string) bool
	// Now is the time of the decision.
	Now time.Time
	// Memory is what earlier rounds have seen; it must not be nil and must have
	// observed this state.
	Memory *Memory
	// Budget is the largest number of orders.
	Budget int
	// Seed varies which models come first when the budget is short.
	Seed uint64
	// Timing holds the waiting times of the rules.
	Timing Timing
}

// Timing holds the waiting times of the rules.
type Timing struct {
	// SilentAfter is how long a host is silent before its slots are made up for
	// elsewhere.
	SilentAfter time.Duration
	// UnlistedRelease is how long a host is unlisted before its slots are
	// released.
	UnlistedRelease time.Duration
	// HostGone is how long a releasing slot's host stays unlisted before the
	// slot is freed. It must exceed the lag of the host list.
	HostGone time.Duration
	// ScaleUp is how long replicas are above target before a slot is added.
	ScaleUp time.Duration
	// ScaleDown is how long a model needs fewer slots before one is taken back.
	ScaleDown time.Duration
	// CoolDown is the shortest time between two changes of a model's slot count
	// that follow its load.
	CoolDown time.Duration
}

// DefaultTiming returns the waiting times used in production.
func DefaultTiming() Timing {
	return Timing{
		SilentAfter:     5 * time.Second,
		UnlistedRelease: 2 * time.Second,
		HostGone:        5 * time.Second,
		ScaleUp:         2 * time.Second,
		ScaleDown:       60 * time.Second,
		CoolDown:        10 * time.Second,
	}
}
