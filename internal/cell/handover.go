package cell

import (
	"math"
	"time"

	apiv1 "github.com/ragwortdoor/ragwortdoor/api/ragwortdoor/v1"
	"github.com/ragwortdoor/ragwortdoor/internal/scheduler"
)

// HandOver ends the lease term, hands the lease over to the strongest connected
// router and redirects the others to it. It returns false, and changes nothing, if
// no router qualifies. If the previous holder keeps running, only routers that
// reported a recent store check do.
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
	var successor *session
	for _, session := range s.sessions {
		if session.draining || session.address == "" || session.router == s.opts.Host {
			continue
		}
		if offer.WaitLeaseTime && !session.reachesStore(now) {
			continue
		}
		if successor == nil || session.cores > successor.cores || session.cores == successor.cores && session.router < successor.router {
			successor = session
		}
	}
	if successor == nil {
		return false
	}
	s.opts.Log.HandedOver(successor.router, offer.Fence)
	successor.reply(&apiv1.SchedulerReply{Body: &apiv1.SchedulerReply_Handover{Handover: &apiv1.SchedulerHandover{
		Fence: offer.Fence, Version: offer.Version, BootId: offer.BootID, WaitLeaseTime: offer.WaitLeaseTime,
	}}})
	for _, session := range s.sessions {
		if session != successor {
			session.reply(&apiv1.SchedulerReply{Body: &apiv1.SchedulerReply_Moved{Moved: &apiv1.SchedulerMoved{Address: successor.address, LeaseVersion: offer.Version}}})
		}
	}
	// The routers disconnect once they have received these messages.
	s.active = false
	s.fence.Store(0)
	s.cells = make(map[string]*scheduler.Cell)
	clear(s.sessions)
	return true
}

// reachesStore reports whether the router has recently reported that it reaches
// the store.
func (s *session) reachesStore(now time.Time) bool { return now.Sub(s.storeReachedAt) < storeCheckTTL }

// StrongestPeerCores returns the processor share of the strongest connected router
// that reaches the store, in cores, and 0 without one. It is safe for concurrent
// use.
func (s *Scheduler) StrongestPeerCores() float64 { return math.Float64frombits(s.strongest.Load()) }
