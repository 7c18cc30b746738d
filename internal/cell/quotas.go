package cell

import (
	"time"

	apiv1 "github.com/ragwortdoor/ragwortdoor/api/ragwortdoor/v1"
	"github.com/ragwortdoor/ragwortdoor/internal/pace"
	"github.com/ragwortdoor/ragwortdoor/internal/workspace"
)

const (
	// knownRouterTTL is how long a router that is not connected counts as one that may spend its
	// part of the quotas.
	knownRouterTTL = 30 * time.Second
	// dealerGap is the time between two ticks from which another router may have scheduled and
	// dealt meanwhile.
	dealerGap = 2 * time.Second
)

// quotaRouters is what the scheduler knows about the routers that may spend quotas.
type quotaRouters struct {
	// seenAt is when each router was last connected in this term.
	seenAt map[string]time.Time
	// told is the highest number of routers that one of them had heard of before the term, which
	// began at termAt.
	told   int
	termAt time.Time
}

func newQuotaRouters(now time.Time) quotaRouters {
	return quotaRouters{seenAt: make(map[string]time.Time), termAt: now}
}

// inputs returns what Part needs, with the number of routers that are connected.
func (r *quotaRouters) inputs(now time.Time, connected int, leaseFresh bool) pace.PartInputs {
	for host, at := range r.seenAt {
		if now.Sub(at) > knownRouterTTL {
			delete(r.seenAt, host)
		}
	}
	in := pace.PartInputs{Connected: connected, Known: len(r.seenAt), LeaseFresh: leaseFresh}
	if now.Sub(r.termAt) < knownRouterTTL && r.told > in.Known {
		in.Unseen = r.told - in.Known
		in.Known = r.told
	}
	return in
}

// Quotas returns the quotas of workspaces by name.
func Quotas(set *workspace.Set) map[string]pace.Quota {
	quotas := make(map[string]pace.Quota, len(set.All()))
	for _, w := range set.All() {
		quotas[w.Name] = pace.Quota{PerSecond: w.Quota.PerSecond, Burst: w.Quota.Burst}
	}
	return quotas
}

// QuotaStates returns how the quotas of workspaces stand, by name; nil if this router does not
// schedule. It is safe for concurrent use.
func (s *Scheduler) QuotaStates() map[string]pace.QuotaState {
	if states := s.quotaStates.Load(); states != nil {
		return *states
	}
	return nil
}

// tickQuotas adapts the part of the quotas that is dealt here and decides about what waits.
func (s *Scheduler) tickQuotas(now time.Time, idle bool) {
	bootNow := s.bootNow()
	if bootNow.Sub(s.lastTick) > dealerGap {
		s.dealer.Reset(now)
	}
	s.lastTick = bootNow
	if idle {
		routers := s.routers()
		for _, router := range routers {
			s.quotaRouters.seenAt[router] = now
		}
		s.dealer.SetPart(now, pace.Part(s.quotaRouters.inputs(now, len(routers), s.opts.LeaseFresh())))
	}
	s.replyQuotas(s.dealer.Tick(now))
}

func (s *Scheduler) handleQuotaAsk(now time.Time, from *session, ask *apiv1.QuotaAsk) {
	s.replyQuotas(s.dealer.Ask(now, &pace.QuotaAsk{
		From:      from.number,
		Workspace: ask.GetWorkspace(),
		First:     float64(ask.GetFirst()),
		All:       float64(ask.GetAll()),
		Spare:     float64(ask.GetSpare()),
		Until:     now.Add(microseconds(ask.GetWaitUs())),
		Light:     ask.GetLight(),
	}))
}

// handleQuotaReturn takes back what this scheduler dealt and a router did not spend.
func (s *Scheduler) handleQuotaReturn(now time.Time, back *apiv1.QuotaReturn) {
	if back.GetFence() == s.term.Fence {
		s.dealer.Return(now, back.GetWorkspace(), float64(back.GetAmount()))
	}
}

func (s *Scheduler) replyQuotas(grants []pace.QuotaGrant) {
	for _, grant := range grants {
		session := s.sessions[grant.To]
		if session == nil {
			continue
		}
		session.reply(&apiv1.SchedulerReply{Body: &apiv1.SchedulerReply_QuotaGrant{QuotaGrant: &apiv1.QuotaGrant{
			Workspace:    grant.Workspace,
			Amount:       int64(grant.Amount),
			RetryAfterUs: grant.RetryAfter.Microseconds(),
			Fence:        s.term.Fence,
			Light:        grant.Light,
		}}})
	}
}
