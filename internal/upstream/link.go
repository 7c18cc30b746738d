package upstream

import (
	"context"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"

	apiv1 "github.com/ragwortdoor/ragwortdoor/api/ragwortdoor/v1"
	"github.com/ragwortdoor/ragwortdoor/internal/external"
	"github.com/ragwortdoor/ragwortdoor/internal/retry"
	"github.com/ragwortdoor/ragwortdoor/internal/transport"
)

const (
	redialDelay    = 200 * time.Millisecond // doubles, with jitter, up to maxRedialDelay
	maxRedialDelay = 5 * time.Second
)

// link is the session to one sidecar: a watch stream for reports and permits,
// and a loop that hands over the host's slots whenever they change.
type link struct {
	opts   Options
	host   external.Host
	rank   func(host string) int // of this router for a host, 0 for the first
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

func newLink(opts Options, h external.Host, rank func(host string) int, cancel context.CancelFunc) *link {
	return &link{
		opts:      opts,
		host:      h,
		rank:      rank,
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
