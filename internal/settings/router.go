package settings

import (
	"fmt"
	"net/netip"

	apiv1 "github.com/ragwortdoor/ragwortdoor/api/ragwortdoor/v1"
)

func checkRouter(c *checker, s *apiv1.RouterSettings) {
	if c.malformed {
		return
	}
	c.required("host", s.GetHost(), `the id of this host in the platform's list`)
	c.required("failure_domain", s.GetFailureDomain(), `"bayanzurkh"`)
	exposed := c.listeners(
		listener{"listen", s.GetListen()},
		listener{"operator_listen", s.GetOperatorListen()},
		listener{"peer_listen", s.GetPeerListen()},
	)
	checkPlatform(c, s.GetPlatform())
	checkSecurity(c, s.GetSecurity(), exposed)
	checkLog(c, s.GetLog())
	checkRouterLimits(c, s)
}

func checkRouterLimits(c *checker, s *apiv1.RouterSettings) {
	c.inRange("max_body_bytes", s.GetMaxBodyBytes(), minBodyBytes, maxBodyBytes)
	c.inRange("stop_timeout_ms", s.GetStopTimeoutMs(), minStopTimeoutMs, maxStopTimeoutMs)
	c.inRange("stop_linger_ms", s.GetStopLingerMs(), minDrainDelayMs, min(maxDrainDelayMs, s.GetStopTimeoutMs()))
	c.inRange("lease_ttl_ms", s.GetLeaseTtlMs(), minLeaseTTLMs, maxLeaseTTLMs)
	c.inRange("table_poll_ms", s.GetTablePollMs(), minTablePollMs, maxTablePollMs)
	c.fraction("retry_budget", s.GetRetryBudget())
	c.inRangeIfSet("memory_mb", s.GetMemoryMb(), minMemoryMb, maxMemoryMb)
	c.inRangeIfSet("max_descriptors", s.GetMaxDescriptors(), minDescriptors, maxDescriptors)
	if cores := s.GetCores(); !(cores > 0 && cores <= maxCores) {
		c.add("cores", fmt.Sprintf("%g is out of range", cores), "write the processor share of this host, for example 0.5")
	}
	timeout := s.GetPlatform().GetCallTimeoutMs()
	if s.GetLeaseTtlMs() < 2*timeout && !c.invalid["lease_ttl_ms"] && !c.invalid["platform.call_timeout_ms"] {
		c.add("lease_ttl_ms", "one slow call of the table service would end the lease",
			fmt.Sprintf("choose at least %d, twice platform.call_timeout_ms", 2*timeout))
	}
}

func checkPlatform(c *checker, p *apiv1.PlatformSettings) {
	c.baseURL("platform.table_url", p.GetTableUrl())
	c.baseURL("platform.object_url", p.GetObjectUrl())
	c.baseURL("platform.host_list_url", p.GetHostListUrl())
	c.inRange("platform.call_timeout_ms", p.GetCallTimeoutMs(), minCallTimeoutMs, maxCallTimeoutMs)
	c.fraction("platform.retry_budget", p.GetRetryBudget())
}

func checkLog(c *checker, l *apiv1.LogSettings) {
	c.oneOf("log.level", l.GetLevel(), "debug", "info", "warn", "error")
}

// listener is the setting of an address to listen on.
type listener struct {
	field, value string
}

// exposedListener is a listener that other hosts can reach.
type exposedListener struct {
	field string
	addr  netip.AddrPort
}

// listeners checks the addresses and returns those that are not on loopback.
func (c *checker) listeners(all ...listener) []exposedListener {
	var exposed []exposedListener
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
			exposed = append(exposed, exposedListener{l.field, addr})
		}
	}
	return exposed
}
