package cell

import (
	"time"

	apiv1 "github.com/ragwortdoor/ragwortdoor/api/ragwortdoor/v1"
	"github.com/ragwortdoor/ragwortdoor/internal/era"
)

const (
	// handoverCountBits is the number of low bits of a fence that count the handovers
	// since the takeover; the version of the row is above them.
	handoverCountBits = 10
	// restoreBits is the number of bits by which each restore of the store raises the
	// fences: more versions than a restore may take back. Fences stay below 2^53, so that
	// engines may hold them as JSON numbers.
	restoreBits = 24
)

// fenceOf returns the fence of a term that begins with a version of the lease row. It is
// higher than those of all earlier terms, whose versions a restore of the store may have
// taken back.
func fenceOf(version int64) int64 {
	return (era.Sequence(version) + era.Of(version)<<restoreBits) << handoverCountBits
}

// isFromOlderCopy reports whether the lease row was written before the last restore of the
// store, or is absent after one. It may name a former holder then: the rows since are lost.
func (e *Election) isFromOlderCopy() bool { return e.row.GetEra() < e.era }

// mayContinueOver reports whether the holder may go on over a row that it found after a
// restore of the store: nobody has taken the lease since the restore, and if somebody took
// it in the time that was lost, no engine takes the orders of both.
func (e *Election) mayContinueOver(row *apiv1.SchedulerLease) bool {
	return row.GetEra() < e.era && (e.opts.EnginesCheckFence || e.RenewedAgo() < renewalTimeout)
}

// continueOver lets the next renewal replace the row.
func (e *Election) continueOver(row *apiv1.SchedulerLease, version int64, now time.Time) {
	e.row.Renewals = max(e.row.GetRenewals(), row.GetRenewals())
	e.version = version
	e.nextRenewal = now
}
