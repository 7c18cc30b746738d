package upstream

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"

	apiv1 "github.com/ragwortdoor/ragwortdoor/api/ragwortdoor/v1"
	"github.com/ragwortdoor/ragwortdoor/internal/platform"
	"github.com/ragwortdoor/ragwortdoor/internal/rendezvous"
	"github.com/ragwortdoor/ragwortdoor/internal/retry"
	"github.com/ragwortdoor/ragwortdoor/internal/transport"
	"github.com/ragwortdoor/ragwortdoor/internal/view"
)

const (
	redialDelay    = 200 * time.Millisecond // doubles, with jitter, up to maxRedialDelay
	maxRedialDelay = 5 * time.Second

	// pushStagger is what each router waits for the ones before it in the
	// host's rank to hand over a change, up to maxPushDelay.
	pushStagger  = 300 * time.Millisecond
	maxPushDelay = 2 * time.Second
)

// link is the session to one sidecar: a watch stream for reports and permits,
// and a loop that hands over the host's slots whenever they change.
type link struct {
	opts   Options
	host   platform.Host
	cancel context.CancelFunc

	wake  chan struct{} // the snapshot may have changed
	force chan struct{} // the sidecar asked for a newer assignment

	mu        sync.Mutex
	watch     *transport.Stream // nil while the session is down; guarded by mu
	downSince time.Time         // when it went down or the link began; guarded by mu

	// bootID is that of the last Hello; pushed is the last assignment that the
	// sidecar accepted from this link. Both belong to the run goroutine.
	bootID string
	pushed revisions
}

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

func newLink(opts Options, h platform.Host, cancel context.CancelFunc) *link {
	return &link{
		opts:      opts,
		host:      h,
		cancel:    cancel,
		wake:      make(chan struct{}, 1),
		force:     make(chan struct{}, 1),
		downSince: time.Now(),
	}
}

func (l *link) notify() { signal(l.wake) }

func (l *link) forcePush() { signal(l.force) }

func signal(ch chan struct{}) {
	select {
	case ch <- struct{}{}:
	default:
	}
}

// run keeps the session up until ctx is done.
func (l *link) run(ctx context.Context) {
	delays := backoff.NewExponentialBackOff()
	delays.InitialInterval = redialDelay
	delays.MaxInterval = maxRedialDelay
	for ctx.Err() == nil {
		if err := l.session(ctx); err != nil && ctx.Err() == nil {
			l.opts.Log.Debug("session to sidecar ended", "host", l.host.ID, "err", err)
		}
		if l.opts.View.Report(l.host.ID) != nil {
			delays.Reset() // the session was up
		}
		l.opts.View.DropReport(l.host.ID)
		l.opts.Permits.Lost(l.host.ID)
		retry.Sleep(ctx, delays.NextBackOff())
	}
}

// session runs one watch stream from its start to its end.
func (l *link) session(ctx context.Context) error {
	stream, err := l.opts.Pool.Open(ctx, l.host.Address)
	if err != nil {
		return err
	}
	defer func() { _ = stream.Close() }()
	stop := context.AfterFunc(ctx, func() { _ = stream.Close() })
	defer stop()
	err = stream.Send(&apiv1.RouterFrame{Body: &apiv1.RouterFrame_Watch{Watch: &apiv1.Watch{
		Router:          l.opts.Router,
		InFlightDelta:   l.opts.InFlightDelta,
		InFlightPercent: l.opts.InFlightPercent,
		RefreshMs:       uint32(l.opts.ReportPeriod.Milliseconds()),
	}}})
	if err != nil {
		return err
	}
	l.setWatch(stream)
	defer l.setWatch(nil)
	frames, failed := receive(stream)
	return l.serve(ctx, frames, failed)
}

// receive reads frames in its own goroutine until the stream ends.
func receive(stream *transport.Stream) (<-chan *apiv1.SidecarFrame, <-chan error) {
	frames := make(chan *apiv1.SidecarFrame, 16)
	failed := make(chan error, 1)
	go func() {
		defer close(frames)
		for {
			frame := &apiv1.SidecarFrame{}
			if err := stream.Recv(frame); err != nil {
				failed <- err
				return
			}
			frames <- frame
		}
	}()
	return frames, failed
}

func (l *link) serve(ctx context.Context, frames <-chan *apiv1.SidecarFrame, failed <-chan error) error {
	defer drain(frames)
	l.bootID = ""
	l.pushed = revisions{}
	var due <-chan time.Time // set while a push waits for its turn
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case frame, ok := <-frames:
			if !ok {
				return <-failed
			}
			l.handle(ctx, frame)
		case <-l.force:
			l.push(ctx, true)
		case <-l.wake:
			if due == nil && l.isBehind() {
				due = time.After(l.pushDelay())
			}
		case <-due:
			due = nil
			l.push(ctx, false)
		}
	}
}

// drain lets the receiving goroutine end after the session did.
func drain(frames <-chan *apiv1.SidecarFrame) {
	go func() {
		for range frames { //nolint:revive // only the end matters
		}
	}()
}

func (l *link) handle(ctx context.Context, frame *apiv1.SidecarFrame) {
	switch body := frame.GetBody().(type) {
	case *apiv1.SidecarFrame_Report:
		if body.Report.GetCachedUnchanged() {
			body.Report.Cached = l.opts.View.Report(l.host.ID).GetCached()
		}
		l.opts.View.SetReport(body.Report)
		l.notify() // a sidecar that has restarted holds no slots
	case *apiv1.SidecarFrame_Permit:
		l.requestPermit(body.Permit)
	}
}

func (l *link) requestPermit(req *apiv1.PermitRequest) {
	kept := l.opts.Permits.Request(l.host.ID, req)
	if req.GetDone() {
		return
	}
	l.grant(&apiv1.LoadPermit{Id: req.GetId(), NoAllocator: !kept, Queued: kept})
}

func (l *link) grant(permit *apiv1.LoadPermit) {
	l.mu.Lock()
	stream := l.watch
	l.mu.Unlock()
	if stream != nil {
		_ = stream.Send(&apiv1.RouterFrame{Body: &apiv1.RouterFrame_Permit{Permit: permit}})
	}
}

func (l *link) setWatch(stream *transport.Stream) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.watch = stream
	l.downSince = time.Now()
}

// downFor returns for how long the session has been down, 0 while it is up.
func (l *link) downFor(now time.Time) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.watch != nil {
		return 0
	}
	return now.Sub(l.downSince)
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
	if l.opts.Peers == nil {
		return 0
	}
	rank := rendezvous.Rank(l.host.ID, l.opts.Router, l.opts.Peers())
	return min(time.Duration(rank)*pushStagger, maxPushDelay)
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
