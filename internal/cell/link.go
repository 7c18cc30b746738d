package cell

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	apiv1 "github.com/ragwortdoor/ragwortdoor/api/ragwortdoor/v1"
	"github.com/ragwortdoor/ragwortdoor/internal/fleet"
	"github.com/ragwortdoor/ragwortdoor/internal/retry"
	"github.com/ragwortdoor/ragwortdoor/internal/transport"
)

const (
	// beatEvery is the pace of the scheduler's signs of life.
	beatEvery = 250 * time.Millisecond
	// silenceLimit is the time without one after which a link is given up.
	silenceLimit = 800 * time.Millisecond
	// staleLease is the age of the last renewal after which routers look at the
	// lease themselves.
	staleLease = 1500 * time.Millisecond
	// freshConfig and freshList are the ages of the scheduler's reads after which
	// a router reads by itself. A scheduler reads each 0.6 and 0.5 s.
	freshConfig = 1200 * time.Millisecond
	freshList   = 1100 * time.Millisecond
	// askTimeout bounds the wait for the confirmation of an ask.
	askTimeout  = 250 * time.Millisecond
	dialTimeout = 500 * time.Millisecond
	redialPause = 150 * time.Millisecond
	closeDelay  = 50 * time.Millisecond
)

// ErrNoScheduler means that no scheduler is connected.
var ErrNoScheduler = errors.New("no scheduler is connected: another router takes over within seconds")

// Error implements error.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("refused: %s (come back in %s)", e.Reason, e.RetryAfter)
}

// sender takes calls to the scheduler.
type sender interface {
	send(call *apiv1.SchedulerCall) error
	close()
}

// Client asks the scheduler, wherever it runs.
type Client struct {
	opts ClientOptions

	numbers atomic.Uint64

	mu      sync.Mutex
	target  string // address of the holder; empty for none, "local" for this process
	link    sender
	waiting map[uint64]*waitingAsk
	running map[uint64]*apiv1.RunningRequest
	// lastBeat and renewedAt belong to the present link; alive is set by its
	// first beat.
	alive     bool
	lastBeat  time.Time
	renewedAt time.Time
	// configVersion is that of the scheduler; configAt and listAt are when it
	// read the configuration and the list of upstreams; listed is set once the
	// whole list has come through this link.
	configVersion    int64
	schedulerCores   float64
	leaseVersion     int64
	configAt, listAt time.Time
	listed           bool
	changed          chan struct{} // closed when a link comes up
}

// ClientObserver is told about links, for logs.
type ClientObserver interface {
	SchedulerLinked(address string)
	SchedulerLost(address string, err error)
}

const localTarget = "local"

// ClientOptions configure a Client.
type ClientOptions struct {
	Host   string
	BootID string
	// Address is where this router is reached by others, Cores its host's
	// processor share.
	Address string
	Cores   float64
	// Credentials protect the links.
	Credentials transport.Credentials
	// Local is the scheduler of this process.
	Local    *Scheduler
	Observer ClientObserver
	// OnUpstreamList takes the lists that the scheduler passes on, OnHandover a lease
	// that it hands over. They must not call the client.
	OnUpstreamList func(fleet.Change)
	OnHandover     func(Handover)
}

// NewClient makes a client without a scheduler; call Run.
func NewClient(opts ClientOptions) *Client {
	return &Client{
		opts:    opts,
		waiting: make(map[uint64]*waitingAsk),
		running: make(map[uint64]*apiv1.RunningRequest),
		changed: make(chan struct{}),
	}
}

// Follow sends asks to the scheduler at address from now on.
func (c *Client) Follow(address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.followLocked(address)
}

func (c *Client) followLocked(address string) {
	if c.target == address {
		return
	}
	if c.target != localTarget && address != localTarget {
		c.sendLocked(superseded(address))
	} else if address == localTarget {
		c.sendLocked(superseded(c.opts.Address))
	}
	c.target = address
	c.dropLinkLocked(errors.New("another router schedules"))
}

func superseded(address string) *apiv1.SchedulerCall {
	return &apiv1.SchedulerCall{Body: &apiv1.SchedulerCall_Superseded{Superseded: &apiv1.SchedulerSuperseded{Address: address}}}
}

// ReportDraining tells the scheduler that this router stops.
func (c *Client) ReportDraining() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sendLocked(&apiv1.SchedulerCall{Body: &apiv1.SchedulerCall_Leaving{Leaving: &apiv1.RouterLeaving{}}})
}

// FollowLocal sends asks to the scheduler of this process.
func (c *Client) FollowLocal() { c.Follow(localTarget) }

// UnfollowLocal drops the scheduler of this process.
func (c *Client) UnfollowLocal() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.target == localTarget {
		c.target = ""
		c.dropLinkLocked(errors.New("this router no longer schedules"))
	}
}

// HasActiveScheduler reports whether a scheduler that renews its lease is connected.
func (c *Client) HasActiveScheduler() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	return c.alive && now.Sub(c.lastBeat) < silenceLimit && now.Sub(c.renewedAt) < staleLease
}

// SchedulerCores is the processor share of the connected scheduler's host, 0
// without one.
func (c *Client) SchedulerCores() float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.alive {
		return 0
	}
	return c.schedulerCores
}

// ReportStoreReachable tells the scheduler that this router has just reached the store.
func (c *Client) ReportStoreReachable() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sendLocked(&apiv1.SchedulerCall{Body: &apiv1.SchedulerCall_Standing{Standing: &apiv1.RouterStanding{}}})
}

// SchedulerLeaseVersion is the version of the lease's row that the connected scheduler
// goes on from; 0 without one.
func (c *Client) SchedulerLeaseVersion() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.alive || time.Since(c.lastBeat) >= silenceLimit {
		return 0
	}
	return c.leaseVersion
}

// Fresh implements fleet.Peer: the scheduler of another host passes on what it
// reads.
func (c *Client) Fresh() (configVersion int64, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	ok = c.alive && c.listed && c.target != localTarget && now.Sub(c.lastBeat) < silenceLimit &&
		now.Sub(c.configAt) < freshConfig && now.Sub(c.listAt) < freshList
	return c.configVersion, ok
}

// Run keeps a link to the scheduler until ctx ends.
func (c *Client) Run(ctx context.Context) {
	for ctx.Err() == nil {
		c.mu.Lock()
		target := c.target
		linked := c.link != nil
		silent := linked && time.Since(c.lastBeat) > silenceLimit
		if silent {
			c.dropLinkLocked(errors.New("the scheduler is silent"))
			linked = false
		}
		c.mu.Unlock()
		if !linked && target != "" {
			c.connect(ctx, target)
		}
		retry.Sleep(ctx, redialPause)
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
	link := &remoteLink{session: session, stream: stream, out: make(chan *apiv1.SchedulerCall, sendQueue), done: make(chan struct{})}
	go link.write()
	if !c.install(target, link) {
		link.close()
		return
	}
	go c.receive(link)
}

// install makes link the present one and sends the hello through it.
func (c *Client) install(target string, link sender) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.target != target || c.link != nil {
		return false
	}
	hello := &apiv1.SchedulerHello{Router: c.opts.Host, BootId: c.opts.BootID, Cores: c.opts.Cores, Address: c.opts.Address}
	for _, r := range c.running {
		hello.Running = append(hello.Running, r)
	}
	if link.send(&apiv1.SchedulerCall{Body: &apiv1.SchedulerCall_Hello{Hello: hello}}) != nil {
		return false
	}
	c.link = link
	c.lastBeat = time.Now()
	c.listed = false
	return true
}

func (c *Client) connectLocal() {
	link := &localLink{}
	link.session = c.opts.Local.attach(
		func(reply *apiv1.SchedulerReply) { c.deliver(link, reply) },
		func() { c.lost(link, errors.New("this router no longer schedules")) },
	)
	// Replies come only after the hello that install sends.
	if link.session != nil && !c.install(localTarget, link) {
		link.close()
	}
}

func (c *Client) receive(link *remoteLink) {
	for {
		reply := &apiv1.SchedulerReply{}
		if err := link.stream.Recv(reply); err != nil {
			c.lost(link, err)
			return
		}
		c.deliver(link, reply)
	}
}

func (c *Client) lost(link sender, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.link == link {
		c.dropLinkLocked(err)
	}
}

// dropLinkLocked ends the link. Asks without an answer get none.
func (c *Client) dropLinkLocked(err error) {
	if c.link == nil {
		return
	}
	closeLater(c.link)
	c.link = nil
	for number, ask := range c.waiting {
		close(ask.answer)
		delete(c.waiting, number)
	}
	if c.alive {
		c.alive = false
		c.opts.Observer.SchedulerLost(c.target, err)
	}
}

// closeLater ends a link once its last calls had time to be sent.
func closeLater(link sender) { time.AfterFunc(closeDelay, link.close) }

// beatLocked notes a sign of life.
func (c *Client) beatLocked(beat *apiv1.SchedulerBeat) {
	c.renewedAt = c.lastBeat.Add(-microseconds(beat.GetRenewedAgoUs()))
	c.configVersion = beat.GetConfigVersion()
	c.leaseVersion = beat.GetLeaseVersion()
	c.schedulerCores = beat.GetCores()
	c.configAt = c.lastBeat.Add(-microseconds(beat.GetConfigAgeUs()))
	c.listAt = c.lastBeat.Add(-microseconds(beat.GetListAgeUs()))
	if c.alive {
		return
	}
	c.alive = true
	close(c.changed)
	c.changed = make(chan struct{})
	c.opts.Observer.SchedulerLinked(c.target)
}

func (c *Client) deliver(link sender, reply *apiv1.SchedulerReply) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.link != link {
		return
	}
	c.lastBeat = time.Now()
	var number uint64
	switch body := reply.GetBody().(type) {
	case *apiv1.SchedulerReply_Beat:
		c.beatLocked(body.Beat)
		return
	case *apiv1.SchedulerReply_Handover:
		h := body.Handover
		c.opts.OnHandover(Handover{Fence: h.GetFence(), Version: h.GetVersion(), BootID: h.GetBootId(), WaitLeaseTime: h.GetWaitLeaseTime()})
		return
	case *apiv1.SchedulerReply_Moved:
		c.followLocked(body.Moved.GetAddress())
		return
	case *apiv1.SchedulerReply_List:
		c.listed = true
		c.opts.OnUpstreamList(decodeList(body.List))
		return
	case *apiv1.SchedulerReply_Queued:
		if ask := c.waiting[body.Queued.GetNumber()]; ask != nil {
			ask.queued = true
		}
		return
	case *apiv1.SchedulerReply_Grant:
		number = body.Grant.GetNumber()
	case *apiv1.SchedulerReply_Refusal:
		number = body.Refusal.GetNumber()
	}
	if ask := c.waiting[number]; ask != nil {
		delete(c.waiting, number)
		ask.answer <- reply
		return
	}
	if reply.GetGrant() != nil {
		// The asker has left meanwhile.
		c.sendLocked(progress(number, apiv1.PlacementOutcome_PLACEMENT_OUTCOME_CANCELLED))
	}
}

func (c *Client) sendLocked(call *apiv1.SchedulerCall) {
	if c.link == nil {
		return
	}
	if err := c.link.send(call); err != nil {
		c.dropLinkLocked(err)
	}
}

func microseconds(us int64) time.Duration { return time.Duration(us) * time.Microsecond }

// WaitLinked waits until a scheduler is connected.
func (c *Client) WaitLinked(ctx context.Context) error {
	for {
		c.mu.Lock()
		linked := c.alive
		changed := c.changed
		c.mu.Unlock()
		if linked {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}
