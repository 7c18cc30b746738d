package cell

import (
	"math"
	"time"

	apiv1 "github.com/ragwortdoor/ragwortdoor/api/ragwortdoor/v1"
)

// sendHeartbeats sends a heartbeat to each router, after what its list age covers.
func (s *Scheduler) sendHeartbeats() {
	s.refreshIfDue()
	strongest := 0.0
	now := time.Now()
	for _, session := range s.sessions {
		if !session.draining && session.reachesStore(now) {
			strongest = max(strongest, session.cores)
		}
	}
	s.strongest.Store(math.Float64bits(strongest))
	configAge, listAge := s.opts.Directory.ReadAges(now)
	// Read before the age: the age must not be that of an earlier renewal.
	leaseVersion := s.opts.LeaseVersion()
	heartbeat := &apiv1.SchedulerBeat{
		Fence:        s.term.Fence,
		RenewedAgoUs: s.opts.RenewedAgo().Microseconds(),
		LeaseVersion: leaseVersion,
		Cores:        s.opts.Cores,
		Routers:      int32(len(s.sessions)),
		ConfigAgeUs:  configAge.Microseconds(),
		ListAgeUs:    listAge.Microseconds(),
	}
	snapshot := s.opts.Directory.Load()
	if snapshot.Config != nil {
		heartbeat.ConfigVersion = snapshot.Config.Version
	}
	if snapshot.Workspaces != nil {
		heartbeat.WorkspacesVersion = snapshot.Workspaces.Version
	}
	for _, session := range s.sessions {
		session.reply(&apiv1.SchedulerReply{Body: &apiv1.SchedulerReply_Beat{Beat: heartbeat}})
	}
}
