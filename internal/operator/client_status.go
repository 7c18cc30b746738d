package operator

import (
	"context"
	"net/http"
)

// Status returns the state of the nodes as reported by the first server that
// responds.
func (c *Client) Status(ctx context.Context) (*StatusReply, error) {
	return call[StatusReply](ctx, c, request{method: http.MethodGet, path: "/v1/status"})
}

// Unconfirmed returns the routers on which neither the revision nor a later one
// is in force.
func (s *StatusReply) Unconfirmed(revision uint64) []NodeStatus {
	var unconfirmed []NodeStatus
	for _, node := range s.Nodes {
		if node.IsRouter() && node.ConfigRevision < revision {
			unconfirmed = append(unconfirmed, node)
		}
	}
	return unconfirmed
}

func (s *StatusReply) RouterCount() int {
	n := 0
	for _, node := range s.Nodes {
		if node.IsRouter() {
			n++
		}
	}
	return n
}
