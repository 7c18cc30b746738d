package settings

import apiv1 "github.com/ragwortdoor/ragwortdoor/api/ragwortdoor/v1"

// Defaults. The unit is the last word of the name.
const (
	defaultCallTimeoutMs   = 1000
	defaultPlatformRetries = 0.1
	defaultUpstreamRetries = 0.2
	defaultMaxBodyBytes    = 1 << 20
	defaultStopTimeoutMs   = 120_000
	defaultStopLingerMs    = 3000
	defaultLeaseTTLMs      = 5000
	defaultTablePollMs     = 500
	defaultCores           = 1.0
	defaultLogLevel        = "info"
)

// Bounds of the ranges that are checked.
const (
	minCallTimeoutMs, maxCallTimeoutMs = 10, 60_000
	minBodyBytes, maxBodyBytes         = 1024, 64 << 20
	minStopTimeoutMs, maxStopTimeoutMs = 1000, 3_600_000
	minStopLingerMs, maxStopLingerMs   = 0, 60_000
	minLeaseTTLMs, maxLeaseTTLMs       = 1000, 60_000
	minPollMs, maxPollMs               = 50, 5000
	maxCores                           = 1024
)

// setDefault sets *field to value unless the file sets it at path.
func setDefault[T any](present map[string]bool, path string, field *T, value T) {
	if !present[path] {
		*field = value
	}
}

func defaultRouter(s *apiv1.RouterSettings, present map[string]bool) {
	if s.Platform == nil {
		s.Platform = &apiv1.PlatformSettings{}
	}
	s.Log = defaultLog(s.GetLog(), present)
	setDefault(present, "platform.call_timeout_ms", &s.Platform.CallTimeoutMs, defaultCallTimeoutMs)
	setDefault(present, "platform.retry_budget", &s.Platform.RetryBudget, defaultPlatformRetries)
	setDefault(present, "max_body_bytes", &s.MaxBodyBytes, defaultMaxBodyBytes)
	setDefault(present, "stop_timeout_ms", &s.StopTimeoutMs, defaultStopTimeoutMs)
	setDefault(present, "stop_linger_ms", &s.StopLingerMs, defaultStopLingerMs)
	setDefault(present, "lease_ttl_ms", &s.LeaseTtlMs, defaultLeaseTTLMs)
	setDefault(present, "table_poll_ms", &s.TablePollMs, defaultTablePollMs)
	setDefault(present, "retry_budget", &s.RetryBudget, defaultUpstreamRetries)
	setDefault(present, "cores", &s.Cores, defaultCores)
}

func defaultLog(s *apiv1.LogSettings, present map[string]bool) *apiv1.LogSettings {
	if s == nil {
		s = &apiv1.LogSettings{}
	}
	setDefault(present, "log.level", &s.Level, defaultLogLevel)
	return s
}
