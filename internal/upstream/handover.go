package upstream

import (
	"context"
	"fmt"
	"time"

	apiv1 "github.com/ragwortdoor/ragwortdoor/api/ragwortdoor/v1"
	"github.com/ragwortdoor/ragwortdoor/internal/view"
)

const (
	// pushStagger is what each router waits for the ones before it in the
	// host's rank to hand over a change, up to maxPushDelay.
	pushStagger  = 300 * time.Millisecond
	maxPushDelay = 2 * time.Second
)

// revisions tell how new an assignment is.
type revisions struct {
	bootID string
	config uint64
	table  int64
	closed bool // to new work
}

// covers reports whether an assignment of these revisions holds all that the
// snapshot says about a host.
func (r revisions) covers(snap *view.Snapshot, host string) bool {
	return r.config >= snap.Config.Revision && r.table >= snap.SlotsRevision && r.closed == closed(snap, host)
}

// push hands the sidecar its slots, unless it holds them already.
func (l *link) push(ctx context.Context, force bool) {
	snap := l.opts.View.Load()
	if snap.Config == nil {
		return
	}
	if !force && l.holds(snap) {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if err := l.ensureBoot(ctx, force); err != nil {
		l.opts.Log.Debug("assignment not handed over", "host", l.host.ID, "err", err)
		return
	}
	if err := l.assign(ctx, l.opts.View.Load()); err != nil {
		l.opts.Log.Warn("assignment not handed over", "host", l.host.ID, "err", err)
	}
}

// isBehind reports whether the sidecar lacks something of the snapshot.
func (l *link) isBehind() bool {
	snap := l.opts.View.Load()
	return snap.Config != nil && !l.holds(snap)
}

// pushDelay lets the routers that rank before this one for the host go first.
// Its assignment then shows in the sidecar's report, and this router need not
// hand over the same.
func (l *link) pushDelay() time.Duration {
	return min(time.Duration(l.rank(l.host.ID))*pushStagger, maxPushDelay)
}

// holds reports whether the sidecar has an assignment as new as the snapshot,
// from this router or, by its last report, from another one.
func (l *link) holds(snap *view.Snapshot) bool {
	report := l.opts.View.Report(l.host.ID)
	if report == nil {
		return false
	}
	if l.pushed.bootID == report.GetBootId() && l.pushed.covers(snap, l.host.ID) {
		return true
	}
	held := revisions{
		config: report.GetConfigRevision(),
		table:  int64(report.GetTableRevision()),
		closed: report.GetDraining(),
	}
	return held.covers(snap, l.host.ID)
}

// ensureBoot learns the sidecar's boot id and then reads the table, so that the
// slots of the next assignment were read after the sidecar's start.
func (l *link) ensureBoot(ctx context.Context, force bool) error {
	report := l.opts.View.Report(l.host.ID)
	known := l.bootID != "" && (report == nil || report.GetBootId() == l.bootID)
	if known && !force {
		return nil
	}
	hello := &apiv1.RouterFrame{Body: &apiv1.RouterFrame_Hello{Hello: &apiv1.Hello{Router: l.opts.Router}}}
	reply, err := call(ctx, l.opts.Pool, l.host.Address, hello)
	if err != nil {
		return err
	}
	if reply.GetHello() == nil {
		return ErrUnexpectedFrame
	}
	if err := l.opts.Refresh(ctx); err != nil {
		return fmt.Errorf("read table after the sidecar's start: %w", err)
	}
	l.bootID = reply.GetHello().GetBootId()
	return nil
}

func (l *link) assign(ctx context.Context, snap *view.Snapshot) error {
	next := assignment(snap, l.host.ID, l.bootID)
	frame := &apiv1.RouterFrame{Body: &apiv1.RouterFrame_Assign{Assign: next}}
	reply, err := call(ctx, l.opts.Pool, l.host.Address, frame)
	if err != nil {
		return err
	}
	if reply.GetAssign() == nil {
		return ErrUnexpectedFrame
	}
	if !reply.GetAssign().GetAccepted() {
		l.bootID = "" // learn the boot id and read the table again
		return fmt.Errorf("sidecar refused the assignment: %s", reply.GetAssign().GetReason())
	}
	l.pushed = revisions{
		bootID: l.bootID,
		config: next.GetConfigRevision(),
		table:  snap.TableRevision,
		closed: closed(snap, l.host.ID),
	}
	l.opts.Log.Debug("assignment handed over", "host", l.host.ID, "slots", len(next.GetSlots()),
		"config_revision", next.GetConfigRevision(), "table_revision", next.GetTableRevision())
	return nil
}
