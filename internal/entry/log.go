package entry

import (
	"strings"
	"time"

	"github.com/ragwortdoor/ragwortdoor/internal/blocklist"
	"github.com/ragwortdoor/ragwortdoor/internal/decisionlog"
	"github.com/ragwortdoor/ragwortdoor/internal/era"
	"github.com/ragwortdoor/ragwortdoor/internal/exchange"
	"github.com/ragwortdoor/ragwortdoor/internal/fleet"
	"github.com/ragwortdoor/ragwortdoor/internal/memory"
	"github.com/ragwortdoor/ragwortdoor/internal/pace"
	"github.com/ragwortdoor/ragwortdoor/internal/scheduler"
)

// RequestRecord is what is logged of a request.
type RequestRecord struct {
	ID    string
	Route string
	// Workspace is that of the caller, empty without one.
	Workspace     string
	Service       string
	Model         string
	Adapter       string
	ConfigVersion int64
	Upstream      string // of the last attempt
	Attempts      int
	Status        int
	Outcome       Outcome
	Reason        string
	RetryAfter    time.Duration
	// Waited is the time until the placement, WaitedFor the reason for the wait.
	Waited    time.Duration
	WaitedFor string
	// QuotaWaited is the time until the workspace's quota had room for the request, or did not.
	QuotaWaited time.Duration
	// QuotaCost is what the request cost of its workspace's quota; 0 if it has not run.
	QuotaCost int64
	// WithoutScheduler is set when the router chose the upstream by itself.
	WithoutScheduler bool
	// MayHaveRun is set by an attempt that is not known not to have run, and is never
	// reset.
	MayHaveRun bool
	// FirstByte is the time since the arrival, FirstEvent since the start of the attempt.
	FirstByte  time.Duration
	FirstEvent time.Duration
	Events     int
	// MaxGap is the longest time between two events.
	MaxGap time.Duration
	// BrokenOff are the ids of the prompt's parts if the upstream ended the connection
	// within the response.
	BrokenOff []string
}

// Log logs the decisions of an entry process and counts them in its metrics.
type Log struct {
	out     *decisionlog.Logger
	metrics *Metrics
}

// NewLog returns a log that writes to out and counts in metrics.
func NewLog(out *decisionlog.Logger, metrics *Metrics) *Log { return &Log{out: out, metrics: metrics} }

func ms(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }

// Request logs a finished request.
func (l *Log) Request(r *RequestRecord, took time.Duration) {
	l.metrics.request(r, took)
	keyvals := []any{
		"id", r.ID, "outcome", string(r.Outcome), "status", r.Status, "route", r.Route, "service", r.Service,
		"config", r.ConfigVersion, "upstream", r.Upstream, "sends", r.Attempts, "took_ms", ms(took),
	}
	if r.Workspace != "" {
		keyvals = append(keyvals, "workspace", r.Workspace, "quota_waited_ms", ms(r.QuotaWaited), "quota_cost", r.QuotaCost)
	}
	if r.Model == "" && r.Waited > 0 {
		keyvals = append(keyvals, "waited_ms", ms(r.Waited), "waited_for", r.WaitedFor)
	}
	if r.Model != "" {
		keyvals = append(keyvals, "model", r.Model, "adapter", r.Adapter, "waited_ms", ms(r.Waited), "waited_for", r.WaitedFor,
			"first_byte_ms", ms(r.FirstByte), "first_event_ms", ms(r.FirstEvent), "events", r.Events, "max_gap_ms", ms(r.MaxGap), "alone", r.WithoutScheduler)
	}
	if r.Reason != "" {
		keyvals = append(keyvals, "reason", r.Reason, "retry_after_ms", ms(r.RetryAfter), "may_have_run", r.MayHaveRun)
	}
	if len(r.BrokenOff) > 0 {
		keyvals = append(keyvals, "broken_off_parts", strings.Join(r.BrokenOff, ","))
	}
	l.out.Info("request", keyvals...)
}

// Result is the result of an attempt, known once the response head was read.
type Result string

// Values of Result.
const (
	// ResultAnswered means that the upstream sent a response other than a refusal.
	ResultAnswered Result = "answered"
	// ResultRefused means that the upstream reported that the request did not run.
	ResultRefused Result = "refused"
	// ResultUnsent means that no byte of the request was sent.
	ResultUnsent Result = "unsent"
	// ResultUnknown means that the request may have run.
	ResultUnknown Result = "unknown"
)

// provesNotRun reports whether the request certainly did not run in this attempt and
// never will.
func (r Result) provesNotRun() bool { return r == ResultUnsent || r == ResultRefused }

// AttemptRecord is what is logged of one attempt.
type AttemptRecord struct {
	ID string
	// Number is the number of the attempt within the request, from 1.
	Number     int
	Upstream   string
	Address    string
	Repeatable bool
	Result     Result
	Status     int
	Trace      exchange.Trace
	Took       time.Duration
	Err        error
}

// AttemptStarted logs an attempt before its first byte is sent.
func (l *Log) AttemptStarted(a *AttemptRecord) {
	l.out.Info("sending", "id", a.ID, "send", a.Number, "upstream", a.Upstream, "addr", a.Address, "repeatable", a.Repeatable)
}

// AttemptEnded logs the result of an attempt once the response head was read.
func (l *Log) AttemptEnded(a *AttemptRecord) {
	l.metrics.attempt(a)
	keyvals := []any{
		"id", a.ID, "send", a.Number, "upstream", a.Upstream, "result", string(a.Result), "status", a.Status, "conn", a.Trace.Conn,
		"use", a.Trace.ConnUses, "skipped", a.Trace.Skipped, "took_ms", ms(a.Took),
	}
	if a.Err != nil {
		keyvals = append(keyvals, "err", a.Err)
	}
	l.out.Info("sent", keyvals...)
}

// ConfigInForce implements fleet.Observer.
func (l *Log) ConfigInForce(version int64, leftOut []error) {
	l.metrics.configVersion.Set(version)
	l.metrics.configLeftOut.Add(int64(len(leftOut)))
	for _, err := range leftOut {
		l.out.Warn("config item left out", "version", version, "err", err)
	}
	l.out.Info("config in force", "version", version)
}

// UpstreamsChanged implements fleet.Observer.
func (l *Log) UpstreamsChanged(ids []string, known int) {
	l.metrics.upstreams.Set(int64(known))
	l.metrics.listChanges.Add(int64(len(ids)))
}

// UpstreamState logs a new state of an upstream.
func (l *Log) UpstreamState(up *fleet.Upstream, state string) {
	l.out.Info("upstream", "id", up.ID, "state", state, "service", up.Service, "addr", up.Addr, "domain", up.FailureDomain, "leaves_in_ms", ms(up.RemovedIn))
}

// UpstreamLeaving logs that an upstream said in the response to a request that it leaves.
func (l *Log) UpstreamLeaving(upstreamID, requestID string) {
	l.metrics.leavingLearned.Add(1)
	l.out.Info("upstream leaves", "id", upstreamID, "request", requestID)
}

// UpstreamPaused logs the pause that an upstream asked for in the response to a request.
func (l *Log) UpstreamPaused(upstreamID, requestID string, pause, asked time.Duration) {
	l.metrics.pauses.Add(1)
	l.out.Info("upstream paused", "id", upstreamID, "request", requestID, "pause_ms", ms(pause), "asked_ms", ms(asked))
}

// WorkspacesRelayed logs workspaces that another router has read.
func (l *Log) WorkspacesRelayed(version int64, count int) {
	l.out.Info("workspaces relayed", "version", version, "workspaces", count)
}

// MadeRoom logs how many connections had to make room since the last line, and how often there was
// none.
func (l *Log) MadeRoom(evicted, refused int64, use memory.Use) {
	l.out.Warn("made room", "evicted", evicted, "refused", refused, "held_bytes", use.Bytes, "held_bytes_limit", use.Limits.Bytes, "connections", use.Holders, "connections_limit", use.Limits.Holders, "remedy", "none for a moment: see docs/operators/crowds.md if ordinary callers are refused")
}

// UpstreamLimited logs what a router hears about the limit of an upstream when that changes.
func (l *Log) UpstreamLimited(upstreamID, requestID string, notice pace.Notice) {
	l.metrics.limitChanges.Add(1)
	l.out.Info("upstream limit", "id", upstreamID, "request", requestID, "limited", notice.Kind == pace.Limited, "per_second", notice.PerSecond)
}

// RegistrationInvalid implements fleet.Observer.
func (l *Log) RegistrationInvalid(id string, err error) {
	l.out.Warn("entry names no upstream", "id", id, "err", err)
}

// SourceRead implements fleet.Observer.
func (l *Log) SourceRead(what string, result fleet.ReadResult, took time.Duration) {
	l.metrics.sourceRead(what, result, took)
}

// SourceLost implements fleet.Observer.
func (l *Log) SourceLost(what string, err error) {
	l.out.Warn("dependency lost", "what", what, "err", err)
}

// SourceStillLost implements fleet.Observer.
func (l *Log) SourceStillLost(what string, failures int, outage time.Duration, err error) {
	l.out.Warn("dependency still lost", "what", what, "failures", failures, "away_ms", ms(outage), "err", err)
}

// SourceRegained implements fleet.Observer.
func (l *Log) SourceRegained(what string, downtime time.Duration) {
	l.out.Info("dependency regained", "what", what, "away_ms", ms(downtime))
}

// LeaseRead implements cell.Observer.
func (l *Log) LeaseRead(holder string, version int64) {
	l.out.Info("lease read", "holder", holder, "version", era.Sequence(version), "era", era.Of(version))
}

// LeaseFailed implements cell.Observer.
func (l *Log) LeaseFailed(op string, err error) {
	l.out.Warn("lease call failed", "op", op, "err", err)
}

// SchedulerLinked implements cell.ClientObserver.
func (l *Log) SchedulerLinked(address string) {
	l.out.Info("dependency regained", "what", "scheduler", "address", address)
}

// SchedulerLost implements cell.ClientObserver.
func (l *Log) SchedulerLost(address string, err error) {
	l.out.Warn("dependency lost", "what", "scheduler", "address", address, "err", err)
}

// Granted implements cell.DecisionLog.
func (l *Log) Granted(service, router string, g scheduler.Grant) {
	if g.Reason == pace.WaitReason {
		l.metrics.limitedRequests.Add("waited", 1)
	}
	l.out.Info("granted", "id", g.Request.RequestID, "router", router, "service", service, "model", g.Request.Model, "adapter", g.Request.Adapter,
		"upstream", g.Upstream.ID, "waited_ms", ms(g.Waited), "waited_for", g.Reason, "expected_ms", ms(g.Expected),
		"entry", g.Upstream.Sequence)
}

// Refused implements cell.DecisionLog.
func (l *Log) Refused(service string, r scheduler.Refusal) {
	if r.Reason == pace.RefusalReason {
		l.metrics.limitedRequests.Add("refused", 1)
	}
	l.out.Info("refused", "id", r.Request.RequestID, "service", service, "model", r.Request.Model, "adapter", r.Request.Adapter,
		"retry_after_ms", ms(r.RetryAfter), "reason", r.Reason)
}

// LimitGranted implements cell.DecisionLog.
func (l *Log) LimitGranted(router string, d pace.Decision) {
	waitedFor := ""
	if d.Waited > 0 {
		waitedFor = pace.WaitReason
		l.metrics.limitedRequests.Add("waited", 1)
	}
	l.out.Info("granted", "id", d.Ask.RequestID, "router", router, "service", d.Ask.Service, "upstream", d.UpstreamID, "waited_ms", ms(d.Waited), "waited_for", waitedFor)
}

// LimitRefused implements cell.DecisionLog.
func (l *Log) LimitRefused(_ string, d pace.Decision) {
	l.metrics.limitedRequests.Add("refused", 1)
	l.out.Info("refused", "id", d.Ask.RequestID, "service", d.Ask.Service, "retry_after_ms", ms(d.RetryAfter), "reason", pace.RefusalReason)
}

// Ordered implements cell.DecisionLog.
func (l *Log) Ordered(service string, call scheduler.OrderCall, result fleet.OrderResult, took time.Duration, err error) {
	l.metrics.orders.Add(1)
	keyvals := []any{
		"service", service, "upstream", call.Upstream.ID, "unload", call.Order.Unload, "model", call.Order.Model,
		"adapter", call.Order.Adapter, "fence", call.Order.Fence, "expected_orders", *call.Order.ExpectedOrders,
		"for", call.Reason, "result", result.String(), "took_ms", ms(took),
	}
	if err != nil {
		keyvals = append(keyvals, "err", err)
	}
	l.out.Info("ordered", keyvals...)
}

// Inspected implements cell.DecisionLog.
func (l *Log) Inspected(upstreamID string, inventory fleet.Inventory, err error) {
	l.metrics.inspections.Add(1)
	if err != nil {
		l.out.Warn("report failed", "upstream", upstreamID, "err", err)
		return
	}
	l.out.Info("report", "upstream", upstreamID, "orders", inventory.Orders, "busy", inventory.Busy, "models", len(inventory.Models),
		"running", inventory.Running, "waiting", inventory.Waiting, "kv_used", inventory.KVUsed)
}

// EngineCrashed implements cell.DecisionLog.
func (l *Log) EngineCrashed(service string, crashed scheduler.CrashedEngine) {
	l.metrics.engineCrashes.Add(1)
	l.out.Warn("engine crashed", "service", service, "upstream", crashed.UpstreamID, "requests", bounded(crashed.Requests), "suspects", bounded(crashed.Suspects))
}

// PromptBlocked implements cell.DecisionLog.
func (l *Log) PromptBlocked(service string, e blocklist.Entry) {
	l.metrics.blockedPrompts.Add(1)
	l.out.Warn("prompt blocked", "service", service, "parts", e.String(), "crashes", e.Crashes)
}

// PromptSuspended implements cell.DecisionLog.
func (l *Log) PromptSuspended(service string, e blocklist.Entry) {
	l.out.Warn("prompt suspended", "service", service, "parts", e.String(), "crashes", e.Crashes)
}

// PromptUnblocked implements cell.DecisionLog.
func (l *Log) PromptUnblocked(service string, e blocklist.Entry) {
	l.out.Info("prompt unblocked", "service", service, "parts", e.String(), "trials", e.Trials)
}

// BlocklistCallFailed logs a failed call to the store about the blocked prompts.
func (l *Log) BlocklistCallFailed(op string, err error) {
	l.out.Warn("blocklist call failed", "op", op, "err", err)
}

// maxLoggedIDs bounds the ids in one log line.
const maxLoggedIDs = 16

func bounded(ids []string) string {
	if len(ids) > maxLoggedIDs {
		return strings.Join(ids[:maxLoggedIDs], ",") + ",..."
	}
	return strings.Join(ids, ",")
}

// HandedOver implements cell.DecisionLog.
func (l *Log) HandedOver(router string, fence int64) {
	l.out.Info("lease handed over", "to", router, "fence", fence)
}

// SchedulingChanged logs the start or the end of scheduling on this router.
func (l *Log) SchedulingChanged(begins bool, fence int64, reason string) {
	l.out.Info("scheduling", "begins", begins, "fence", fence, "reason", reason)
}
