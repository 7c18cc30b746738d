package settings

import apiv1 "github.com/ragwortdoor/ragwortdoor/api/ragwortdoor/v1"

// Defaults. The unit is the last word of the name.
const (
	defaultCallTimeoutMs   = 1000
	defaultPlatformRetries = 0.1
	defaultUpstreamRetries = 0.2
	defaultMaxBodyBytes    = 1 << 20
	defaultStopTimeoutMs   = 120_000
	defaultLeaseTTLMs      = 5000
	defaultDecisionShards  = 8
	defaultTablePollMs     = 1000
	defaultHostPollMs      = 1000
	defaultLateMs          = 1000
	defaultRecordSample    = 1.0
	defaultRecordBuffer    = 20_000
	defaultPermitTimeoutMs = 500
	defaultLogLevel        = "info"
	defaultLogFormat       = "logfmt"
)

// Bounds of the ranges that are checked.
const (
	minCallTimeoutMs, maxCallTimeoutMs     = 10, 60_000
	minBodyBytes, maxBodyBytes             = 1024, 64 << 20
	minStopTimeoutMs, maxStopTimeoutMs     = 1000, 3_600_000
	minLeaseTTLMs, maxLeaseTTLMs           = 1000, 60_000
	minDecisionShards, maxDecisionShards   = 1, 1024
	minPollMs, maxPollMs                   = 50, 5000
	minLateMs, maxLateMs                   = 1, 600_000
	minRecordBuffer, maxRecordBuffer       = 100, 1_000_000
	minPermitTimeoutMs, maxPermitTimeoutMs = 1, 60_000
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
	setDefault(present, "lease_ttl_ms", &s.LeaseTtlMs, defaultLeaseTTLMs)
	setDefault(present, "decision_shards", &s.DecisionShards, defaultDecisionShards)
	setDefault(present, "table_poll_ms", &s.TablePollMs, defaultTablePollMs)
	setDefault(present, "host_poll_ms", &s.HostPollMs, defaultHostPollMs)
	setDefault(present, "late_ms", &s.LateMs, defaultLateMs)
	setDefault(present, "record_sample", &s.RecordSample, defaultRecordSample)
	setDefault(present, "record_buffer", &s.RecordBuffer, defaultRecordBuffer)
	setDefault(present, "retry_budget", &s.RetryBudget, defaultUpstreamRetries)
}

func defaultSidecar(s *apiv1.SidecarSettings, present map[string]bool) {
	s.Log = defaultLog(s.GetLog(), present)
	setDefault(present, "stop_timeout_ms", &s.StopTimeoutMs, defaultStopTimeoutMs)
	setDefault(present, "permit_timeout_ms", &s.PermitTimeoutMs, defaultPermitTimeoutMs)
}

func defaultLog(s *apiv1.LogSettings, present map[string]bool) *apiv1.LogSettings {
	if s == nil {
		s = &apiv1.LogSettings{}
	}
	setDefault(present, "log.level", &s.Level, defaultLogLevel)
	setDefault(present, "log.format", &s.Format, defaultLogFormat)
	return s
}
