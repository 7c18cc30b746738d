package daemon

import (
	"context"
	"time"

	apiv1 "github.com/ragwortdoor/ragwortdoor/api/ragwortdoor/v1"
	"github.com/ragwortdoor/ragwortdoor/internal/external"
	"github.com/ragwortdoor/ragwortdoor/internal/operator"
)

// gossipTargets lists the other live routers.
func (r *Router) gossipTargets() []string {
	if peers := r.cfg.GetPeers(); len(peers) > 0 {
		return append([]string(nil), peers...)
	}
	var targets []string
	for _, h := range r.store.Load().Hosts.Hosts {
		if h.Role == external.RoleRouter && h.ID != r.cfg.GetHost() {
			targets = append(targets, h.Address)
		}
	}
	return targets
}

func (r *Router) gossipMessage() *apiv1.Gossip {
	return &apiv1.Gossip{
		Router:          r.cfg.GetHost(),
		BootId:          r.bootID,
		ConfigRevision:  r.configRevision(),
		OperatorAddress: r.OperatorAddress(),
	}
}

func (r *Router) configRevision() uint64 {
	if c := r.store.Load().Config; c != nil {
		return c.Revision
	}
	return 0
}

// heard reads the table at once when a peer has a newer configuration.
func (r *Router) heard(m *apiv1.Gossip) {
	if m.GetConfigRevision() <= r.configRevision() {
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), milliseconds(r.cfg.GetPlatform().GetCallTimeoutMs()))
		defer cancel()
		if err := r.poller.Refresh(ctx); err != nil {
			r.log.Debug("peer has a newer configuration that can't be read yet", "peer", m.GetRouter(), "err", err)
		}
	}()
}

// Nodes implements operator.StatusSource.
func (r *Router) Nodes(context.Context) []operator.NodeStatus {
	snap := r.store.Load()
	nodes := make([]operator.NodeStatus, 0, len(snap.Hosts.Hosts))
	for _, h := range snap.Hosts.Hosts {
		node := operator.NodeStatus{
			Host:          h.ID,
			Role:          string(h.Role),
			FailureDomain: h.FailureDomain,
			Address:       h.Address,
			Draining:      h.State == external.HostLeaving || snap.Drains[h.ID],
		}
		if h.Role == external.RoleRouter {
			r.routerStatus(&node)
		} else {
			r.sidecarStatus(&node)
		}
		nodes = append(nodes, node)
	}
	return nodes
}

func (r *Router) routerStatus(node *operator.NodeStatus) {
	if node.Host == r.cfg.GetHost() {
		node.ConfigRevision = r.configRevision()
		node.TableRevision = r.store.Load().TableRevision
		return
	}
	peer, heard := r.gossip.Peers().Get(node.Host)
	if !heard {
		node.Problem = "never heard of: check its gossip_listen and the host list"
		return
	}
	node.ConfigRevision = peer.ConfigRevision
	node.SeenAgoMs = time.Since(peer.SeenAt).Milliseconds()
}

func (r *Router) sidecarStatus(node *operator.NodeStatus) {
	report := r.store.Report(node.Host)
	if report == nil {
		node.Problem = "no session: check that its sidecar runs and can be reached"
		return
	}
	node.ConfigRevision = report.GetConfigRevision()
	node.TableRevision = int64(report.GetTableRevision())
	node.Draining = node.Draining || report.GetDraining()
}
