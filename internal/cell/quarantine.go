package cell

import (
	"cmp"
	"slices"
	"time"

	apiv1 "github.com/ragwortdoor/ragwortdoor/api/ragwortdoor/v1"
	"github.com/ragwortdoor/ragwortdoor/internal/quarantine"
	"github.com/ragwortdoor/ragwortdoor/internal/scheduler"
)

const (
	// maxBrokenOff and brokenOffTTL bound the requests that broke off which a router
	// reports to a new scheduler.
	maxBrokenOff = 64
	brokenOffTTL = 20 * time.Second
	// maxQuarantined bounds the quarantined parts that are relayed and stored: a row of the
	// store has room for a thousand. The newest are kept.
	maxQuarantined = 500
)

func encodeQuarantine(entries map[string][]quarantine.Entry) *apiv1.QuarantineList {
	list := &apiv1.QuarantineList{}
	for service, entries := range entries {
		for _, e := range entries {
			list.Entries = append(list.Entries, &apiv1.QuarantinedPrompts{Service: service, Parts: e.Parts, Crashes: int64(e.Crashes), Trials: int64(e.Trials), SinceMs: e.Since.UnixMilli()})
		}
	}
	slices.SortFunc(list.Entries, func(a, b *apiv1.QuarantinedPrompts) int {
		return cmp.Or(-cmp.Compare(a.GetSinceMs(), b.GetSinceMs()), cmp.Compare(a.GetService(), b.GetService()), slices.Compare(a.GetParts(), b.GetParts()))
	})
	list.Entries = list.Entries[:min(len(list.Entries), maxQuarantined)]
	return list
}

func decodeQuarantine(list *apiv1.QuarantineList) map[string][]quarantine.Entry {
	entries := make(map[string][]quarantine.Entry)
	for _, p := range list.GetEntries() {
		e := quarantine.Entry{Parts: p.GetParts(), Since: time.UnixMilli(p.GetSinceMs()), Crashes: int(p.GetCrashes()), Trials: int(p.GetTrials())}
		entries[p.GetService()] = append(entries[p.GetService()], e)
	}
	return entries
}

// reportedBrokenOff is a request that broke off, for the hello to a new scheduler.
type reportedBrokenOff struct {
	report *apiv1.BrokenOffRequest
	at     time.Time
}

// ReportBrokenOff reports that the engine of a placed request ended the connection within
// the response. startedMs is the engine's incarnation, 0 if it is not known.
func (c *Client) ReportBrokenOff(number uint64, startedMs int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	if r := c.running[number]; r != nil && !r.GetStarted() {
		c.brokenOff = slices.DeleteFunc(c.brokenOff, func(b reportedBrokenOff) bool { return now.Sub(b.at) > brokenOffTTL })
		c.brokenOff = append(c.brokenOff[max(0, len(c.brokenOff)-maxBrokenOff+1):], reportedBrokenOff{at: now, report: &apiv1.BrokenOffRequest{
			Service: r.GetAsk().GetService(), RequestId: r.GetAsk().GetRequestId(), UpstreamId: r.GetUpstreamId(), StartedMs: startedMs, Parts: sharedParts(r.GetAsk()),
		}})
	}
	delete(c.running, number)
	call := progressCall(number, apiv1.PlacementOutcome_PLACEMENT_OUTCOME_FAILED, 0)
	call.GetProgress().BrokenOff = true
	c.sendLocked(call)
}

// sharedParts returns the ids of the parts that other requests may have in common with
// this one: all but the last.
func sharedParts(req *apiv1.PlacementAsk) []string {
	var ids []string
	for _, p := range req.GetParts()[:max(0, len(req.GetParts())-1)] {
		ids = append(ids, p.GetId())
	}
	return ids
}

// brokenOffLocked returns the requests that broke off lately.
func (c *Client) brokenOffLocked() []*apiv1.BrokenOffRequest {
	var reports []*apiv1.BrokenOffRequest
	for _, b := range c.brokenOff {
		if age := time.Since(b.at); age <= brokenOffTTL {
			b.report.AgoUs = age.Microseconds()
			reports = append(reports, b.report)
		}
	}
	return reports
}

// Fence returns the fence of the current term, 0 without one.
func (s *Scheduler) Fence() int64 { return s.fence.Load() }

// AdoptQuarantined adds parts that were quarantined under an earlier scheduler.
func (s *Scheduler) AdoptQuarantined(entries map[string][]quarantine.Entry) {
	s.post(func() { s.adoptQuarantined(entries) })
}

func (s *Scheduler) adoptQuarantined(entries map[string][]quarantine.Entry) {
	if !s.active {
		return
	}
	s.opts.Quarantine.Merge(entries) // for services whose cell does not exist yet
	for service, parts := range entries {
		if cell := s.cells[service]; cell != nil {
			s.apply(service, cell.AdoptQuarantined(time.Now(), parts))
		}
	}
}

// takeBrokenOff passes on the requests that broke off on a router before it connected.
func (s *Scheduler) takeBrokenOff(now time.Time, reports []*apiv1.BrokenOffRequest) {
	byService := make(map[string][]scheduler.BrokenOff)
	for _, r := range reports {
		byService[r.GetService()] = append(byService[r.GetService()], scheduler.BrokenOff{
			RequestID: r.GetRequestId(), UpstreamID: r.GetUpstreamId(), StartedMs: r.GetStartedMs(), Parts: r.GetParts(), At: now.Add(-microseconds(r.GetAgoUs())),
		})
	}
	for service, brokenOff := range byService {
		if cell := s.cells[service]; cell != nil {
			s.apply(service, cell.RecordBrokenOff(now, brokenOff))
		}
	}
}

// relayQuarantine sends the quarantined parts of all services to all routers.
func (s *Scheduler) relayQuarantine() {
	reply := s.quarantineReply()
	for _, session := range s.sessions {
		if session.synced {
			session.reply(reply)
		}
	}
}

func (s *Scheduler) quarantineReply() *apiv1.SchedulerReply {
	entries := make(map[string][]quarantine.Entry)
	for service, parts := range s.opts.Quarantine.Load() {
		entries[service] = parts
	}
	for service, cell := range s.cells {
		entries[service] = cell.Quarantined()
	}
	return &apiv1.SchedulerReply{Body: &apiv1.SchedulerReply_Quarantine{Quarantine: encodeQuarantine(entries)}}
}

// logQuarantine logs what a cell found out about crashes, and relays a changed quarantine.
func (s *Scheduler) logQuarantine(service string, actions scheduler.Actions) {
	for _, crashed := range actions.Crashes {
		s.opts.Log.EngineCrashed(service, crashed)
	}
	for _, e := range actions.Quarantined {
		s.opts.Log.PartQuarantined(service, e)
	}
	for _, e := range actions.Released {
		s.opts.Log.PartReleased(service, e)
	}
	if cell := s.cells[service]; cell != nil && cell.TakeQuarantineChanged() {
		s.relayQuarantine()
	}
}
