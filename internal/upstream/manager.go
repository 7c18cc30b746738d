// Package upstream keeps a router's sessions to the sidecars of upstream hosts:
// it hands them their slots, subscribes to their load reports and passes on
// weight-store permits.
package upstream

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"

	apiv1 "github.com/ragwortdoor/ragwortdoor/api/ragwortdoor/v1"
	"github.com/ragwortdoor/ragwortdoor/internal/external"
	"github.com/ragwortdoor/ragwortdoor/internal/rendezvous"
	"github.com/ragwortdoor/ragwortdoor/internal/transport"
	"github.com/ragwortdoor/ragwortdoor/internal/view"
)

// Permits answers the permit requests of sidecars.
type Permits interface {
	// Request asks for a load. It reports false when this router is not the
	// allocator. The grant is sent later through Manager.Grant.
	Request(host string, req *apiv1.PermitRequest) bool
	// Lost tells that a host's session has ended.
	Lost(host string)
}

// Options configure a Manager.
type Options struct {
	// Router is the id of this host.
	Router string
	View   *view.Store
	Pool   *transport.Pool
	// Refresh returns after a read of the table that started after the call.
	Refresh func(ctx context.Context) error
	// Watches reports whether this router keeps a session to a host.
	Watches func(external.Host) bool
	// Peers lists the live routers that watch the same hosts, this one included;
	// nil means that it is alone.
	Peers func() []string
	// InFlightDelta and InFlightPercent are the change of requests in flight that
	// is worth a report: the larger of the two.
	InFlightDelta   uint32
	InFlightPercent uint32
	// ReportPeriod is the longest time between two reports.
	ReportPeriod time.Duration
	Permits      Permits
	Log          *log.Logger
}

// Manager keeps one link for each upstream host that the router watches.
type Manager struct {
	opts Options

	mu    sync.Mutex
	links map[string]*link // by host id; guarded by mu
	wg    sync.WaitGroup

	// peers is what opts.Peers returned at the last reconcile: links rank
	// themselves by it without a walk over the host list each.
	peers atomic.Pointer[[]string]
}

// NewManager makes a manager without links; Run opens them.
func NewManager(opts Options) *Manager {
	return &Manager{opts: opts, links: make(map[string]*link)}
}

const (
	reconcilePeriod = 250 * time.Millisecond
	retryPeriod     = 2 * time.Second // of assignments that were not handed over
	callTimeout     = 3 * time.Second
)

// Run keeps the links in step with the host list until ctx is done.
func (m *Manager) Run(ctx context.Context) error {
	ticker := time.NewTicker(reconcilePeriod)
	defer ticker.Stop()
	var last *view.Snapshot
	var lastAt time.Time
	for {
		snap := m.opts.View.Load()
		if now := time.Now(); concerns(last, snap) || now.Sub(lastAt) >= retryPeriod {
			m.reconcile(ctx, snap)
			last, lastAt = snap, now
		}
		select {
		case <-ctx.Done():
			m.wg.Wait()
			return nil
		case <-ticker.C:
		}
	}
}

// concerns reports whether a snapshot holds anything new for sidecars. Most
// writes of the table are renewals of leases, which don't concern them.
func concerns(last, next *view.Snapshot) bool {
	return last == nil ||
		next.SlotsRevision != last.SlotsRevision ||
		next.Config != last.Config ||
		next.Hosts.Revision != last.Hosts.Revision ||
		!maps.Equal(next.Drains, last.Drains)
}

// reconcile opens links to the hosts to be watched, ends the others, and lets
// those that stay look at the new snapshot.
func (m *Manager) reconcile(ctx context.Context, snap *view.Snapshot) {
	m.learnPeers()
	m.mu.Lock()
	defer m.mu.Unlock()
	for id, l := range m.links {
		h, listed := snap.ByHost[id]
		if !listed || h.Address != l.host.Address || !m.opts.Watches(h) {
			l.cancel()
			delete(m.links, id)
		}
	}
	for _, h := range snap.Hosts.Hosts {
		if h.Role != external.RoleUpstream || !m.opts.Watches(h) {
			continue
		}
		l := m.links[h.ID]
		if l == nil {
			l = m.startLink(ctx, h)
		}
		l.notify()
	}
}

func (m *Manager) learnPeers() {
	if m.opts.Peers != nil {
		peers := m.opts.Peers()
		m.peers.Store(&peers)
	}
}

// rank counts the routers that go before this one for a host.
func (m *Manager) rank(host string) int {
	peers := m.peers.Load()
	if peers == nil {
		return 0
	}
	return rendezvous.Rank(host, m.opts.Router, *peers)
}

// startLink runs a link; the caller holds mu.
func (m *Manager) startLink(ctx context.Context, h external.Host) *link {
	ctx, cancel := context.WithCancel(ctx)
	l := newLink(m.opts, h, m.rank, cancel)
	m.links[h.ID] = l
	m.wg.Go(func() { l.run(ctx) })
	return l
}

func (m *Manager) link(host string) *link {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.links[host]
}

// silentAfter is how long a session must be down before its host counts as
// silent; a restart of a sidecar is shorter.
const silentAfter = 3 * time.Second

// Silent returns the watched hosts that do not answer.
func (m *Manager) Silent() map[string]bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	silent := make(map[string]bool)
	for id, l := range m.links {
		if l.downFor(now) > silentAfter {
			silent[id] = true
		}
	}
	return silent
}

// Refresh reads the table again and hands the host its slots. It does not wait.
func (m *Manager) Refresh(host string) {
	if l := m.link(host); l != nil {
		l.forcePush()
	}
}

// Grant sends a permit to a host. It is dropped when the session has ended; the
// sidecar then asks again.
func (m *Manager) Grant(host string, permit *apiv1.LoadPermit) {
	if l := m.link(host); l != nil {
		l.grant(permit)
	}
}

// Release orders a sidecar to unload a slot and waits for its answer.
func (m *Manager) Release(ctx context.Context, host string, rel *apiv1.ReleaseSlot) (*apiv1.ReleaseReply, error) {
	h, listed := m.opts.View.Load().ByHost[host]
	if !listed {
		return nil, fmt.Errorf("release %s slot %d: host %s is not listed: wait until its grace period is over", rel.GetModel(), rel.GetSlot(), host)
	}
	frame := &apiv1.RouterFrame{Body: &apiv1.RouterFrame_Release{Release: rel}}
	reply, err := call(ctx, m.opts.Pool, h.Address, frame)
	if err != nil {
		return nil, fmt.Errorf("release %s slot %d on %s: %w", rel.GetModel(), rel.GetSlot(), host, err)
	}
	if reply.GetRelease() == nil {
		return nil, fmt.Errorf("release %s slot %d on %s: %w", rel.GetModel(), rel.GetSlot(), host, ErrUnexpectedFrame)
	}
	return reply.GetRelease(), nil
}

// ErrUnexpectedFrame means that a sidecar speaks another version of the protocol.
var ErrUnexpectedFrame = errors.New("unexpected frame: run the same release on routers and sidecars")

// call opens a stream, sends one frame and receives one.
func call(ctx context.Context, pool *transport.Pool, addr string, frame *apiv1.RouterFrame) (*apiv1.SidecarFrame, error) {
	stream, err := pool.Open(ctx, addr)
	if err != nil {
		return nil, err
	}
	defer func() { _ = stream.Close() }()
	stop := context.AfterFunc(ctx, func() { _ = stream.Close() })
	defer stop()
	if err := stream.Send(frame); err != nil {
		return nil, err
	}
	reply := &apiv1.SidecarFrame{}
	if err := stream.Recv(reply); err != nil {
		return nil, err
	}
	return reply, nil
}
