package operator

import (
	"context"
	"net/http"
)

// Status returns the state of the nodes as the first router that answers knows
// it.
func (c *Client) Status(ctx context.Context) (*StatusReply, error) {
	return call[StatusReply](ctx, c, request{method: http.MethodGet, path: "/v1/status"})
}

// Unconfirmed returns the routers that don't have a revision in force.
func (s *StatusReply) Unconfirmed(revision uint64) []NodeStatus {
	var missing []NodeStatus
	for _, node := range s.Nodes {
		if node.IsRouter() && node.ConfigRevision < revision {
			missing = append(missing, node)
		}
	}
	return missing
}

// RouterCount counts the routers.
func (s *StatusReply) RouterCount() int {
	n := 0
	for _, node := range s.Nodes {
		if node.IsRouter() {
			n++
		}
	}
	return n
}
