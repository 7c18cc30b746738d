package cell

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	apiv1 "github.com/ragwortdoor/ragwortdoor/api/ragwortdoor/v1"
	"github.com/ragwortdoor/ragwortdoor/internal/blocklist"
	"github.com/ragwortdoor/ragwortdoor/internal/scheduler"
)

const (
	// maxBrokenOff and brokenOffTTL bound the requests that broke off which a router
	// reports to a new scheduler.
	maxBrokenOff = 64
	brokenOffTTL = 20 * time.Second
	// maxBlocked bounds the blocked prompts that are relayed and stored: a row of the
	// store has room for a thousand. The newest are kept.
	maxBlocked = 500
)

func encodeBlocklist(entries map[string][]blocklist.Entry) *apiv1.Blocklist {
	list := &apiv1.Blocklist{}
	for service, entries := range entries {
		for _, e := range entries {
			list.Entries = append(list.Entries, &apiv1.BlockedPrompts{Service: service, Parts: e.Parts, Crashes: int64(e.Crashes), Trials: int64(e.Trials), SinceMs: e.Since.UnixMilli()})
		}
	}
	slices.SortFunc(list.Entries, func(a, b *apiv1.BlockedPrompts) int {
		return cmp.Or(-cmp.Compare(a.GetSinceMs(), b.GetSinceMs()), cmp.Compare(a.GetService(), b.GetService()), slices.Compare(a.GetParts(), b.GetParts()))
	})
	list.Entries = list.Entries[:min(len(list.Entries), maxBlocked)]
	return list
}

func decodeBlocklist(list *apiv1.Blocklist) map[string][]blocklist.Entry {
	entries := make(map[string][]blocklist.Entry)
	for _, p := range list.GetEntries() {
		if len(p.GetParts()) == 0 {
			continue // it would match each prompt
		}
		e := blocklist.Entry{Parts: p.GetParts(), Since: time.UnixMilli(p.GetSinceMs()), Crashes: int(p.GetCrashes()), Trials: int(p.GetTrials())}
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
	if r := c.running[number]; r != nil && c.mayBeSuspectLocked(number, now) {
		c.brokenOff = slices.DeleteFunc(c.brokenOff, func(b reportedBrokenOff) bool { return now.Sub(b.at) > brokenOffTTL })
		c.brokenOff = append(c.brokenOff[max(0, len(c.brokenOff)-maxBrokenOff+1):], reportedBrokenOff{at: now, report: &apiv1.BrokenOffRequest{
			Service: r.GetAsk().GetService(), RequestId: r.GetAsk().GetRequestId(), UpstreamId: r.GetUpstreamId(), StartedMs: startedMs, Parts: blocklist.SharedParts(r.GetAsk().GetParts(), (*apiv1.PromptPart).GetId),
		}})
	}
	delete(c.running, number)
	delete(c.startedAt, number)
	call := progressCall(number, apiv1.PlacementOutcome_PLACEMENT_OUTCOME_FAILED, 0)
	call.GetProgress().BrokenOff = true
	c.sendLocked(call)
}

// mayBeSuspectLocked reports whether the response of a request has been arriving for so short a
// time that its engine may have crashed under it.
func (c *Client) mayBeSuspectLocked(number uint64, now time.Time) bool {
	startedAt, started := c.startedAt[number]
	return !started || now.Sub(startedAt) < scheduler.ProvenTime
}

// brokenOffLocked returns the requests that broke off lately.
func (c *Client) brokenOffLocked() []*apiv1.BrokenOffRequest {
	var reports []*apiv1.BrokenOffRequest
	for _, b := range c.brokenOff {
		if age := time.Since(b.at); age <= brokenOffTTL {
			report := proto.CloneOf(b.report) // earlier copies may still be on their way
			report.AgoUs = age.Microseconds()
			reports = append(reports, report)
		}
	}
	return reports
}

// Fence returns the fence of the current term, 0 without one.
func (s *Scheduler) Fence() int64 { return s.fence.Load() }

// AdoptBlocked adds parts that were blocked under an earlier scheduler.
func (s *Scheduler) AdoptBlocked(entries map[string][]blocklist.Entry) {
	s.post(func() { s.adoptBlocked(entries) })
}

func (s *Scheduler) adoptBlocked(entries map[string][]blocklist.Entry) {
	if !s.active {
		return
	}
	s.opts.Blocklist.Merge(entries) // for services whose cell does not exist yet
	for service, parts := range entries {
		if cell := s.cells[service]; cell != nil {
			s.apply(service, cell.AdoptBlocked(time.Now(), parts))
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

// relayBlocklist sends the blocked prompts of all services to all routers.
func (s *Scheduler) relayBlocklist() {
	s.broadcast(s.blocklistReply())
}

func (s *Scheduler) blocklistReply() *apiv1.SchedulerReply {
	entries := make(map[string][]blocklist.Entry)
	maps.Copy(entries, s.opts.Blocklist.Load())
	for service, cell := range s.cells {
		entries[service] = cell.Blocked()
	}
	return &apiv1.SchedulerReply{Body: &apiv1.SchedulerReply_Blocklist{Blocklist: encodeBlocklist(entries)}}
}

// logCrashes logs what a cell found out about crashes, and relays a changed blocklist.
func (s *Scheduler) logCrashes(service string, actions scheduler.Actions) {
	for _, crashed := range actions.Crashes {
		s.opts.Log.EngineCrashed(service, crashed)
	}
	for _, e := range actions.Blocked {
		s.opts.Log.PromptBlocked(service, e)
	}
	for _, e := range actions.Suspended {
		s.opts.Log.PromptSuspended(service, e)
	}
	for _, e := range actions.Unblocked {
		s.opts.Log.PromptUnblocked(service, e)
	}
	if cell := s.cells[service]; cell != nil && cell.TakeBlocklistChanged() {
		s.relayBlocklist()
	}
}
