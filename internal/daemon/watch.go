package daemon

import (
	"slices"

	"github.com/ragwortdoor/ragwortdoor/internal/external"
)

// watches reports whether this router keeps a session to a host.
func (r *Router) watches(h external.Host) bool {
	return watchesHost(len(r.store.Load().Hosts.Hosts), h, r.cfg.GetFailureDomain(), r.decider.Hosts())
}

// watchesHost reports whether a router keeps a session to a host. In a small
// deployment it watches all hosts. In a large one it watches those of its own
// failure domain, and those that hold replicas it decides about.
func watchesHost(listed int, h external.Host, domain string, decided []string) bool {
	return listed <= maxWatchedHosts || h.FailureDomain == domain || slices.Contains(decided, h.ID)
}

func (r *Router) liveRouters() []string {
	return r.routersWhere(func(external.Host) bool { return true })
}

// watchers lists the live routers that watch the same hosts as this one.
func (r *Router) watchers() []string {
	all := len(r.store.Load().Hosts.Hosts) <= maxWatchedHosts
	return r.routersWhere(func(h external.Host) bool {
		return all || h.FailureDomain == r.cfg.GetFailureDomain()
	})
}

func (r *Router) routersWhere(matches func(external.Host) bool) []string {
	var ids []string
	for _, h := range r.store.Load().Hosts.Hosts {
		if h.Role == external.RoleRouter && h.State == external.HostLive && matches(h) {
			ids = append(ids, h.ID)
		}
	}
	return ids
}
