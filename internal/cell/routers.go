package cell

import (
	"context"
	"time"

	apiv1 "github.com/ragwortdoor/ragwortdoor/api/ragwortdoor/v1"
	"github.com/ragwortdoor/ragwortdoor/internal/scheduler"
	"github.com/ragwortdoor/ragwortdoor/internal/transport"
)

// disconnectedRequest is a granted request whose router has lost its connection.
type disconnectedRequest struct {
	router  string
	service string
	key     uint64
	until   time.Time // when the request is taken to have ended
}

// session is the connection of one router. Its mutable fields belong to the
// scheduler's goroutine.
type session struct {
	owner  *Scheduler
	number uint64
	router string
	cores  float64
	// storeReachedAt is when the router last reported that it reaches the store.
	storeReachedAt time.Time
	address        string
	// synced is set once the hello is handled; the upstream list is relayed only
	// afterwards. listVersion is the version that the router had then.
	synced           bool
	listVersion      int64
	acceptsListParts bool
	// draining is set when the router is stopping.
	draining   bool
	reply      func(*apiv1.SchedulerReply)
	disconnect func()
	// serviceByKey has the service of each request in progress.
	serviceByKey map[uint64]string
}

// attach connects a router. It returns nil if the event queue is full. reply and
// disconnect are called on the scheduler's goroutine and must not block.
func (s *Scheduler) attach(reply func(*apiv1.SchedulerReply), disconnect func()) *session {
	session := &session{owner: s, reply: reply, disconnect: disconnect, serviceByKey: make(map[uint64]string)}
	attached := s.post(func() {
		if !s.active {
			session.disconnect()
			return
		}
		s.lastSession++
		session.number = s.lastSession
		s.sessions[session.number] = session
	})
	if !attached {
		return nil
	}
	return session
}

// broadcast sends a message to all routers that are connected.
func (s *Scheduler) broadcast(reply *apiv1.SchedulerReply) {
	for _, session := range s.sessions {
		if session.synced {
			session.reply(reply)
		}
	}
}

func (s *session) detach() {
	s.owner.post(func() { s.owner.handleDetach(s) })
}

func (s *Scheduler) handleDetach(from *session) {
	if s.sessions[from.number] != from {
		return
	}
	delete(s.sessions, from.number)
	s.sharesDue = true
	s.withdrawLimited(func(key uint64) bool { return key>>requestNumberBits == from.number })
	s.dealer.Withdraw(from.number)
	now := time.Now()
	for key, service := range from.serviceByKey {
		cell := s.cells[service]
		if cell == nil {
			continue
		}
		if cell.IsRunning(key) {
			s.disconnected = append(s.disconnected, disconnectedRequest{router: from.router, service: service, key: key, until: now.Add(disconnectedRequestTimeout)})
			continue
		}
		s.apply(service, cell.Withdraw(now, key))
	}
}

// endDisconnectedRequests withdraws the matching requests of disconnected routers.
func (s *Scheduler) endDisconnectedRequests(now time.Time, matches func(disconnectedRequest) bool) {
	remaining := s.disconnected[:0]
	for _, r := range s.disconnected {
		if !matches(r) {
			remaining = append(remaining, r)
			continue
		}
		if cell := s.cells[r.service]; cell != nil {
			s.apply(r.service, cell.Withdraw(now, r.key))
		}
	}
	s.disconnected = remaining
}

func (s *Scheduler) handle(from *session, call *apiv1.SchedulerCall) {
	if s.sessions[from.number] != from || from.number == 0 {
		return
	}
	now := time.Now()
	switch body := call.GetBody().(type) {
	case *apiv1.SchedulerCall_Hello:
		s.handleHello(now, from, body.Hello)
	case *apiv1.SchedulerCall_Ask:
		s.handleRequest(now, from, body.Ask)
	case *apiv1.SchedulerCall_Progress:
		s.handleProgress(now, from, body.Progress)
	case *apiv1.SchedulerCall_Superseded:
		s.opts.OnSuperseded(body.Superseded.GetAddress(), body.Superseded.GetLeaseVersion())
	case *apiv1.SchedulerCall_Standing:
		from.storeReachedAt = now
	case *apiv1.SchedulerCall_Leaving:
		from.draining = true
	case *apiv1.SchedulerCall_Limits:
		s.noteLimits(now, body.Limits)
	case *apiv1.SchedulerCall_QuotaAsk:
		s.handleQuotaAsk(now, from, body.QuotaAsk)
	case *apiv1.SchedulerCall_QuotaReturn:
		s.handleQuotaReturn(now, body.QuotaReturn)
	case *apiv1.SchedulerCall_Workspaces:
		s.opts.OnWorkspaces(decodeWorkspaces(body.Workspaces))
	case *apiv1.SchedulerCall_Withdrawal:
		key := from.key(body.Withdrawal.GetNumber())
		s.withdrawLimited(func(other uint64) bool { return other == key })
		if cell := s.cells[from.serviceByKey[key]]; cell != nil {
			service := from.serviceByKey[key]
			delete(from.serviceByKey, key)
			s.apply(service, cell.Withdraw(now, key))
		}
	}
}

func (s *session) key(number uint64) uint64 { return s.number<<requestNumberBits | number }

func (s *Scheduler) handleHello(now time.Time, from *session, hello *apiv1.SchedulerHello) {
	from.router = hello.GetRouter()
	from.cores = hello.GetCores()
	s.quotaRouters.told = max(s.quotaRouters.told, int(hello.GetRouters()))
	from.address = hello.GetAddress()
	// The hello lists the router's running requests.
	s.endDisconnectedRequests(now, func(r disconnectedRequest) bool { return r.router == from.router })
	for _, r := range hello.GetRunning() {
		service := r.GetAsk().GetService()
		cell := s.cells[service]
		if cell == nil {
			continue
		}
		req := decodeRequest(now, from, r.GetAsk())
		from.serviceByKey[req.Key] = service
		cell.Adopt(now, req, r.GetUpstreamId(), r.GetStarted())
	}
	from.listVersion = hello.GetListVersion()
	from.acceptsListParts = hello.GetAcceptsListParts()
	from.draining = from.draining || hello.GetDraining()
	from.synced = true
	s.adoptBlocked(decodeBlocklist(hello.GetBlocklist()))
	s.takeBrokenOff(now, hello.GetBrokenOff())
	from.reply(s.blocklistReply())
	if s.relayed != nil {
		s.sendList(from, s.relayed.lackedBy(from.listVersion))
	}
	s.tellWorkspaces(from, hello.GetWorkspacesVersion())
	s.noteLimits(now, hello.GetLimits())
	if limits := s.pace.Limits(); len(limits) > 0 {
		from.reply(&apiv1.SchedulerReply{Body: &apiv1.SchedulerReply_Limits{Limits: encodeLimits(now, limits)}})
	}
	s.sharesDue = true
	s.sendHeartbeats()
}

func (s *Scheduler) handleRequest(now time.Time, from *session, req *apiv1.PlacementAsk) {
	if len(req.GetLimited()) > 0 {
		s.handleLimitedRequest(now, from, req)
		return
	}
	cell := s.cellForRequest(req.GetService())
	if cell == nil {
		from.reply(&apiv1.SchedulerReply{Body: &apiv1.SchedulerReply_Refusal{Refusal: &apiv1.PlacementRefusal{
			Number:       req.GetNumber(),
			RetryAfterUs: heartbeatInterval.Microseconds(),
			Reason:       "the scheduler does not know the service yet",
		}}})
		return
	}
	decoded := decodeRequest(now, from, req)
	from.serviceByKey[decoded.Key] = req.GetService()
	actions := cell.Submit(now, decoded)
	if !actions.HasDecision(decoded.Key) {
		from.reply(&apiv1.SchedulerReply{Body: &apiv1.SchedulerReply_Queued{Queued: &apiv1.PlacementQueued{Number: req.GetNumber()}}})
	}
	s.apply(req.GetService(), actions)
}

// cellForRequest returns the cell of a service, nil if the directory does not have the
// service. The router becomes ready with the directory, so a request may overtake the
// event that applies a change of it.
func (s *Scheduler) cellForRequest(service string) *scheduler.Cell {
	if cell := s.cells[service]; cell != nil {
		return cell
	}
	config := s.opts.Directory.Load().Config
	if config == nil || config.Services[service].Engine == nil {
		return nil
	}
	s.refresh()
	return s.cells[service]
}

func decodeRequest(now time.Time, from *session, req *apiv1.PlacementAsk) *scheduler.Request {
	out := &scheduler.Request{
		Key:           from.key(req.GetNumber()),
		RequestID:     req.GetRequestId(),
		Model:         req.GetModel(),
		Adapter:       req.GetAdapter(),
		PromptTokens:  req.GetPromptTokens(),
		OutputTokens:  req.GetOutputTokens(),
		Priority:      int(req.GetPriority()),
		Objective:     now.Add(microseconds(req.GetObjectiveUs())),
		Deadline:      now.Add(microseconds(req.GetGiveUpUs())),
		FailureDomain: req.GetFailureDomain(),
		Tried:         req.GetTried(),
		Avoid:         req.GetAvoid(),
		MayMove:       req.GetMayMove(),

		Workspace:       req.GetWorkspace(),
		WorkspaceWeight: req.GetWorkspaceWeight(),
		MaxGap:          microseconds(req.GetMaxGapUs()),
		Ageing:          microseconds(req.GetAgeingUs()),
	}
	for _, p := range req.GetParts() {
		out.Parts = append(out.Parts, scheduler.PromptPart{ID: p.GetId(), Tokens: p.GetTokens()})
	}
	return out
}

func (s *Scheduler) handleProgress(now time.Time, from *session, progress *apiv1.PlacementProgress) {
	key := from.key(progress.GetNumber())
	service := from.serviceByKey[key]
	cell := s.cells[service]
	if cell == nil {
		return
	}
	outcome := scheduler.Outcome(progress.GetOutcome())
	if progress.GetBrokenOff() {
		outcome = scheduler.EndedByEngine
	}
	if outcome != scheduler.Started {
		delete(from.serviceByKey, key)
	}
	cell.LearnSlowdown(now, key, progress.GetSlowdown())
	cell.LearnEventInterval(microseconds(progress.GetEventIntervalUs()))
	s.apply(service, cell.Progress(now, key, outcome))
}

// Serve handles a stream of another router until the stream or ctx ends. It is a
// transport.Handler.
func (s *Scheduler) Serve(ctx context.Context, stream *transport.Stream) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stop := context.AfterFunc(ctx, func() { _ = stream.Close() }) // unblocks Recv
	defer stop()
	out := make(chan *apiv1.SchedulerReply, sendQueueSize)
	session := s.attach(func(reply *apiv1.SchedulerReply) {
		select {
		case out <- reply:
		default:
			cancel() // the router does not read its replies
		}
	}, cancel)
	if session == nil {
		return
	}
	defer session.detach()
	go writeReplies(ctx, cancel, stream, out)
	for {
		call := &apiv1.SchedulerCall{}
		if err := stream.Recv(call); err != nil {
			return
		}
		session.post(call)
	}
}

func writeReplies(ctx context.Context, cancel func(), stream *transport.Stream, out <-chan *apiv1.SchedulerReply) {
	for {
		select {
		case reply := <-out:
			if stream.Send(reply) != nil {
				cancel()
				return
			}
		case <-ctx.Done():
			return
		}
	}
}
