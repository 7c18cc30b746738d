package entry

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/ragwortdoor/ragwortdoor/internal/blocklist"
	"github.com/ragwortdoor/ragwortdoor/internal/cell"
	"github.com/ragwortdoor/ragwortdoor/internal/exchange"
	"github.com/ragwortdoor/ragwortdoor/internal/fleet"
	"github.com/ragwortdoor/ragwortdoor/internal/memory"
	"github.com/ragwortdoor/ragwortdoor/internal/pace"
	"github.com/ragwortdoor/ragwortdoor/internal/retry"
	"github.com/ragwortdoor/ragwortdoor/internal/workspace"
)

const (
	// defaultTimeout applies to requests without a timeout.
	defaultTimeout = 60 * time.Second
	// defaultBodyBytes limits request bodies if the configuration does not.
	defaultBodyBytes = 4 << 20
	// startRetryDelay is the Retry-After while there is no usable configuration.
	startRetryDelay = 300 * time.Millisecond
	// stopRetryDelay is the Retry-After of a stopping router. It is short because other
	// routers accept the request.
	stopRetryDelay = 10 * time.Millisecond
	// minRetryDelay is the shortest Retry-After.
	minRetryDelay = time.Millisecond
	// attemptRetryDelay is the Retry-After when the last attempt failed or was refused.
	attemptRetryDelay = 50 * time.Millisecond
)

// Handler is the http.Handler for callers' requests.
type Handler struct {
	settings   Settings
	reloadable atomic.Pointer[reloadableSettings]
	dialect    Dialect
	directory  *fleet.Directory
	pool       *exchange.Pool
	scheduler  *cell.Client
	balancer   *balancer
	pauses     *pauses
	// blocklist has the prompt parts that crash engines.
	blocklist *blocklist.List
	notices   *notices
	budgets   *retryBudgets
	keyWaits  keyWaits
	quotas    *pace.Allowances
	log       *Log
	// stopAt is when the process began to stop, nil before. The pointer keeps the
	// monotonic clock reading, so that a step of the wall clock does not matter.
	stopAt   atomic.Pointer[time.Time]
	inFlight atomic.Int64
	// abortCtx is cancelled at the end of the drain, when requests in flight must be
	// answered at once.
	abortCtx context.Context
	abort    context.CancelFunc
	// lateCtx is cancelled when a stopping router sends no more requests for the first time:
	// the end of the drain would cut them.
	lateCtx context.Context
	endSend context.CancelFunc
}

// HandlerOptions configure a Handler.
type HandlerOptions struct {
	Settings  Settings
	Dialect   Dialect
	Directory *fleet.Directory
	Pool      *exchange.Pool
	Scheduler *cell.Client
	Notices   *notices
	// Quotas has what this router may spend of the quotas of workspaces.
	Quotas *pace.Allowances
	// Blocklist has the prompt parts that crash engines.
	Blocklist *blocklist.List
	Log       *Log
}

// NewHandler returns a handler that accepts requests until the process stops.
func NewHandler(opts HandlerOptions) *Handler {
	abortCtx, abort := context.WithCancel(context.Background())
	lateCtx, endSend := context.WithCancel(abortCtx)
	h := &Handler{
		abortCtx:  abortCtx,
		abort:     abort,
		lateCtx:   lateCtx,
		endSend:   endSend,
		settings:  opts.Settings,
		dialect:   opts.Dialect,
		directory: opts.Directory,
		pool:      opts.Pool,
		scheduler: opts.Scheduler,
		balancer:  newBalancer(opts.Settings.FailureDomain),
		pauses:    opts.Notices.pauses,
		blocklist: opts.Blocklist,
		notices:   opts.Notices,
		budgets:   newRetryBudgets(opts.Settings.RetryShare),
		quotas:    opts.Quotas,
		log:       opts.Log,
	}
	h.reloadable.Store(newReloadable(opts.Settings))
	return h
}

// callerRequest is the state of one request of a caller.
type callerRequest struct {
	handler *Handler
	w       http.ResponseWriter
	r       *http.Request
	ctx     context.Context
	call    Call
	route   *fleet.Route
	// workspace is that of the caller, nil without one.
	workspace *workspace.Workspace
	// quotaCost is what the request cost of its workspace's quota, quotaSpent from what it was
	// taken.
	quotaCost  int64
	quotaSpent pace.SpentFrom
	service    fleet.Service
	budget     *retry.Budget
	body       []byte
	// hold accounts for the memory of the caller's connection.
	hold      *memory.Hold
	arrivedAt time.Time
	// objective is when the first byte is expected, deadline when the response must be
	// complete.
	objective time.Time
	deadline  time.Time
	// repeatable is set when the request may run more than once.
	repeatable bool
	rank       Rank

	// attempts counts the sends, tried lists the upstreams that got the request.
	attempts int
	tried    []string
	// responseStarted is set once the response head was written to the caller.
	responseStarted bool
	// firstEventID and lastEventID are the ids of the first and the last complete event sent
	// to the caller.
	firstEventID, lastEventID string
	// firstEventAt and lastEventAt are when events were sent to the caller.
	firstEventAt, lastEventAt time.Time
	// slowdown is how long work takes at the engine of the attempt under way, as a multiple of
	// the usual time; 0 if its response does not say so.
	slowdown float64
	// stall watches the attempt at an engine that is under way.
	stall  *stallWatch
	record RequestRecord
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h.inFlight.Add(1)
	defer h.inFlight.Add(-1)
	if h.isStopping() {
		w.Header().Set("Connection", "close")
	}
	cr := &callerRequest{handler: h, w: w, r: r, hold: memory.HoldOf(r.Context()), arrivedAt: time.Now()}
	cr.call = h.dialect.ReadCall(r)
	for i, part := range cr.call.Parts {
		cr.call.Parts[i].ID = memory.Key(part.ID)
	}
	cr.record = RequestRecord{ID: cr.call.ID, Model: cr.call.Model, Adapter: cr.call.Adapter}
	if cr.call.ID != "" {
		w.Header().Set(h.dialect.IDHeader(), cr.call.ID)
	}
	defer func() {
		cr.settleQuota()
		h.log.Request(&cr.record, time.Since(cr.arrivedAt))
	}()
	if err := cr.hold.Grow(time.Now(), promptPartBytes*int64(len(cr.call.Parts))); err != nil {
		cr.refuseForMemory()
		return
	}
	if cr.prepare() {
		cr.serve()
	}
}

// prepare finds the route and reads the body. If that fails, it writes the error
// response and reports false.
func (cr *callerRequest) prepare() bool {
	snapshot := cr.handler.directory.Load()
	if cr.handler.isDrainDelayOver() {
		cr.refuse(stopRetryDelay, "this router stops")
		return false
	}
	if snapshot.Config == nil {
		cr.refuse(startRetryDelay, "no configuration yet")
		return false
	}
	cr.record.ConfigVersion = snapshot.Config.Version
	if cr.call.BodyErr != nil {
		cr.failBody(cr.call.BodyErr)
		return false
	}
	if problem := cr.call.Problem; problem != nil {
		cr.record.Outcome = OutcomeInvalid
		cr.record.Reason = problem.Text
		cr.writeError(ErrorResponse{Status: problem.Status, Kind: problem.Kind, Text: problem.Text})
		return false
	}
	cr.route = snapshot.Config.Match(cr.r.Host, cr.path())
	if cr.route == nil {
		cr.record.Outcome = OutcomeNoRoute
		cr.writeError(ErrorResponse{Status: http.StatusNotFound, Kind: "unknown_path", Text: "no route for this host and path: publish one or correct the address"})
		return false
	}
	cr.record.Route = cr.route.Name
	cr.rank = Rank{Priority: cr.route.Priority}
	if cr.call.Rank != nil {
		cr.rank = *cr.call.Rank
	}
	cr.setDeadlines()
	if !cr.authorize(snapshot) || !cr.acquireQuota() {
		return false
	}
	service, known := snapshot.Config.Services[cr.route.PickTarget(rand.Float64())]
	if !known {
		cr.refuse(startRetryDelay, "the route names no known service")
		return false
	}
	cr.service = service
	cr.record.Service = service.Name
	cr.repeatable = cr.route.Repeat == fleet.Repeatable || cr.call.Repeatable
	return cr.readBody(snapshot.Config.Limits.BodyBytes)
}

// path returns the path that is matched against the routes.
func (cr *callerRequest) path() string {
	if cr.call.Path != "" {
		return cr.call.Path
	}
	path, _, _ := strings.Cut(cr.r.RequestURI, "?")
	return path
}

func (cr *callerRequest) setDeadlines() {
	timeout := cr.call.Timeout
	if timeout <= 0 {
		timeout = defaultTimeout
	}
	if cr.route.Timeout > 0 {
		timeout = min(timeout, cr.route.Timeout)
	}
	cr.deadline = cr.arrivedAt.Add(timeout)
	cr.objective = cr.deadline
	if cr.route.Objective > 0 {
		cr.objective = cr.arrivedAt.Add(cr.route.Objective)
	}
}

// readBody reads the complete body into memory, so that it can be sent more than once.
func (cr *callerRequest) readBody(limit int64) bool {
	if limit <= 0 {
		limit = defaultBodyBytes
	}
	body, err := cr.hold.ReadAll(http.MaxBytesReader(cr.w, cr.r.Body, limit), cr.r.ContentLength)
	if err != nil {
		cr.failBody(err)
		return false
	}
	cr.body = body
	return true
}

// failBody responds to a request whose body could not be read.
func (cr *callerRequest) failBody(err error) {
	var tooLarge *http.MaxBytesError
	switch {
	case errors.Is(err, memory.ErrExhausted):
		cr.refuseForMemory()
	case errors.As(err, &tooLarge):
		cr.record.Outcome = OutcomeTooLarge
		cr.writeError(ErrorResponse{Status: http.StatusRequestEntityTooLarge, Kind: "body_too_large", Text: "the body is larger than the configured limit"})
	default:
		cr.record.Outcome = OutcomeCallerDisconnected
		cr.record.Reason = err.Error()
		panic(http.ErrAbortHandler) // the request body is truncated
	}
}

func (cr *callerRequest) serve() {
	ctx, cancel := context.WithDeadline(cr.r.Context(), cr.deadline)
	defer cancel()
	stop := context.AfterFunc(cr.handler.abortCtx, cancel)
	defer stop()
	cr.ctx = ctx
	cr.budget = cr.handler.budgets.of(cr.service.Name)
	cr.budget.RecordCall()
	if cr.call.Model != "" && cr.service.Engine != nil {
		cr.serveModel()
		return
	}
	cr.servePlain()
}

// refuse responds with 503 and Retry-After: the request did not run. If it may have run
// or the caller disconnected, refuse calls fail instead.
func (cr *callerRequest) refuse(retryAfter time.Duration, reason string) {
	if cr.record.MayHaveRun || cr.callerDisconnected() {
		cr.fail(reason)
		return
	}
	cr.record.Outcome = OutcomeRefused
	cr.record.Reason = reason
	retryAfter = max(retryAfter, minRetryDelay)
	cr.record.RetryAfter = retryAfter
	cr.writeError(ErrorResponse{Status: http.StatusServiceUnavailable, Kind: "refused", Text: reason, RetryAfter: retryAfter})
}

// fail responds with 504 after the deadline and 502 otherwise; MayHaveRun says whether the
// request may have run. If the response was started or the caller disconnected, fail aborts
// the connection with a panic.
func (cr *callerRequest) fail(reason string) {
	cr.record.Reason = reason
	if cr.responseStarted {
		cr.record.Outcome = OutcomeAborted
		panic(http.ErrAbortHandler) // a truncated response must not look complete
	}
	if cr.callerDisconnected() {
		cr.record.Outcome = OutcomeCallerDisconnected
		panic(http.ErrAbortHandler) // nobody reads the response
	}
	if !time.Now().Before(cr.deadline) {
		cr.record.Outcome = OutcomeTimeout
		cr.writeError(ErrorResponse{Status: http.StatusGatewayTimeout, Kind: "deadline", Text: reason, MayHaveRun: cr.record.MayHaveRun})
		return
	}
	cr.record.Outcome = OutcomeFailed
	cr.writeError(ErrorResponse{Status: http.StatusBadGateway, Kind: "upstream_failed", Text: reason, MayHaveRun: cr.record.MayHaveRun})
}

func (cr *callerRequest) callerDisconnected() bool { return cr.r.Context().Err() != nil }

// writeError writes a response that the router generates itself.
func (cr *callerRequest) writeError(resp ErrorResponse) {
	resp.ID = cr.call.ID
	cr.record.Status = resp.Status
	body := cr.handler.dialect.WriteErrorResponse(cr.w.Header(), resp)
	cr.w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	cr.w.WriteHeader(resp.Status)
	_, _ = cr.w.Write(body) // fails only if the caller disconnected
}

// timeLeft returns the time until the deadline.
func (cr *callerRequest) timeLeft() time.Duration { return time.Until(cr.deadline) }

// upstreamRequest builds the request for an upstream.
func (cr *callerRequest) upstreamRequest(upstreamID string, priority int) *exchange.Request {
	header := endToEnd(cr.r.Header)
	cr.handler.dialect.Prepare(header, Attempt{
		UpstreamID:  upstreamID,
		Model:       cr.call.Model,
		Adapter:     cr.call.Adapter,
		TimeLeft:    cr.timeLeft(),
		Priority:    priority,
		ResumeAfter: cr.resumeAfter(),
		Guarded:     cr.handler.directory.Load().AsksForKeys(),
		Workspace:   workspaceName(cr.workspace),
	})
	return &exchange.Request{
		ID:     cr.call.ID,
		Method: cr.r.Method,
		URI:    cr.target(),
		Host:   cr.r.Host,
		Header: header,
		Body:   cr.body,
	}
}

func (cr *callerRequest) resumeAfter() string {
	if cr.lastEventID != "" {
		return cr.lastEventID
	}
	if cr.route.Resumable {
		return cr.call.ResumeAfter
	}
	return ""
}

// target returns the request target in origin form.
func (cr *callerRequest) target() string {
	if cr.call.Target != "" {
		return cr.call.Target
	}
	if strings.HasPrefix(cr.r.RequestURI, "/") {
		return cr.r.RequestURI
	}
	return cr.r.URL.RequestURI()
}
