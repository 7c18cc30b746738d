package agent

import (
	"sync/atomic"

	"github.com/ragwortdoor/ragwortdoor/internal/agent/planner"
)

// counters are the agent's own; each is independent of the others.
type counters struct {
	served, refusals, drained     atomic.Uint64
	resumes, reloads, strayEvents atomic.Uint64
	duplicateTokens, tokenGaps    atomic.Uint64
	calls, callFailures           atomic.Uint64
	inventoryFailures, badFrames  atomic.Uint64
	reports                       atomic.Uint64
}

// Stats are the counters of an Agent, for expvar.
type Stats struct {
	// Engine holds the counters of orders and admissions.
	Engine planner.Stats `json:"engine"`
	// Served counts generations that ended in a StreamEnd.
	Served uint64 `json:"served"`
	// Refusals counts generations that ended in a Refusal after admission began.
	Refusals uint64 `json:"refusals"`
	// Drained counts requests and calls refused because the host takes none.
	Drained uint64 `json:"drained"`
	// Resumes counts streams taken up again after the engine cut them.
	Resumes uint64 `json:"resumes"`
	// Reloads counts requests that waited again for a model that the engine lost.
	Reloads uint64 `json:"reloads"`
	// StrayEvents counts token events of another request.
	StrayEvents uint64 `json:"stray_events"`
	// DuplicateTokens counts tokens that were already forwarded.
	DuplicateTokens uint64 `json:"duplicate_tokens"`
	// TokenGaps counts streams in which a token was missing.
	TokenGaps uint64 `json:"token_gaps"`
	// Calls counts calls of the service that were answered.
	Calls uint64 `json:"calls"`
	// CallFailures counts calls that ended in a Refusal.
	CallFailures uint64 `json:"call_failures"`
	// InventoryFailures counts reads of the inventory without an answer.
	InventoryFailures uint64 `json:"inventory_failures"`
	// BadFrames counts streams whose first frame has no meaning.
	BadFrames uint64 `json:"bad_frames"`
	// Reports counts load reports sent.
	Reports uint64 `json:"reports"`
	// Active is the number of requests and calls that wait or run.
	Active int `json:"active"`
	// Watchers is the number of routers that watch the host.
	Watchers int `json:"watchers"`
	// MemoryTotalMiB and MemoryReservedMiB describe the accelerator.
	MemoryTotalMiB    uint32 `json:"memory_total_mib"`
	MemoryReservedMiB uint32 `json:"memory_reserved_mib"`
	// BootID is the present boot id.
	BootID string `json:"boot_id"`
}

// Stats returns the counters.
func (a *Agent) Stats() Stats {
	a.mu.Lock()
	defer a.mu.Unlock()
	report := a.planner.Report(a.opts.Clock.Now())
	return Stats{
		Engine:            a.planner.Stats(),
		Served:            a.counters.served.Load(),
		Refusals:          a.counters.refusals.Load(),
		Drained:           a.counters.drained.Load(),
		Resumes:           a.counters.resumes.Load(),
		Reloads:           a.counters.reloads.Load(),
		StrayEvents:       a.counters.strayEvents.Load(),
		DuplicateTokens:   a.counters.duplicateTokens.Load(),
		TokenGaps:         a.counters.tokenGaps.Load(),
		Calls:             a.counters.calls.Load(),
		CallFailures:      a.counters.callFailures.Load(),
		InventoryFailures: a.counters.inventoryFailures.Load(),
		BadFrames:         a.counters.badFrames.Load(),
		Reports:           a.counters.reports.Load(),
		Active:            a.active,
		Watchers:          len(a.watchers),
		MemoryTotalMiB:    report.GetMemoryTotalMib(),
		MemoryReservedMiB: report.GetMemoryReservedMib(),
		BootID:            report.GetBootId(),
	}
}
