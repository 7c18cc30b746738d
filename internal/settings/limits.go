package settings

import apiv1 "github.com/ragwortdoor/ragwortdoor/api/ragwortdoor/v1"

// Default values. Names end in the unit, if there is one.
const (
	defaultCallTimeoutMs       = 1000
	defaultPlatformRetryBudget = 0.1
	defaultUpstreamRetryBudget = 0.2
	defaultMaxBodyBytes        = 1 << 20
	defaultStopTimeoutMs       = 120_000
	defaultDrainDelayMs        = 3000
	defaultLeaseTTLMs          = 5000
	defaultTablePollMs         = 500
	defaultCores               = 1.0
	defaultLogLevel            = "info"
)

// Minimum and maximum values.
const (
	minCallTimeoutMs, maxCallTimeoutMs = 10, 60_000
	minBodyBytes, maxBodyBytes         = 1024, 64 << 20
	minStopTimeoutMs, maxStopTimeoutMs = 1000, 3_600_000
	minDrainDelayMs, maxDrainDelayMs   = 0, 60_000
	minLeaseTTLMs, maxLeaseTTLMs       = 1000, 60_000
	minTablePollMs, maxTablePollMs     = 50, 5000
	maxCores                           = 1024
	minMemoryMb, maxMemoryMb           = 64, 64 << 20
	minDescriptors, maxDescriptors     = 128, 1 << 30
)

// setDefault sets *field to value unless the file sets it at path.
func setDefault[T any](present map[string]bool, path string, field *T, value T) {
	if !present[path] {
		*field = value
	}
}

func setRouterDefaults(s *apiv1.RouterSettings, present map[string]bool) {
	if s.Platform == nil {
		s.Platform = &apiv1.PlatformSettings{}
	}
	s.Log = withLogDefaults(s.GetLog(), present)
	setDefault(present, "platform.call_timeout_ms", &s.Platform.CallTimeoutMs, defaultCallTimeoutMs)
	setDefault(present, "platform.retry_budget", &s.Platform.RetryBudget, defaultPlatformRetryBudget)
	setDefault(present, "max_body_bytes", &s.MaxBodyBytes, defaultMaxBodyBytes)
	setDefault(present, "stop_timeout_ms", &s.StopTimeoutMs, defaultStopTimeoutMs)
	setDefault(present, "stop_linger_ms", &s.StopLingerMs, defaultDrainDelayMs)
	setDefault(present, "lease_ttl_ms", &s.LeaseTtlMs, defaultLeaseTTLMs)
	setDefault(present, "table_poll_ms", &s.TablePollMs, defaultTablePollMs)
	setDefault(present, "retry_budget", &s.RetryBudget, defaultUpstreamRetryBudget)
	setDefault(present, "cores", &s.Cores, defaultCores)
}

func withLogDefaults(s *apiv1.LogSettings, present map[string]bool) *apiv1.LogSettings {
	if s == nil {
		s = &apiv1.LogSettings{}
	}
	setDefault(present, "log.level", &s.Level, defaultLogLevel)
	return s
}
