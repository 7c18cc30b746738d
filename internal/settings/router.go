package settings

import (
	"fmt"
	"net/netip"

	apiv1 "github.com/ragwortdoor/ragwortdoor/api/ragwortdoor/v1"
)

func checkRouter(c *checker, s *apiv1.RouterSettings) {
	if c.unreadable {
		return
	}
	c.required("host", s.GetHost(), `the id of this host in the platform's list`)
	c.required("failure_domain", s.GetFailureDomain(), `"bayanzurkh"`)
	listeners := c.listeners(
		listener{"listen", s.GetListen()},
		listener{"operator_listen", s.GetOperatorListen()},
		listener{"peer_listen", s.GetPeerListen()},
	)
	checkPlatform(c, s.GetPlatform())
	checkSecurity(c, s.GetSecurity(), listeners)
	checkLog(c, s.GetLog())
	checkRouterLimits(c, s)
}

func checkRouterLimits(c *checker, s *apiv1.RouterSettings) {
	c.within("max_body_bytes", s.GetMaxBodyBytes(), minBodyBytes, maxBodyBytes)
	c.within("stop_timeout_ms", s.GetStopTimeoutMs(), minStopTimeoutMs, maxStopTimeoutMs)
	c.within("stop_linger_ms", s.GetStopLingerMs(), minStopLingerMs, min(maxStopLingerMs, s.GetStopTimeoutMs()))
	c.within("lease_ttl_ms", s.GetLeaseTtlMs(), minLeaseTTLMs, maxLeaseTTLMs)
	c.within("table_poll_ms", s.GetTablePollMs(), minPollMs, maxPollMs)
	c.share("retry_budget", s.GetRetryBudget())
	if cores := s.GetCores(); !(cores > 0 && cores <= maxCores) {
		c.add("cores", fmt.Sprintf("%g is out of range", cores), "write the processor share of this host, for example 0.5")
	}
	timeout := s.GetPlatform().GetCallTimeoutMs()
	if s.GetLeaseTtlMs() < 2*timeout && !c.faulty["lease_ttl_ms"] && !c.faulty["platform.call_timeout_ms"] {
		c.add("lease_ttl_ms", "one slow call of the table service would end the lease",
			fmt.Sprintf("choose at least %d, twice platform.call_timeout_ms", 2*timeout))
	}
}

func checkPlatform(c *checker, p *apiv1.PlatformSettings) {
	c.baseURL("platform.table_url", p.GetTableUrl())
	c.baseURL("platform.object_url", p.GetObjectUrl())
	c.baseURL("platform.host_list_url", p.GetHostListUrl())
	c.within("platform.call_timeout_ms", p.GetCallTimeoutMs(), minCallTimeoutMs, maxCallTimeoutMs)
	c.share("platform.retry_budget", p.GetRetryBudget())
}

func checkLog(c *checker, l *apiv1.LogSettings) {
	c.oneOf("log.level", l.GetLevel(), "debug", "info", "warn", "error")
}

// listener is one address that a process listens on.
type listener struct {
	field, value string
}

// exposed is a listener that others than this host can reach.
type exposed struct {
	field string
	addr  netip.AddrPort
}

// listeners checks the addresses and returns those beyond loopback.
func (c *checker) listeners(all ...listener) []exposed {
	var beyond []exposed
	seen := make(map[netip.AddrPort]string)
	for _, l := range all {
		addr, ok := c.address(l.field, l.value)
		if !ok {
			continue
		}
		if first, twice := seen[addr]; twice {
			c.add(l.field, "same address as "+first, "choose another port")
		}
		seen[addr] = l.field
		if !addr.Addr().IsLoopback() {
			beyond = append(beyond, exposed{l.field, addr})
		}
	}
	return beyond
}
