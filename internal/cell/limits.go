package cell

import (
	"slices"
	"time"

	apiv1 "github.com/ragwortdoor/ragwortdoor/api/ragwortdoor/v1"
	"github.com/ragwortdoor/ragwortdoor/internal/pace"
)

// sharesInterval is the shortest time between two assignments of all shares, which are due when
// routers connect or disconnect.
const sharesInterval = time.Second

// noteLimits takes in limits that a router heard. The next idle tick tells all routers of those
// that are news.
func (s *Scheduler) noteLimits(now time.Time, reported *apiv1.UpstreamLimits) {
	for _, limit := range decodeLimits(now, reported) {
		if s.pace.Note(now, limit) {
			s.limitNews[limit.UpstreamID] = true
		}
	}
}

// relayLimits sends all routers the limits that are news, with their shares, or all limits if the
// shares are due.
func (s *Scheduler) relayLimits(now time.Time) {
	all := s.sharesDue && now.Sub(s.sharesAt) >= sharesInterval
	if !all && len(s.limitNews) == 0 {
		return
	}
	limits := slices.DeleteFunc(s.pace.Limits(), func(l pace.Limit) bool { return !all && !s.limitNews[l.UpstreamID] })
	if all {
		s.sharesDue, s.sharesAt = false, now
	}
	clear(s.limitNews)
	routers := s.routers()
	if len(limits) == 0 || len(routers) == 0 {
		return
	}
	shares := make([]map[string]float64, len(limits))
	for i, limit := range limits {
		shares[i] = pace.Shares(limit.UpstreamID, limit.PerSecond, routers)
	}
	for _, session := range s.sessions {
		if !session.synced {
			continue
		}
		list := encodeLimits(now, limits)
		list.Routers = int32(len(routers))
		for i, limit := range list.GetLimits() {
			limit.Share = shares[i][session.router]
		}
		session.reply(&apiv1.SchedulerReply{Body: &apiv1.SchedulerReply_Limits{Limits: list}})
	}
}

// routers returns the hosts of the connected routers.
func (s *Scheduler) routers() []string {
	var routers []string
	for _, session := range s.sessions {
		if session.synced {
			routers = append(routers, session.router)
		}
	}
	return routers
}

// handleLimitedRequest handles a request that needs one of some upstreams with a limit.
func (s *Scheduler) handleLimitedRequest(now time.Time, from *session, req *apiv1.PlacementAsk) {
	ask := &pace.Ask{
		Key:       from.key(req.GetNumber()),
		RequestID: req.GetRequestId(),
		Service:   req.GetService(),
		Upstreams: req.GetLimited(),
		Priority:  int(req.GetPriority()),
		Ageing:    microseconds(req.GetAgeingUs()),
		Deadline:  now.Add(microseconds(req.GetGiveUpUs())),
		MayWait:   req.GetMayWait(),
		Workspace: req.GetWorkspace(),
		Weight:    req.GetWorkspaceWeight(),
	}
	if !s.applyPace(s.pace.Submit(now, ask), ask.Key) {
		from.reply(&apiv1.SchedulerReply{Body: &apiv1.SchedulerReply_Queued{Queued: &apiv1.PlacementQueued{Number: req.GetNumber()}}})
	}
}

// applyPace sends decisions to the routers. It reports whether one of them is about key.
func (s *Scheduler) applyPace(decisions []pace.Decision, key uint64) bool {
	found := false
	for _, d := range decisions {
		found = found || d.Ask.Key == key
		number := d.Ask.Key & (1<<requestNumberBits - 1)
		if d.UpstreamID == "" {
			if d.Ask.MayWait {
				s.opts.Log.LimitRefused(s.routerOf(d.Ask.Key), d)
			}
			s.replyTo(d.Ask.Key, &apiv1.SchedulerReply{Body: &apiv1.SchedulerReply_Refusal{Refusal: &apiv1.PlacementRefusal{
				Number:       number,
				RetryAfterUs: d.RetryAfter.Microseconds(),
				Reason:       pace.RefusalReason,
			}}})
			continue
		}
		reason := ""
		if d.Waited > 0 {
			reason = pace.WaitReason
		}
		s.opts.Log.LimitGranted(s.routerOf(d.Ask.Key), d)
		s.replyTo(d.Ask.Key, &apiv1.SchedulerReply{Body: &apiv1.SchedulerReply_Grant{Grant: &apiv1.PlacementGrant{
			Number:     number,
			UpstreamId: d.UpstreamID,
			Reason:     reason,
		}}})
	}
	return found
}

// withdrawLimited removes the requests of a router, or one of them, from the queue for upstreams
// with a limit.
func (s *Scheduler) withdrawLimited(matches func(key uint64) bool) {
	if s.pace.Waiting() > 0 {
		s.pace.Withdraw(matches)
	}
}

// ReportLimit tells the scheduler what this router heard about a limit.
func (c *Client) ReportLimit(limit pace.Limit) {
	c.mu.Lock()
	defer c.mu.Unlock()
	report := &apiv1.UpstreamLimits{Limits: []*apiv1.UpstreamLimit{encodeLimit(time.Now(), limit)}}
	c.sendLocked(&apiv1.SchedulerCall{Body: &apiv1.SchedulerCall_Limits{Limits: report}})
}

// takeLimits takes in limits that the scheduler knows, and the shares of this router.
func (c *Client) takeLimits(told *apiv1.UpstreamLimits) {
	now := time.Now()
	for _, limit := range decodeLimits(now, told) {
		c.opts.Limits.Note(now, limit)
	}
	if told.GetRouters() == 0 {
		return
	}
	shares := make(map[string]float64, len(told.GetLimits()))
	for _, limit := range told.GetLimits() {
		shares[limit.GetId()] = limit.GetShare()
	}
	c.opts.Limits.SetShares(now, int(told.GetRouters()), shares)
}

func encodeLimits(now time.Time, limits []pace.Limit) *apiv1.UpstreamLimits {
	out := &apiv1.UpstreamLimits{}
	for _, limit := range limits {
		out.Limits = append(out.Limits, encodeLimit(now, limit))
	}
	return out
}

func encodeLimit(now time.Time, limit pace.Limit) *apiv1.UpstreamLimit {
	return &apiv1.UpstreamLimit{
		Id:         limit.UpstreamID,
		StartedMs:  limit.StartedMs,
		Limited:    limit.Kind == pace.Limited,
		PerSecond:  limit.PerSecond,
		AskedAgoUs: now.Sub(limit.AskedAt).Microseconds(),
		HeardAgoUs: now.Sub(limit.HeardAt).Microseconds(),
	}
}

func decodeLimits(now time.Time, list *apiv1.UpstreamLimits) []pace.Limit {
	limits := make([]pace.Limit, 0, len(list.GetLimits()))
	for _, l := range list.GetLimits() {
		limit := pace.Limit{UpstreamID: l.GetId(), StartedMs: l.GetStartedMs()}
		if l.GetLimited() {
			limit.Notice = pace.Notice{Kind: pace.Limited, PerSecond: l.GetPerSecond()}
		}
		limit.AskedAt = now.Add(-microseconds(l.GetAskedAgoUs()))
		limit.HeardAt = now.Add(-microseconds(l.GetHeardAgoUs()))
		limits = append(limits, limit)
	}
	return limits
}
