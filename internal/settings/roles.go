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
		listener{"gossip_listen", s.GetGossipListen()},
	)
	checkPlatform(c, s.GetPlatform())
	checkSecurity(c, s.GetSecurity(), listeners)
	checkLog(c, s.GetLog())
	checkRouterLimits(c, s)
	for i, peer := range s.GetPeers() {
		c.address(fmt.Sprintf("peers[%d]", i), peer)
	}
}

func checkRouterLimits(c *checker, s *apiv1.RouterSettings) {
	c.within("max_body_bytes", s.GetMaxBodyBytes(), minBodyBytes, maxBodyBytes)
	c.within("stop_timeout_ms", s.GetStopTimeoutMs(), minStopTimeoutMs, maxStopTimeoutMs)
	c.within("lease_ttl_ms", s.GetLeaseTtlMs(), minLeaseTTLMs, maxLeaseTTLMs)
	c.within("decision_shards", s.GetDecisionShards(), minDecisionShards, maxDecisionShards)
	c.within("table_poll_ms", s.GetTablePollMs(), minPollMs, maxPollMs)
	c.within("host_poll_ms", s.GetHostPollMs(), minPollMs, maxPollMs)
	c.within("late_ms", s.GetLateMs(), minLateMs, maxLateMs)
	c.share("record_sample", s.GetRecordSample())
	c.within("record_buffer", s.GetRecordBuffer(), minRecordBuffer, maxRecordBuffer)
	c.share("retry_budget", s.GetRetryBudget())
	timeout := s.GetPlatform().GetCallTimeoutMs()
	if s.GetLeaseTtlMs() < 2*timeout && !c.faulty["lease_ttl_ms"] && !c.faulty["platform.call_timeout_ms"] {
		c.add("lease_ttl_ms", "one slow call of the table service would end the lease",
			fmt.Sprintf("choose at least %d, twice platform.call_timeout_ms", 2*timeout))
	}
}

func checkSidecar(c *checker, s *apiv1.SidecarSettings) {
	if c.unreadable {
		return
	}
	c.required("host", s.GetHost(), `the id of this host in the platform's list`)
	c.required("failure_domain", s.GetFailureDomain(), `"bayanzurkh"`)
	listeners := c.listeners(
		listener{"listen", s.GetListen()},
		listener{"operator_listen", s.GetOperatorListen()},
	)
	checkUpstream(c, s)
	checkSecurity(c, s.GetSecurity(), listeners)
	checkLog(c, s.GetLog())
	c.within("stop_timeout_ms", s.GetStopTimeoutMs(), minStopTimeoutMs, maxStopTimeoutMs)
	c.within("permit_timeout_ms", s.GetPermitTimeoutMs(), minPermitTimeoutMs, maxPermitTimeoutMs)
}

// checkUpstream checks that the sidecar has an engine, a service or both.
func checkUpstream(c *checker, s *apiv1.SidecarSettings) {
	c.optionalURL("engine_url", s.GetEngineUrl())
	c.optionalURL("service_url", s.GetServiceUrl())
	hasName, hasURL := s.GetServiceName() != "", s.GetServiceUrl() != ""
	switch {
	case hasName && !hasURL:
		c.required("service_url", "", `"http://127.0.0.1:9100", as service_name is set`)
	case hasURL && !hasName:
		c.required("service_name", "", "the name of the service in the object set, as service_url is set")
	case !hasURL && s.GetEngineUrl() == "":
		c.required("engine_url", "", `"http://127.0.0.1:9200", or set service_name and service_url`)
	}
}

func checkPlatform(c *checker, p *apiv1.PlatformSettings) {
	c.baseURL("platform.table_url", p.GetTableUrl())
	c.baseURL("platform.object_url", p.GetObjectUrl())
	c.baseURL("platform.host_list_url", p.GetHostListUrl())
	c.optionalURL("platform.weight_url", p.GetWeightUrl())
	c.within("platform.call_timeout_ms", p.GetCallTimeoutMs(), minCallTimeoutMs, maxCallTimeoutMs)
	c.share("platform.retry_budget", p.GetRetryBudget())
}

func checkLog(c *checker, l *apiv1.LogSettings) {
	c.oneOf("log.level", l.GetLevel(), "debug", "info", "warn", "error")
	c.oneOf("log.format", l.GetFormat(), "text", "json", "logfmt")
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
