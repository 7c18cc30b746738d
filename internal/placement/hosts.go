package placement

import (
	"cmp"
	"slices"

	apiv1 "github.com/ragwortdoor/ragwortdoor/api/ragwortdoor/v1"
	"github.com/ragwortdoor/ragwortdoor/internal/external"
	"github.com/ragwortdoor/ragwortdoor/internal/rendezvous"
)

// maxAlternatives bounds the next best hosts that an order names.
const maxAlternatives = 3

// maxOvercommit is the assigned memory, as a multiple of a host's memory, above
// which a cached checkpoint no longer speaks for the host: its idle replicas
// would evict each other too often.
const maxOvercommit = 2.0

// hostFinder chooses hosts for the slots of one round.
type hostFinder struct {
	state State
	// assignedMiB and slots count what each host is assigned, over all models.
	// They are filled at the first choice.
	assignedMiB map[string]uint64
	slots       map[string]int
}

func newHostFinder(s State) *hostFinder { return &hostFinder{state: s} }

// fill counts what the hosts are assigned once a choice is needed.
func (f *hostFinder) fill() {
	if f.slots != nil {
		return
	}
	f.assignedMiB = make(map[string]uint64)
	f.slots = make(map[string]int)
	for model, slots := range f.state.Slots {
		memory := f.version(model).GetMemoryMib()
		for _, slot := range slots {
			if isUsed(slot) {
				f.assign(slot.Row.GetHost(), memory)
			}
		}
	}
}

func (f *hostFinder) assign(host string, memoryMiB uint32) {
	f.assignedMiB[host] += uint64(memoryMiB)
	f.slots[host]++
}

func (f *hostFinder) version(model string) *apiv1.Version {
	return f.state.Config.Version(f.state.Config.Model(model).GetVersion())
}

// candidate is a host that may get a slot, with what speaks for it.
type candidate struct {
	host string
	// domainUse is the number of the model's slots in the host's failure domain.
	domainUse int
	tier      apiv1.CheckpointTier
	// load is the assigned or reserved memory as a share of the host's.
	load  float64
	slots int
	tie   uint64
}

// search holds what is the same for all candidates of one slot.
type search struct {
	model     string
	version   *apiv1.Version
	placement *apiv1.Placement
	// holders are the hosts that hold a slot of the model.
	holders   map[string]bool
	domainUse map[string]int
	spread    bool
}

// choose sets the host of a need. It reports false when no host may take it.
func (f *hostFinder) choose(n *need) bool {
	f.fill()
	q := f.search(n)
	var best []candidate
	for i := range f.state.Listing {
		host := &f.state.Listing[i]
		if f.eligible(host, q) {
			best = insert(best, f.candidate(host, q), q.spread)
		}
	}
	if len(best) == 0 {
		return false
	}
	n.order.Host = best[0].host
	for _, c := range best[1:] {
		n.order.Alternatives = append(n.order.Alternatives, c.host)
	}
	f.assign(n.order.Host, q.version.GetMemoryMib())
	return true
}

func (f *hostFinder) search(n *need) search {
	model := f.state.Config.Model(n.order.Model)
	q := search{
		model:     n.order.Model,
		version:   f.version(n.order.Model),
		placement: f.state.Config.Placement(model.GetPlacement()),
		holders:   make(map[string]bool),
		domainUse: make(map[string]int),
		spread:    n.spread,
	}
	for _, slot := range f.state.Slots[n.order.Model] {
		if !isUsed(slot) {
			continue
		}
		host := slot.Row.GetHost()
		q.holders[host] = true
		q.domainUse[f.state.Hosts[host].FailureDomain]++
	}
	return q
}

func (f *hostFinder) eligible(host *external.Host, q search) bool {
	if !allowed(host, q.placement) || q.holders[host.ID] {
		return false
	}
	if host.MemoryMiB > 0 && host.MemoryMiB < q.version.GetMemoryMib() {
		return false
	}
	return !f.state.draining(host) && !f.state.Silent[host.ID]
}

func (f *hostFinder) candidate(host *external.Host, q search) candidate {
	report := f.state.report(host.ID)
	c := candidate{
		host:      host.ID,
		domainUse: q.domainUse[host.FailureDomain],
		tier:      apiv1.CheckpointTier_CHECKPOINT_TIER_REMOTE,
		slots:     f.slots[host.ID],
		tie:       rendezvous.Weight(q.model, host.ID),
	}
	if host.MemoryMiB > 0 {
		taken := max(f.assignedMiB[host.ID], uint64(report.GetMemoryReservedMib()))
		c.load = float64(taken+uint64(q.version.GetMemoryMib())) / float64(host.MemoryMiB)
	}
	if c.load <= maxOvercommit {
		c.tier = max(c.tier, cachedTier(report, q.version.GetCheckpoint()))
	}
	return c
}

// cachedTier returns the nearest place from which a host can load a checkpoint.
func cachedTier(report *apiv1.LoadReport, checkpoint string) apiv1.CheckpointTier {
	for _, cached := range report.GetCached() {
		if cached.GetCheckpoint() == checkpoint {
			return cached.GetTier()
		}
	}
	return apiv1.CheckpointTier_CHECKPOINT_TIER_REMOTE
}

// compareCandidates returns a negative number when a is better than b.
func compareCandidates(a, b candidate, spread bool) int {
	byDomain := cmp.Compare(a.domainUse, b.domainUse)
	byTier := cmp.Compare(b.tier, a.tier)
	first, second := byTier, byDomain
	if spread {
		first, second = byDomain, byTier
	}
	return cmp.Or(
		first,
		second,
		cmp.Compare(a.load, b.load),
		cmp.Compare(a.slots, b.slots),
		cmp.Compare(a.tie, b.tie),
	)
}

// insert keeps the best candidates in order.
func insert(best []candidate, c candidate, spread bool) []candidate {
	i := len(best)
	for i > 0 && compareCandidates(c, best[i-1], spread) < 0 {
		i--
	}
	if i > maxAlternatives {
		return best
	}
	best = slices.Insert(best, i, c)
	return best[:min(len(best), maxAlternatives+1)]
}
