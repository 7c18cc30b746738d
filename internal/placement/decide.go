package placement

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	apiv1 "github.com/ragwortdoor/ragwortdoor/api/ragwortdoor/v1"
)

// urgency orders the orders of one round; lower comes first.
type urgency int

const (
	// urgentUnplaced: the model has no usable slot at all.
	urgentUnplaced urgency = iota
	// urgentFree ends releases, so that slots can be assigned again.
	urgentFree
	// urgentBelowMin adds slots and releases those that hold others up.
	urgentBelowMin
	// urgentMove releases slots that have been replaced.
	urgentMove
	// urgentLoad adds slots for load.
	urgentLoad
	// urgentShrink takes slots back.
	urgentShrink
)

// need is a wanted change before its host is chosen.
type need struct {
	order   Order
	urgency urgency
	// tie varies which models come first among equals.
	tie uint64
	// spread prefers a failure domain without a slot of the model to a cached
	// checkpoint.
	spread bool
}

// addsSlot reports whether the need still wants a host.
func (n need) addsSlot() bool { return n.order.Kind == Create || n.order.Kind == Assign }

// Decide returns the orders that bring the slots nearer to the configuration,
// the most urgent first and at most s.Budget. It gives at most one Create or
// Assign for each model.
func Decide(s State) []Order {
	if s.Config == nil || s.HostReads == 0 || s.Budget <= 0 {
		return nil
	}
	needs := s.needs()
	slices.SortFunc(needs, compareNeeds)
	finder := newHostFinder(s)
	orders := make([]Order, 0, min(len(needs), s.Budget))
	unplaced := 0
	for _, n := range needs {
		if len(orders) == s.Budget {
			break
		}
		if n.addsSlot() {
			// The searches of a round are bounded as well as its orders.
			if unplaced == s.Budget {
				continue
			}
			if !finder.choose(&n) {
				unplaced++
				continue
			}
		}
		orders = append(orders, n.order)
	}
	return orders
}

func compareNeeds(a, b need) int {
	return cmp.Or(
		cmp.Compare(a.urgency, b.urgency),
		cmp.Compare(a.tie, b.tie),
		cmp.Compare(a.order.Model, b.order.Model),
		cmp.Compare(a.order.Slot, b.order.Slot),
	)
}

// needs collects the wanted changes of every model that the caller decides for.
func (s State) needs() []need {
	var needs []need
	configured := make(map[string]bool, len(s.Config.Set.GetModels()))
	for _, m := range s.Config.Set.GetModels() {
		name := m.GetName()
		configured[name] = true
		if !s.mine(name) {
			continue
		}
		p := s.Config.Placement(m.GetPlacement())
		if p != nil {
			needs = append(needs, s.modelNeeds(name, p)...)
		}
	}
	for name := range s.Slots {
		if !configured[name] && s.mine(name) {
			needs = append(needs, s.unconfiguredNeeds(name)...)
		}
	}
	for i := range needs {
		needs[i].tie = s.tie(needs[i].order.Model)
	}
	return needs
}

func (s State) mine(model string) bool { return s.Mine == nil || s.Mine(model) }

func (s State) report(host string) *apiv1.LoadReport {
	if s.Report == nil {
		return nil
	}
	return s.Report(host)
}

func (s State) tie(model string) uint64 {
	var d xxhash.Digest
	d.ResetWithSeed(s.Seed)
	_, _ = d.WriteString(model)
	return d.Sum64()
}
