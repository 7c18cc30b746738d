package cell

import (
	"math"
	"time"

	apiv1 "github.com/ragwortdoor/ragwortdoor/api/ragwortdoor/v1"
	"github.com/ragwortdoor/ragwortdoor/internal/scheduler"
)

// HandOver ends the tenure, gives it to the strongest connected router and tells
// the others. It reports false, and changes nothing, if there is none.
func (s *Scheduler) HandOver(offer Handover) bool {
	done := make(chan bool, 1)
	if !s.post(func() { done <- s.handOver(offer) }) {
		return false
	}
	select {
	case ok := <-done:
		return ok
	case <-s.ctx.Done():
		return false
	}
}

func (s *Scheduler) handOver(offer Handover) bool {
	now := time.Now()
	var heir *session
	for _, session := range s.sessions {
		if session.leaving || session.address == "" || session.router == s.opts.Host {
			continue
		}
		if offer.WaitLeaseTime && !session.reachesStore(now) {
			continue
		}
		if heir == nil || session.cores > heir.cores || session.cores == heir.cores && session.router < heir.router {
			heir = session
		}
	}
	if heir == nil {
		return false
	}
	s.opts.Log.HandedOver(heir.router, offer.Fence)
	heir.reply(&apiv1.SchedulerReply{Body: &apiv1.SchedulerReply_Handover{Handover: &apiv1.SchedulerHandover{
		Fence: offer.Fence, Version: offer.Version, BootId: offer.BootID, WaitLeaseTime: offer.WaitLeaseTime,
	}}})
	for _, session := range s.sessions {
		if session != heir {
			session.reply(&apiv1.SchedulerReply{Body: &apiv1.SchedulerReply_Moved{Moved: &apiv1.SchedulerMoved{Address: heir.address}}})
		}
	}
	// The routers disconnect when they have read this.
	s.active = false
	s.fence.Store(0)
	s.cells = make(map[string]*scheduler.Cell)
	clear(s.sessions)
	return true
}

// reachesStore reports whether the router told so lately.
func (s *session) reachesStore(now time.Time) bool { return now.Sub(s.standingAt) < standingAge }

// StrongestPeerCores is the processor share of the strongest connected router that
// reaches the store, in cores.
func (s *Scheduler) StrongestPeerCores() float64 { return math.Float64frombits(s.strongest.Load()) }
