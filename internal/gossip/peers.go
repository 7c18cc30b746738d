package gossip

import (
	"sync"
	"time"

	apiv1 "github.com/ragwortdoor/ragwortdoor/api/ragwortdoor/v1"
)

// Peer is what a router last heard of another one.
type Peer struct {
	Router          string
	ConfigRevision  uint64
	OperatorAddress string
	SeenAt          time.Time

	bootID   string
	sequence uint64
}

// Peers is the table of all routers that were heard of. It is safe for
// concurrent use.
type Peers struct {
	mu   sync.Mutex
	all  map[string]Peer // by router; guarded by mu
	gaps uint64          // datagrams that were missed; guarded by mu
}

// NewPeers makes an empty table.
func NewPeers() *Peers { return &Peers{all: make(map[string]Peer)} }

// Merge takes in a message. It reports false for one that is older than what
// the table holds: late and repeated datagrams change nothing.
func (p *Peers) Merge(m *apiv1.Gossip, now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	old := p.all[m.GetRouter()]
	sameBoot := old.bootID == m.GetBootId()
	if sameBoot && m.GetSequence() <= old.sequence {
		return false
	}
	if sameBoot {
		p.gaps += m.GetSequence() - old.sequence - 1
	}
	p.all[m.GetRouter()] = Peer{
		Router:          m.GetRouter(),
		ConfigRevision:  max(m.GetConfigRevision(), old.ConfigRevision),
		OperatorAddress: m.GetOperatorAddress(),
		SeenAt:          now,
		bootID:          m.GetBootId(),
		sequence:        m.GetSequence(),
	}
	return true
}

// Get returns what is known of a router.
func (p *Peers) Get(router string) (Peer, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	peer, ok := p.all[router]
	return peer, ok
}

// All lists the table in no particular order.
func (p *Peers) All() []Peer {
	p.mu.Lock()
	defer p.mu.Unlock()
	all := make([]Peer, 0, len(p.all))
	for _, peer := range p.all {
		all = append(all, peer)
	}
	return all
}

// Gaps counts the datagrams that were missed. A router sends to a few random
// peers at a time, so gaps are normal.
func (p *Peers) Gaps() uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.gaps
}

// Forget drops the peers that were not heard of since a time.
func (p *Peers) Forget(before time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for router, peer := range p.all {
		if peer.SeenAt.Before(before) {
			delete(p.all, router)
		}
	}
}
