package cell

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	apiv1 "github.com/ragwortdoor/ragwortdoor/api/ragwortdoor/v1"
	"github.com/ragwortdoor/ragwortdoor/internal/blocklist"
	"github.com/ragwortdoor/ragwortdoor/internal/fleet"
	"github.com/ragwortdoor/ragwortdoor/internal/pace"
	"github.com/ragwortdoor/ragwortdoor/internal/retry"
	"github.com/ragwortdoor/ragwortdoor/internal/transport"
	"github.com/ragwortdoor/ragwortdoor/internal/workspace"
)

const (
	// heartbeatInterval is the time between two heartbeats of the scheduler.
	heartbeatInterval = 250 * time.Millisecond
	// heartbeatTimeout is how long a router waits for a message from the scheduler
	// before it closes the link.
	heartbeatTimeout = 800 * time.Millisecond
	// maxRenewalAge is the age of the holder's last renewal from which routers read
	// the lease row themselves.
	maxRenewalAge = 1500 * time.Millisecond
	// maxConfigAge and maxListAge are the ages of the scheduler's last reads from
	// which a router reads the configuration and the upstream list itself. The
	// scheduler reads them every 0.6 s and 0.5 s.
	maxConfigAge = 1200 * time.Millisecond
	maxListAge   = 1100 * time.Millisecond
	// confirmTimeout bounds the wait until the scheduler confirms or decides a
	// placement request.
	confirmTimeout = 250 * time.Millisecond
	dialTimeout    = 500 * time.Millisecond
	redialDelay    = 150 * time.Millisecond
	// closeDelay lets queued calls be sent before a link is closed.
	closeDelay = 50 * time.Millisecond
)

// ErrNoScheduler means that no scheduler is connected, or that it has not confirmed a
// request in time.
var ErrNoScheduler = errors.New("no scheduler is connected: another router takes over within seconds")

// Error implements error.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("placement refused: %s (retry after %s)", e.Reason, e.RetryAfter)
}

// sender is a link to the scheduler. send does not block.
type sender interface {
	send(call *apiv1.SchedulerCall) error
	close()
}

// Client keeps a link to the scheduler, in this process or on another router, and
// sends it this router's placement requests. It is safe for concurrent use.
type Client struct {
	opts ClientOptions

	lastNumber atomic.Uint64

	mu      sync.Mutex
	target  string // address of the holder, empty without one, or localTarget
	link    sender
	pending map[uint64]*pendingRequest       // placement requests without a decision, by number
	running map[uint64]*apiv1.RunningRequest // placed requests, by number
	// startedAt is when the responses of placed requests began, by number.
	startedAt map[uint64]time.Time
	// brokenOff are the requests that broke off lately, oldest first.
	brokenOff []reportedBrokenOff
	// connected is set by the first heartbeat of the current link. lastReceived is
	// when its last message arrived; renewedAt is when the scheduler last renewed
	// its lease.
	connected    bool
	lastReceived time.Time
	renewedAt    time.Time
	// unlinkedAt is when connected was reset, at first when this process began.
	unlinkedAt time.Time
	// configVersion, schedulerCores, leaseVersion and the number of routers are as the
	// scheduler reported them.
	// configAt and listAt are when it last read the configuration and the upstream
	// list. listReceived is set when the complete list has arrived over this link.
	configVersion    int64
	schedulerCores   float64
	routers          int
	leaseVersion     int64
	configAt, listAt time.Time
	listReceived     bool
	// partialList holds the parts of a list whose last part has not arrived; nil without.
	partialList *apiv1.UpstreamList
	// quotaWaits has the requests that wait for a quota, by key.
	quotaWaits map[quotaKey]*quotaWait
	// offeredWorkspaces is the version of the workspaces that were sent over this link.
	offeredWorkspaces int64
	linkUp            chan struct{} // closed and replaced when connected is set
	// draining is set by ReportDraining.
	draining bool
	// handedOverVersion is the version of the lease row at the last handover. That
	// row and older ones name a holder that no longer schedules.
	handedOverVersion int64
}

// ClientObserver logs the beginning and the end of connections to the scheduler.
type ClientObserver interface {
	SchedulerLinked(address string)
	SchedulerLost(address string, err error)
}

// localTarget stands for the scheduler of this process.
const localTarget = "local"

// ClientOptions configure a Client.
type ClientOptions struct {
	Host   string
	BootID string
	// Address is this router's address for other routers, "IP:PORT".
	Address string
	// Cores is the processor share of this host.
	Cores float64
	// Credentials protect the links.
	Credentials transport.Credentials
	// Local is the scheduler of this process.
	Local    *Scheduler
	Observer ClientObserver
	// ListVersion returns the version of the upstream list that this router has, 0
	// without one.
	ListVersion func() int64
	// OnUpstreamList is called with each list that the scheduler relays, OnHandover
	// with a lease that it hands over to this router. They must not call the client.
	OnUpstreamList func(fleet.Change)
	OnHandover     func(Handover)
	// Workspaces returns the workspaces that this router knows of, nil for none. OnWorkspaces is
	// called with those that the scheduler relays; it must not call the client.
	Workspaces   func() *workspace.Set
	OnWorkspaces func(*workspace.Set)
	// Blocklist has the blocked prompts that this router knows of; the client replaces
	// them by those that the scheduler relays. Nil means an empty list.
	Blocklist *blocklist.List
	// Limits has the limits that this router knows of; nil means none. Quotas has what it may
	// spend of the quotas of workspaces; nil means nothing.
	Limits *pace.Router
	Quotas *pace.Allowances
}

// NewClient returns a client without a scheduler. It connects to none until Run is
// called.
func NewClient(opts ClientOptions) *Client {
	if opts.Blocklist == nil {
		opts.Blocklist = &blocklist.List{}
	}
	if opts.Limits == nil {
		opts.Limits = pace.NewRouter(opts.Host)
	}
	if opts.Quotas == nil {
		opts.Quotas = pace.NewAllowances(opts.Host, pace.Tolerance{})
	}
	if opts.Workspaces == nil {
		opts.Workspaces = func() *workspace.Set { return nil }
	}
	return &Client{
		opts:       opts,
		pending:    make(map[uint64]*pendingRequest),
		running:    make(map[uint64]*apiv1.RunningRequest),
		startedAt:  make(map[uint64]time.Time),
		unlinkedAt: time.Now(),
		quotaWaits: make(map[quotaKey]*quotaWait),
		linkUp:     make(chan struct{}),
	}
}

// Follow connects to the scheduler at address instead of the previous one, which is
// notified that it was superseded. leaseVersion is the version of the lease row that
// names the new one; a row from before a handover is ignored.
func (c *Client) Follow(address string, leaseVersion int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if leaseVersion > c.handedOverVersion {
		c.followLocked(address, leaseVersion)
	}
}

// FollowLocal connects to the scheduler of this process, which began a term that is
// based on leaseVersion.
func (c *Client) FollowLocal(leaseVersion int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.followLocked(localTarget, leaseVersion)
}

func (c *Client) followLocked(address string, leaseVersion int64) {
	if c.target == address {
		return
	}
	successor := address
	if address == localTarget {
		successor = c.opts.Address
	}
	if c.target != localTarget {
		c.sendLocked(&apiv1.SchedulerCall{Body: &apiv1.SchedulerCall_Superseded{Superseded: &apiv1.SchedulerSuperseded{Address: successor, LeaseVersion: leaseVersion}}})
	}
	c.target = address
	c.dropLinkLocked(errors.New("another router holds the lease"))
}

// ReportDraining notifies the scheduler, and each later one, that this router is
// stopping and can't take over the lease.
func (c *Client) ReportDraining() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.draining = true
	c.sendLocked(leavingCall())
}

func leavingCall() *apiv1.SchedulerCall {
	return &apiv1.SchedulerCall{Body: &apiv1.SchedulerCall_Leaving{Leaving: &apiv1.RouterLeaving{}}}
}

// UnfollowLocal closes the link to the scheduler of this process, if there is one.
func (c *Client) UnfollowLocal() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.target == localTarget {
		c.target = ""
		c.dropLinkLocked(errors.New("this router no longer schedules"))
	}
}

// ReportStoreReachable notifies the scheduler that this router has just reached the
// store.
func (c *Client) ReportStoreReachable() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sendLocked(&apiv1.SchedulerCall{Body: &apiv1.SchedulerCall_Standing{Standing: &apiv1.RouterStanding{}}})
}

// ReportUpstreamLeaving notifies the scheduler that an upstream is about to leave.
func (c *Client) ReportUpstreamLeaving(id string, startedMs int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sendLocked(&apiv1.SchedulerCall{Body: &apiv1.SchedulerCall_LeavingUpstream{LeavingUpstream: &apiv1.LeavingUpstream{Id: id, StartedMs: startedMs}}})
}

// Run maintains a link to the scheduler until ctx ends.
func (c *Client) Run(ctx context.Context) {
	for ctx.Err() == nil {
		c.mu.Lock()
		target := c.target
		linked := c.link != nil
		timedOut := linked && time.Since(c.lastReceived) > heartbeatTimeout
		if timedOut {
			c.dropLinkLocked(errors.New("no message from the scheduler within the heartbeat timeout"))
			linked = false
		}
		c.mu.Unlock()
		if !linked && target != "" {
			c.connect(ctx, target)
		}
		retry.Sleep(ctx, redialDelay)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.dropLinkLocked(ctx.Err())
}

func (c *Client) connect(ctx context.Context, target string) {
	if target == localTarget {
		c.connectLocal()
		return
	}
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	session, err := transport.Dial(ctx, target, c.opts.Credentials)
	if err != nil {
		return
	}
	stream, err := session.Open()
	if err != nil {
		_ = session.Close() // it failed already
		return
	}
	link := &remoteLink{session: session, stream: stream, out: make(chan *apiv1.SchedulerCall, sendQueueSize), done: make(chan struct{})}
	go link.write()
	if !c.install(target, link) {
		link.close()
		return
	}
	go c.receive(link)
}

// install makes link the current one and sends the hello over it. It reports false
// if the target has changed, another link exists or the hello can't be sent.
func (c *Client) install(target string, link sender) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.target != target || c.link != nil {
		return false
	}
	hello := c.helloLocked()
	if link.send(&apiv1.SchedulerCall{Body: &apiv1.SchedulerCall_Hello{Hello: hello}}) != nil {
		return false
	}
	if c.draining && link.send(leavingCall()) != nil {
		return false
	}
	c.link = link
	c.lastReceived = time.Now()
	c.listReceived, c.partialList, c.offeredWorkspaces = false, nil, 0
	return true
}

func (c *Client) connectLocal() {
	link := &localLink{}
	link.session = c.opts.Local.attach(
		func(reply *apiv1.SchedulerReply) { c.handleReply(link, reply) },
		func() { c.linkLost(link, errors.New("this router no longer schedules")) },
	)
	// The scheduler relays nothing before the hello that install sends, and
	// handleReply ignores earlier heartbeats.
	if link.session != nil && !c.install(localTarget, link) {
		link.close()
	}
}

func (c *Client) receive(link *remoteLink) {
	for {
		reply := &apiv1.SchedulerReply{}
		if err := link.stream.Recv(reply); err != nil {
			c.linkLost(link, err)
			return
		}
		c.handleReply(link, reply)
	}
}

func (c *Client) linkLost(link sender, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.link == link {
		c.dropLinkLocked(err)
	}
}

// dropLinkLocked closes the link. Pending placement requests fail with
// ErrNoScheduler.
func (c *Client) dropLinkLocked(err error) {
	if c.link == nil {
		return
	}
	closeLater(c.link)
	c.link = nil
	for number, req := range c.pending {
		close(req.decision)
		delete(c.pending, number)
	}
	c.failQuotaWaitsLocked()
	if c.connected {
		c.connected = false
		c.unlinkedAt = time.Now()
		c.opts.Observer.SchedulerLost(c.target, err)
	}
}

// closeLater closes a link after a delay, so that queued calls are sent first.
func closeLater(link sender) { time.AfterFunc(closeDelay, link.close) }

func (c *Client) sendLocked(call *apiv1.SchedulerCall) {
	if c.link == nil {
		return
	}
	if err := c.link.send(call); err != nil {
		c.dropLinkLocked(err)
	}
}

func microseconds(us int64) time.Duration { return time.Duration(us) * time.Microsecond }
