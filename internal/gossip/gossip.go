// Package gossip exchanges small datagrams between routers: which
// configuration each has in force and which replicas became ready or went away.
// Datagrams are lost, repeated and reordered; they are hints only.
package gossip

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"github.com/panjf2000/gnet/v2"

	apiv1 "github.com/ragwortdoor/ragwortdoor/api/ragwortdoor/v1"
)

// Options configure a Node.
type Options struct {
	// Listen is the address for datagrams, "IP:PORT".
	Listen string
	// Token authenticates datagrams; nil leaves them open, for loopback.
	Token []byte
	// Period is the time between two rounds; Fanout is the number of random
	// peers that each round reaches.
	Period time.Duration
	Fanout int
	// Targets lists the addresses of the other routers, "IP:PORT".
	Targets func() []string
	// Message makes the next message; Node fills in the sequence and the time.
	Message func() *apiv1.Gossip
	// Heard is called for each message that is newer than the last one of its
	// sender. It must not block.
	Heard func(*apiv1.Gossip)
	Log   *log.Logger
}

// Node sends and receives datagrams.
type Node struct {
	gnet.BuiltinEventEngine

	opts     Options
	peers    *Peers
	sequence uint64 // of the run goroutine
	booted   chan gnet.Engine

	sent     atomic.Uint64
	received atomic.Uint64
	refused  atomic.Uint64
}

// NewNode makes a node; Run binds its address.
func NewNode(opts Options) *Node {
	return &Node{opts: opts, peers: NewPeers(), booted: make(chan gnet.Engine, 1)}
}

// Peers is the table of what was heard.
func (n *Node) Peers() *Peers { return n.peers }

// Stats counts datagrams.
type Stats struct {
	Sent     uint64 `json:"sent"`
	Received uint64 `json:"received"`
	// Refused datagrams had a wrong tag or could not be decoded.
	Refused uint64 `json:"refused"`
	Missed  uint64 `json:"missed"`
}

// Stats returns the counters.
func (n *Node) Stats() Stats {
	return Stats{
		Sent:     n.sent.Load(),
		Received: n.received.Load(),
		Refused:  n.refused.Load(),
		Missed:   n.peers.Gaps(),
	}
}

// OnBoot implements gnet.EventHandler.
func (n *Node) OnBoot(eng gnet.Engine) gnet.Action {
	n.booted <- eng
	return gnet.None
}

// OnTraffic implements gnet.EventHandler. Each call holds one datagram.
func (n *Node) OnTraffic(c gnet.Conn) gnet.Action {
	datagram, err := c.Next(-1)
	if err != nil {
		return gnet.None
	}
	n.receive(datagram)
	return gnet.None
}

func (n *Node) receive(datagram []byte) {
	n.received.Add(1)
	m, err := open(n.opts.Token, datagram)
	if err != nil {
		n.refused.Add(1)
		n.opts.Log.Debug("datagram refused", "err", err)
		return
	}
	if n.peers.Merge(m, time.Now()) {
		n.opts.Heard(m)
	}
}

const stopTimeout = 2 * time.Second

// Run serves until ctx is done.
func (n *Node) Run(ctx context.Context) error {
	served := make(chan error, 1)
	go func() {
		served <- gnet.Run(n, "udp://"+n.opts.Listen, gnet.WithLogger(n.opts.Log), gnet.WithReuseAddr(true))
	}()
	select {
	case err := <-served:
		return fmt.Errorf("listen for datagrams on %s: %w (stop the process that holds the port, or change \"gossip_listen\")", n.opts.Listen, err)
	case eng := <-n.booted:
		n.rounds(ctx)
		stopCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), stopTimeout)
		defer cancel()
		if err := eng.Stop(stopCtx); err != nil {
			return fmt.Errorf("stop datagram listener: %w", err)
		}
		return <-served
	}
}

// rounds sends one message per period until ctx is done.
func (n *Node) rounds(ctx context.Context) {
	ticker := time.NewTicker(n.opts.Period)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			n.round()
		}
	}
}

func (n *Node) round() {
	targets := n.opts.Targets()
	rand.Shuffle(len(targets), func(i, j int) { targets[i], targets[j] = targets[j], targets[i] })
	if len(targets) > n.opts.Fanout {
		targets = targets[:n.opts.Fanout]
	}
	if len(targets) == 0 {
		return
	}
	datagram, err := n.next()
	if err != nil {
		n.opts.Log.Error("gossip not sent", "err", err)
		return
	}
	for _, target := range targets {
		n.send(target, datagram)
	}
}

// next seals the next message. Hints that don't fit are left out: the receiver
// learns them from a later load report.
func (n *Node) next() ([]byte, error) {
	n.sequence++
	m := n.opts.Message()
	m.Sequence = n.sequence
	m.SentUnixMs = time.Now().UnixMilli()
	for {
		datagram, err := seal(n.opts.Token, m)
		if err != nil || len(datagram) <= MaxDatagramBytes || len(m.Replicas) == 0 {
			return datagram, err
		}
		m.Replicas = m.Replicas[:len(m.Replicas)/2]
	}
}

func (n *Node) send(target string, datagram []byte) {
	conn, err := net.Dial("udp", target)
	if err != nil {
		n.opts.Log.Debug("datagram not sent", "target", target, "err", err)
		return
	}
	defer func() { _ = conn.Close() }()
	if _, err := conn.Write(datagram); err == nil {
		n.sent.Add(1)
	}
}
