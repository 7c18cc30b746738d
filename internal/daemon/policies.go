package daemon

import (
	"time"

	apiv1 "github.com/ragwortdoor/ragwortdoor/api/ragwortdoor/v1"
	"github.com/ragwortdoor/ragwortdoor/internal/keepalive"
	"github.com/ragwortdoor/ragwortdoor/internal/permit"
	"github.com/ragwortdoor/ragwortdoor/internal/router"
)

// Policies replaces parts of the policy, so that load tests can compare them
// with baselines. The zero value selects the policy of a deployment.
type Policies struct {
	// KeepAlive makes the keep-alive policy of one sidecar; nil learns it.
	KeepAlive func() keepalive.Policy
	// PermitLimits replaces the limits of the weight store unless nil.
	PermitLimits *permit.Limits
	// InFlightDelta is the change of requests in flight that is worth a load
	// report. 0 selects the default.
	InFlightDelta uint32
	// ReportPeriod is the longest time between two load reports. 0 selects the
	// default.
	ReportPeriod time.Duration
	// NoAffinity routes by load alone.
	NoAffinity bool
	// Record receives the wait record of each ended request; nil drops it.
	Record func(*apiv1.WaitRecord)
}

func (p Policies) withDefaults() Policies {
	if p.InFlightDelta == 0 {
		p.InFlightDelta = inFlightDelta
	}
	if p.ReportPeriod == 0 {
		p.ReportPeriod = reportPeriod
	}
	return p
}

// recorder hands each record to Record as well.
func (p Policies) recorder(next router.Recorder) router.Recorder {
	if p.Record == nil {
		return next
	}
	return &teeRecorder{first: p.Record, next: next}
}

type teeRecorder struct {
	first func(*apiv1.WaitRecord)
	next  router.Recorder
}

// Record implements router.Recorder.
func (t *teeRecorder) Record(record *apiv1.WaitRecord) {
	t.first(record)
	t.next.Record(record)
}
