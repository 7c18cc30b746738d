package router

import (
	"strconv"
	"strings"
	"time"

	"github.com/charmbracelet/log"

	apiv1 "github.com/ragwortdoor/ragwortdoor/api/ragwortdoor/v1"
	"github.com/ragwortdoor/ragwortdoor/internal/external"
	"github.com/ragwortdoor/ragwortdoor/internal/route"
	"github.com/ragwortdoor/ragwortdoor/internal/view"
)

const (
	defaultWindow = 32 // requests of one router on one replica
	windowFactor  = 2  // window as a multiple of Placement.target_in_flight

	// warmFor is how long a replica without a load report counts as ready after
	// a whole answer.
	warmFor = 10 * time.Second
)

type replicaKey struct {
	host       string
	slot       uint32
	generation uint64
}

// replica is what this router knows of one replica beyond its load report. It
// is guarded by the lock of its model.
type replica struct {
	hash     uint64
	inFlight int

	// report is the last load report that was seen, with the time and the
	// requests in flight from here at that time.
	report           *apiv1.LoadReport
	reportAt         time.Time
	inFlightAtReport int

	// pausedUntil delays work after a refusal; until the replica has taken a
	// request again, one at a time is sent.
	pausedUntil time.Time
	probing     bool
	warmUntil   time.Time
}

func (m *model) replica(key replicaKey) *replica {
	rep := m.replicas[key]
	if rep == nil {
		rep = &replica{hash: route.HashHost(key.host)}
		m.replicas[key] = rep
	}
	return rep
}

// see takes in a load report.
func (rep *replica) see(report *apiv1.LoadReport, now time.Time) {
	if rep.report == report {
		return
	}
	rep.report = report
	rep.reportAt = now
	rep.inFlightAtReport = rep.inFlight
}

// load is the expected number of requests on the replica: those reported, and
// what this router has sent since.
func (rep *replica) load(reported int) int {
	return max(rep.inFlight, reported+rep.inFlight-rep.inFlightAtReport)
}

func (rep *replica) room(window int, now time.Time) bool {
	if rep.probing {
		return rep.inFlight == 0 && !now.Before(rep.pausedUntil)
	}
	return rep.inFlight < window
}

func (rep *replica) pause(until time.Time) {
	rep.pausedUntil = until
	rep.probing = true
}

// answered notes that the replica has taken a request.
func (rep *replica) answered() { rep.probing = false }

// window is the number of requests that this router sends to one replica at a
// time.
func window(snap *view.Snapshot, name string) int {
	if snap.Config == nil {
		return defaultWindow
	}
	placement := snap.Config.Placement(snap.Config.Model(name).GetPlacement())
	if target := placement.GetTargetInFlight(); target > 0 {
		return windowFactor * int(target)
	}
	return defaultWindow
}

// candidates appends the replicas of a model that may get work; the caller
// holds m.mu.
func (r *Router) candidates(m *model, snap *view.Snapshot, adapter string, now time.Time, dst []route.Candidate) []route.Candidate {
	slots := snap.Slots[m.name]
	window := window(snap, m.name)
	for i := range slots {
		row := slots[i].Row
		if row.GetState() != apiv1.SlotState_SLOT_STATE_ASSIGNED || !r.live(snap, row.GetHost(), now) {
			continue
		}
		report := r.opts.View.Report(row.GetHost())
		if report.GetDraining() {
			continue
		}
		rep := m.replica(replicaKey{row.GetHost(), row.GetSlot(), row.GetGeneration()})
		rep.see(report, now)
		dst = append(dst, rep.candidate(row, adapter, window, now))
	}
	m.forget(len(slots))
	return dst
}

// live reports whether a host may get work now.
func (r *Router) live(snap *view.Snapshot, host string, now time.Time) bool {
	return takesWork(snap, host) && r.hosts.usable(host, now)
}

// takesWork reports whether a host is listed as live and not being drained.
func takesWork(snap *view.Snapshot, host string) bool {
	h, listed := snap.ByHost[host]
	return listed && h.State == external.HostLive && !snap.Drains[host]
}

func (rep *replica) candidate(row *apiv1.SlotRow, adapter string, window int, now time.Time) route.Candidate {
	c := route.Candidate{
		Host:       row.GetHost(),
		HostHash:   rep.hash,
		Slot:       row.GetSlot(),
		Generation: row.GetGeneration(),
		InFlight:   rep.inFlight,
		Sent:       rep.inFlight,
		Room:       rep.room(window, now),
		Paused:     rep.probing,
	}
	if reported := replicaReport(rep.report, row); reported != nil {
		rep.describe(&c, reported, adapter, now)
		return c
	}
	switch {
	case now.Before(rep.warmUntil):
		c.State = route.StateReady
	case rep.inFlight > 0:
		c.State = route.StateLoading
	}
	return c
}

func (rep *replica) describe(c *route.Candidate, reported *apiv1.ReplicaReport, adapter string, now time.Time) {
	age := now.Sub(rep.reportAt)
	ready := time.Duration(reported.GetReadyInMs()) * time.Millisecond
	c.InFlight = rep.load(int(reported.GetInFlight()))
	switch reported.GetState() {
	case apiv1.ReplicaState_REPLICA_STATE_READY:
		c.State = route.StateReady
	case apiv1.ReplicaState_REPLICA_STATE_LOADING:
		c.State = route.StateLoading
		c.ReadyIn = max(ready-age, 0)
	default:
		c.ReadyIn = ready
		if rep.inFlight > 0 {
			c.State = route.StateLoading
		}
	}
	if adapter == "" {
		return
	}
	for _, name := range reported.GetAdapters() {
		c.HasAdapter = c.HasAdapter || name == adapter
	}
}

func replicaReport(report *apiv1.LoadReport, row *apiv1.SlotRow) *apiv1.ReplicaReport {
	for _, reported := range report.GetReplicas() {
		if reported.GetModel() == row.GetModel() && reported.GetSlot() == row.GetSlot() && reported.GetGeneration() == row.GetGeneration() {
			return reported
		}
	}
	return nil
}

// forget drops replicas that are no longer in the table once they outnumber
// those that are.
func (m *model) forget(slots int) {
	if len(m.replicas) <= 2*slots+8 {
		return
	}
	for key, rep := range m.replicas {
		if rep.inFlight == 0 {
			delete(m.replicas, key)
		}
	}
}

// pick chooses a replica and takes a place on it, or returns nil; the caller
// holds m.mu.
func (r *Router) pick(m *model, snap *view.Snapshot, t *ticket, now time.Time) *grant {
	m.buf = r.candidates(m, snap, t.adapter, now, m.buf[:0])
	i, reason := route.Pick(m.buf, t.wish)
	if i < 0 {
		return nil
	}
	c := &m.buf[i]
	g := &grant{
		model:   m,
		replica: m.replica(replicaKey{c.Host, c.Slot, c.Generation}),
		slot:    slotOf(snap, m.name, c),
		host:    c.Host,
		address: snap.ByHost[c.Host].Address,
		cold:    c.State != route.StateReady,
		reason:  reason,
		at:      now,
	}
	g.replica.inFlight++
	if r.opts.Log.GetLevel() <= log.InfoLevel {
		g.alternatives = others(m.buf, i)
	}
	return g
}

// logRoute writes the line of one routing decision.
func (r *Router) logRoute(t *ticket, g *grant) {
	r.opts.Log.Info("route", "request_id", t.x.id, "model", g.model.name, "host", g.host, "slot", g.slot.Row.GetSlot(),
		"attempt", t.attempt, "reason", string(g.reason), "alternatives", g.alternatives)
}

func slotOf(snap *view.Snapshot, model string, c *route.Candidate) view.Slot {
	for _, slot := range snap.Slots[model] {
		if slot.Row.GetSlot() == c.Slot {
			return slot
		}
	}
	return view.Slot{}
}

// others lists the candidates that were not chosen as "HOST/SLOT".
func others(candidates []route.Candidate, chosen int) string {
	var b strings.Builder
	for i := range candidates {
		if i == chosen {
			continue
		}
		if b.Len() > 0 {
			b.WriteByte(' ')
		}
		b.WriteString(candidates[i].Host)
		b.WriteByte('/')
		b.WriteString(strconv.FormatUint(uint64(candidates[i].Slot), 10))
	}
	return b.String()
}
