package operator

import (
	"context"
	"net/http"

	"github.com/ragwortdoor/ragwortdoor/internal/config"
	"github.com/ragwortdoor/ragwortdoor/internal/external"
)

// StateReply is a router's picture of the table, the configuration and the host
// list. A router that starts while the platform is down takes it over.
type StateReply struct {
	Changes external.Changes `json:"changes"`
	// Body is the encoded set in force, empty before the first one.
	Body []byte `json:"body"`
	// Hosts is the last host list.
	Hosts external.HostListing `json:"hosts"`
}

func (s *server) state(*http.Request) (any, error) {
	snap := s.View.Load()
	changes, err := snap.Rows()
	if err != nil {
		return nil, err
	}
	reply := &StateReply{Changes: changes, Hosts: snap.Hosts}
	if snap.Config != nil {
		reply.Body, err = config.EncodeSet(snap.Config.Set)
	}
	return reply, err
}

// State returns the router's picture of the platform.
func (c *Client) State(ctx context.Context) (*StateReply, error) {
	return call[StateReply](ctx, c, request{method: http.MethodGet, path: "/v1/state"})
}
