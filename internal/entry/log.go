package entry

import (
	"time"

	"github.com/ragwortdoor/ragwortdoor/internal/decisionlog"
	"github.com/ragwortdoor/ragwortdoor/internal/exchange"
	"github.com/ragwortdoor/ragwortdoor/internal/fleet"
	"github.com/ragwortdoor/ragwortdoor/internal/scheduler"
)

// Record is what is logged of one request.
type Record struct {
	ID            string
	Route         string
	Service       string
	Model         string
	Adapter       string
	ConfigVersion int64
	Upstream      string // the last one
	Sends         int
	Status        int
	Outcome       Outcome
	Reason        string
	RetryAfter    time.Duration
	// Waited is the time for a place, WaitedFor what the place waited for.
	Waited    time.Duration
	WaitedFor string
	// Alone is set when the router chose without the scheduler.
	Alone bool
	// MayHaveRun is set by a sending that is not proved not to have run. It stays.
	MayHaveRun bool
	// FirstByte is counted from the arrival, FirstEvent from the sending.
	FirstByte  time.Duration
	FirstEvent time.Duration
	Events     int
	// MaxGap is the longest pause between events.
	MaxGap time.Duration
}

// Log writes the decisions of an entry process.
type Log struct {
	out     *decisionlog.Logger
	metrics *Metrics
}

// NewLog makes a log.
func NewLog(out *decisionlog.Logger, metrics *Metrics) *Log { return &Log{out: out, metrics: metrics} }

func ms(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }

// Request logs the end of a request.
func (l *Log) Request(r *Record, took time.Duration) {
	l.metrics.request(r, took)
	keyvals := []any{
		"id", r.ID, "outcome", string(r.Outcome), "status", r.Status, "route", r.Route, "service", r.Service,
		"config", r.ConfigVersion, "upstream", r.Upstream, "sends", r.Sends, "took_ms", ms(took),
	}
	if r.Model != "" {
		keyvals = append(keyvals, "model", r.Model, "adapter", r.Adapter, "waited_ms", ms(r.Waited), "waited_for", r.WaitedFor,
			"first_byte_ms", ms(r.FirstByte), "first_event_ms", ms(r.FirstEvent), "events", r.Events, "max_gap_ms", ms(r.MaxGap), "alone", r.Alone)
	}
	if r.Reason != "" {
		keyvals = append(keyvals, "reason", r.Reason, "retry_after_ms", ms(r.RetryAfter), "may_have_run", r.MayHaveRun)
	}
	l.out.Info("request", keyvals...)
}

// Result is what is known of a sending once the head of its answer was read.
type Result string

// Values of Result.
const (
	// ResultAnswered means that the upstream answered; what it did is in its answer.
	ResultAnswered Result = "answered"
	// ResultRefused means that the upstream said that the request did not run.
	ResultRefused Result = "refused"
	// ResultUnsent means that no byte of the request left.
	ResultUnsent Result = "unsent"
	// ResultUnknown means that the request may have run.
	ResultUnknown Result = "unknown"
)

// provesNotRun reports whether the sending did not run and never will.
func (r Result) provesNotRun() bool { return r == ResultUnsent || r == ResultRefused }

// Sending is what is logged of one sending of a request.
type Sending struct {
	ID string
	// Number counts the sendings of the request.
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

// SendingBegins logs a sending before a byte of it goes out.
func (l *Log) SendingBegins(s *Sending) {
	l.out.Info("sending", "id", s.ID, "send", s.Number, "upstream", s.Upstream, "addr", s.Address, "repeatable", s.Repeatable)
}

// SendingEnded logs what became of a sending until the head of its answer.
func (l *Log) SendingEnded(s *Sending) {
	l.metrics.sending(s)
	keyvals := []any{
		"id", s.ID, "send", s.Number, "upstream", s.Upstream, "result", string(s.Result), "status", s.Status, "conn", s.Trace.Conn,
		"use", s.Trace.ConnUses, "skipped", s.Trace.Skipped, "took_ms", ms(s.Took),
	}
	if s.Err != nil {
		keyvals = append(keyvals, "err", s.Err)
	}
	l.out.Info("sent", keyvals...)
}

// ConfigInForce implements fleet.Observer.
func (l *Log) ConfigInForce(version int64) { l.out.Info("config in force", "version", version) }

// UpstreamsChanged implements fleet.Observer.
func (l *Log) UpstreamsChanged(ids []string, known int) {
	l.metrics.upstreams.Set(int64(known))
	l.metrics.listChanges.Add(int64(len(ids)))
}

// UpstreamState logs that an upstream came, began to leave or went.
func (l *Log) UpstreamState(up *fleet.Upstream, state string) {
	l.out.Info("upstream", "id", up.ID, "state", state, "service", up.Service, "addr", up.Addr, "domain", up.FailureDomain, "leaves_in_ms", ms(up.RemovedIn))
}

// RegistrationInvalid implements fleet.Observer.
func (l *Log) RegistrationInvalid(id string, err error) {
	l.out.Warn("entry names no upstream", "id", id, "err", err)
}

// SourceLost implements fleet.Observer.
func (l *Log) SourceLost(what string, err error) {
	l.out.Warn("dependency lost", "what", what, "err", err)
}

// SourceRegained implements fleet.Observer.
func (l *Log) SourceRegained(what string, away time.Duration) {
	l.out.Info("dependency regained", "what", what, "away_ms", ms(away))
}

// LeaseRead implements cell.Observer.
func (l *Log) LeaseRead(holder string, version int64) {
	l.out.Info("lease read", "holder", holder, "version", version)
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
	l.out.Info("granted", "id", g.Request.RequestID, "router", router, "service", service, "model", g.Request.Model, "adapter", g.Request.Adapter,
		"upstream", g.Upstream.ID, "waited_ms", ms(g.Waited), "waited_for", g.Reason, "expected_ms", ms(g.Expected),
		"entry", g.Upstream.Sequence)
}

// Refused implements cell.DecisionLog.
func (l *Log) Refused(service string, r scheduler.Refusal) {
	l.out.Info("refused", "id", r.Request.RequestID, "service", service, "model", r.Request.Model, "adapter", r.Request.Adapter,
		"retry_after_ms", ms(r.RetryAfter), "reason", r.Reason)
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

// HandedOver implements cell.DecisionLog.
func (l *Log) HandedOver(router string, fence int64) {
	l.out.Info("lease handed over", "to", router, "fence", fence)
}

// Tenure logs the beginning or the end of scheduling on this router.
func (l *Log) Tenure(begins bool, fence int64, reason string) {
	l.out.Info("scheduling", "begins", begins, "fence", fence, "reason", reason)
}
