package daemon

import (
	"context"
	"net/http"
	"time"

	"github.com/ragwortdoor/ragwortdoor/internal/config"
	"github.com/ragwortdoor/ragwortdoor/internal/external"
	"github.com/ragwortdoor/ragwortdoor/internal/operator"
	"github.com/ragwortdoor/ragwortdoor/internal/view"
)

const (
	bootstrapPeriod  = time.Second
	bootstrapTimeout = 2 * time.Second
)

// bootstrap takes the state of peers over while the platform can't be read. It
// ends once the router has a configuration and a host list. The state is only
// routed by: a restarted sidecar still gets its slots from a read of the table,
// and nothing is decided by the list of a peer.
func (r *Router) bootstrap(ctx context.Context) error {
	ticker := time.NewTicker(bootstrapPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		if snap := r.store.Load(); snap.Config != nil && snap.Hosts.Hosts != nil {
			return nil
		}
		for _, address := range r.peerOperators() {
			r.takeOver(ctx, address)
		}
	}
}

// peerOperators lists the operator APIs of the other routers: those in the host
// list and those that were heard of.
func (r *Router) peerOperators() []string {
	known := map[string]bool{"": true, r.OperatorAddress(): true}
	var addresses []string
	add := func(address string) {
		if !known[address] {
			known[address] = true
			addresses = append(addresses, address)
		}
	}
	for _, h := range r.store.Load().Hosts.Hosts {
		if h.Role == external.RoleRouter {
			add(h.OperatorAddress)
		}
	}
	for _, peer := range r.gossip.Peers().All() {
		add(peer.OperatorAddress)
	}
	return addresses
}

// takeOver merges the state of the peer at address into the view. Older rows
// and lower revisions change nothing.
func (r *Router) takeOver(ctx context.Context, address string) {
	client := operator.NewClient(operator.ClientOptions{
		Servers: []string{r.scheme() + "://" + address},
		Token:   r.creds.Token,
		HTTP:    r.peerHTTP(),
	})
	state, err := client.State(ctx)
	if err != nil {
		r.log.Debug("peer gave no state", "peer", address, "err", err)
		return
	}
	index, err := indexOf(state)
	if err != nil {
		r.log.Warn("state of a peer refused", "peer", address, "err", err)
		return
	}
	state.Changes.Revision = 0 // the first read of the table takes all rows again
	r.store.AdoptHosts(state.Hosts)
	r.store.ApplyRows(state.Changes)
	if index != nil && r.store.SetConfig(index) {
		r.log.Info("configuration in force", "revision", index.Revision, "from_peer", address)
	}
}

// indexOf verifies a peer's set against the head row that came with it. It
// returns nil when the peer's set is not the one that its head names.
func indexOf(state *operator.StateReply) (*config.Index, error) {
	probe := view.NewStore()
	probe.ApplyRows(state.Changes)
	head := probe.Load().Head
	if head == nil || config.BodyKey(state.Body) != head.GetBodyKey() {
		return nil, nil
	}
	set, err := config.DecodeSet(state.Body)
	if err != nil {
		return nil, err
	}
	return config.NewIndex(head.GetRevision(), set), nil
}

func (r *Router) scheme() string {
	if r.creds.Client != nil {
		return "https"
	}
	return "http"
}

// peerHTTP calls other routers with the credentials of the settings.
func (r *Router) peerHTTP() *http.Client {
	return &http.Client{
		Timeout:   bootstrapTimeout,
		Transport: &http.Transport{TLSClientConfig: r.creds.Client, DisableKeepAlives: true},
	}
}
