package cell

import (
	"context"
	"time"

	apiv1 "github.com/ragwortdoor/ragwortdoor/api/ragwortdoor/v1"
	"github.com/ragwortdoor/ragwortdoor/internal/scheduler"
	"github.com/ragwortdoor/ragwortdoor/internal/transport"
)

// orphan is a granted request whose router is not connected.
type orphan struct {
	router  string
	service string
	key     uint64
	until   time.Time
}

// session is one router's connection.
type session struct {
	owner  *Scheduler
	number uint64
	router string
	cores  float64
	// standingAt is when the router last told that it reaches the store.
	standingAt time.Time
	address    string
	// greeted is set by the hello; before it nothing is passed on.
	greeted bool
	// leaving is set once the router stops.
	leaving bool
	reply   func(*apiv1.SchedulerReply)
	ended   func()
	// services tells the service of each open key; it belongs to the
	// scheduler's goroutine.
	services map[uint64]string
}

// attach connects a router; nil if the event queue is full. reply and ended are
// called on the scheduler's goroutine and must not block.
func (s *Scheduler) attach(reply func(*apiv1.SchedulerReply), ended func()) *session {
	session := &session{owner: s, reply: reply, ended: ended, services: make(map[uint64]string)}
	attached := s.post(func() {
		if !s.active {
			session.ended()
			return
		}
		s.serial++
		session.number = s.serial
		s.sessions[session.number] = session
	})
	if !attached {
		return nil
	}
	return session
}

func (s *session) detach() {
	s.owner.post(func() { s.owner.detached(s) })
}

func (s *Scheduler) detached(from *session) {
	if s.sessions[from.number] != from {
		return
	}
	delete(s.sessions, from.number)
	now := time.Now()
	for key, service := range from.services {
		cell := s.cells[service]
		if cell == nil {
			continue
		}
		if cell.IsRunning(key) {
			s.orphans = append(s.orphans, orphan{router: from.router, service: service, key: key, until: now.Add(orphanTime)})
			continue
		}
		s.carryOut(service, cell.Withdraw(now, key))
	}
}

// dropOrphans ends the orphans that match.
func (s *Scheduler) dropOrphans(now time.Time, matches func(orphan) bool) {
	kept := s.orphans[:0]
	for _, o := range s.orphans {
		if !matches(o) {
			kept = append(kept, o)
			continue
		}
		if cell := s.cells[o.service]; cell != nil {
			s.carryOut(o.service, cell.Withdraw(now, o.key))
		}
	}
	s.orphans = kept
}

func (s *Scheduler) handle(from *session, call *apiv1.SchedulerCall) {
	if s.sessions[from.number] != from || from.number == 0 {
		return
	}
	now := time.Now()
	switch body := call.GetBody().(type) {
	case *apiv1.SchedulerCall_Hello:
		s.hello(now, from, body.Hello)
	case *apiv1.SchedulerCall_Ask:
		s.ask(now, from, body.Ask)
	case *apiv1.SchedulerCall_Progress:
		s.progress(now, from, body.Progress)
	case *apiv1.SchedulerCall_Superseded:
		s.opts.OnSuperseded(body.Superseded.GetAddress())
	case *apiv1.SchedulerCall_Standing:
		from.standingAt = now
	case *apiv1.SchedulerCall_Leaving:
		from.leaving = true
	case *apiv1.SchedulerCall_Withdrawal:
		key := from.key(body.Withdrawal.GetNumber())
		if cell := s.cells[from.services[key]]; cell != nil {
			service := from.services[key]
			delete(from.services, key)
			s.carryOut(service, cell.Withdraw(now, key))
		}
	}
}

func (s *session) key(number uint64) uint64 { return s.number<<sessionShift | number }

func (s *Scheduler) hello(now time.Time, from *session, hello *apiv1.SchedulerHello) {
	from.router = hello.GetRouter()
	from.cores = hello.GetCores()
	from.address = hello.GetAddress()
	// The router itself tells what it has under way.
	s.dropOrphans(now, func(o orphan) bool { return o.router == from.router })
	for _, r := range hello.GetRunning() {
		service := r.GetAsk().GetService()
		cell := s.cells[service]
		if cell == nil {
			continue
		}
		ask := decodeAsk(now, from, r.GetAsk())
		from.services[ask.Key] = service
		cell.Adopt(now, ask, r.GetUpstreamId(), r.GetStarted())
	}
	from.greeted = true
	from.reply(listReply(&apiv1.UpstreamList{Whole: true, Upstreams: s.listed()}))
	s.beat()
}

func (s *Scheduler) ask(now time.Time, from *session, ask *apiv1.PlacementAsk) {
	cell := s.cells[ask.GetService()]
	if cell == nil {
		from.reply(&apiv1.SchedulerReply{Body: &apiv1.SchedulerReply_Refusal{Refusal: &apiv1.PlacementRefusal{
			Number:       ask.GetNumber(),
			RetryAfterUs: beatEvery.Microseconds(),
			Reason:       "the scheduler does not know the service yet",
		}}})
		return
	}
	decoded := decodeAsk(now, from, ask)
	from.services[decoded.Key] = ask.GetService()
	actions := cell.Submit(now, decoded)
	if !actions.HasDecision(decoded.Key) {
		from.reply(&apiv1.SchedulerReply{Body: &apiv1.SchedulerReply_Queued{Queued: &apiv1.PlacementQueued{Number: ask.GetNumber()}}})
	}
	s.carryOut(ask.GetService(), actions)
}

func decodeAsk(now time.Time, from *session, ask *apiv1.PlacementAsk) *scheduler.Request {
	out := &scheduler.Request{
		Key:           from.key(ask.GetNumber()),
		RequestID:     ask.GetRequestId(),
		Model:         ask.GetModel(),
		Adapter:       ask.GetAdapter(),
		PromptTokens:  ask.GetPromptTokens(),
		OutputTokens:  ask.GetOutputTokens(),
		Priority:      int(ask.GetPriority()),
		Objective:     now.Add(microseconds(ask.GetObjectiveUs())),
		Deadline:      now.Add(microseconds(ask.GetGiveUpUs())),
		FailureDomain: ask.GetFailureDomain(),
		Tried:         ask.GetTried(),
		MayMove:       ask.GetMayMove(),
		MaxGap:        microseconds(ask.GetMaxGapUs()),
		Ageing:        microseconds(ask.GetAgeingUs()),
	}
	for _, p := range ask.GetParts() {
		out.Parts = append(out.Parts, scheduler.PromptPart{ID: p.GetId(), Tokens: p.GetTokens()})
	}
	return out
}

func (s *Scheduler) progress(now time.Time, from *session, progress *apiv1.PlacementProgress) {
	key := from.key(progress.GetNumber())
	service := from.services[key]
	cell := s.cells[service]
	if cell == nil {
		return
	}
	outcome := scheduler.Outcome(progress.GetOutcome())
	if outcome != scheduler.Started {
		delete(from.services, key)
	}
	s.carryOut(service, cell.Progress(now, key, outcome))
}

// Serve handles a stream of another router until it ends. It is a
// transport.Handler.
func (s *Scheduler) Serve(ctx context.Context, stream *transport.Stream) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stop := context.AfterFunc(ctx, func() { _ = stream.Close() }) // unblocks Recv
	defer stop()
	out := make(chan *apiv1.SchedulerReply, sendQueue)
	session := s.attach(func(reply *apiv1.SchedulerReply) {
		select {
		case out <- reply:
		default:
			cancel() // the router does not read
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
