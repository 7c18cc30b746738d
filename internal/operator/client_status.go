package operator

import (
	"cmp"
	"context"
	"net/http"
	"slices"
)

// Status returns the state of the nodes. Each router knows best those of its
// own failure domain, so all servers are asked, and the freshest state of each
// node is taken. It fails only when no server answers.
func (c *Client) Status(ctx context.Context) (*StatusReply, error) {
	var merged *StatusReply
	var failure error
	for _, server := range c.options.Servers {
		one := NewClient(ClientOptions{Servers: []string{server}, Token: c.options.Token, HTTP: c.options.HTTP})
		reply, err := call[StatusReply](ctx, one, request{method: http.MethodGet, path: "/v1/status"})
		if err != nil {
			failure = err
			continue
		}
		merged = mergeStatus(merged, reply)
	}
	if merged == nil {
		if failure == nil {
			failure = errNoServer()
		}
		return nil, failure
	}
	return merged, nil
}

// mergeStatus adds what b knows better to a.
func mergeStatus(a, b *StatusReply) *StatusReply {
	if a == nil {
		return b
	}
	if b.Revision.Revision > a.Revision.Revision {
		a.Revision = b.Revision
	}
	a.TableRevision = max(a.TableRevision, b.TableRevision)
	for _, node := range b.Nodes {
		i := slices.IndexFunc(a.Nodes, func(n NodeStatus) bool { return n.Host == node.Host })
		switch {
		case i < 0:
			a.Nodes = append(a.Nodes, node)
		case fresher(node, a.Nodes[i]):
			node.Draining = node.Draining || a.Nodes[i].Draining
			a.Nodes[i] = node
		}
	}
	slices.SortFunc(a.Nodes, func(x, y NodeStatus) int {
		return cmp.Or(cmp.Compare(x.Role, y.Role), cmp.Compare(x.Host, y.Host))
	})
	return a
}

// fresher reports whether a tells more about a node than b. Revisions only
// grow, so the higher one is the newer one.
func fresher(a, b NodeStatus) bool {
	if a.ConfigRevision != b.ConfigRevision {
		return a.ConfigRevision > b.ConfigRevision
	}
	return a.Problem == "" && b.Problem != ""
}

// Unconfirmed returns the nodes that have not confirmed a revision.
func (s *StatusReply) Unconfirmed(revision uint64) []NodeStatus {
	var missing []NodeStatus
	for _, node := range s.Nodes {
		if node.ConfigRevision < revision {
			missing = append(missing, node)
		}
	}
	return missing
}
