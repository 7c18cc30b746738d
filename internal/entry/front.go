package entry

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/ragwortdoor/ragwortdoor/internal/cell"
	"github.com/ragwortdoor/ragwortdoor/internal/exchange"
	"github.com/ragwortdoor/ragwortdoor/internal/fleet"
	"github.com/ragwortdoor/ragwortdoor/internal/retry"
)

const (
	// defaultPatience is used for callers that name no deadline.
	defaultPatience = 60 * time.Second
	// defaultBodyBytes bounds bodies until a configuration does.
	defaultBodyBytes = 4 << 20
	// startPause is the Retry-After while the router knows no configuration.
	startPause = 300 * time.Millisecond
	// stopPause is the Retry-After of a router that stops: others take over.
	stopPause = 10 * time.Millisecond
	// minPause is the shortest Retry-After.
	minPause = time.Millisecond
	// againPause is the Retry-After after an upstream's own refusal.
	againPause = 50 * time.Millisecond
	// retryMargin leaves a part of the retry budget to what can't be foreseen.
	retryMargin = 0.75
	retryFloor  = 0.3 // retries a second of one router
)

// Front takes callers' requests.
type Front struct {
	settings  Settings
	live      atomic.Pointer[live]
	dialect   Dialect
	directory *fleet.Directory
	pool      *exchange.Pool
	scheduler *cell.Client
	balancer  *balancer
	budget    *retry.Budget
	log       *Log
	// stopAt is when the process began to stop, nil before. It keeps the reading of
	// the steady clock.
	stopAt   atomic.Pointer[time.Time]
	inFlight atomic.Int64
	// ending is cancelled when requests under way have to be answered at once.
	ending context.Context
	end    context.CancelFunc
}

// FrontOptions configure a Front.
type FrontOptions struct {
	Settings  Settings
	Dialect   Dialect
	Directory *fleet.Directory
	Pool      *exchange.Pool
	Scheduler *cell.Client
	Log       *Log
}

// NewFront makes a front.
func NewFront(opts FrontOptions) *Front {
	ending, end := context.WithCancel(context.Background())
	f := &Front{
		ending:    ending,
		end:       end,
		settings:  opts.Settings,
		dialect:   opts.Dialect,
		directory: opts.Directory,
		pool:      opts.Pool,
		scheduler: opts.Scheduler,
		balancer:  newBalancer(opts.Settings.FailureDomain),
		budget:    retry.NewBudget(opts.Settings.RetryShare*retryMargin, retryFloor),
		log:       opts.Log,
	}
	f.live.Store(liveOf(opts.Settings))
	return f
}

// job is one request of a caller.
type job struct {
	front   *Front
	w       http.ResponseWriter
	r       *http.Request
	ctx     context.Context
	call    Call
	route   *fleet.Route
	service fleet.Service
	body    []byte
	arrived time.Time
	// objective is when the first byte is expected, giveUp when the answer must
	// be whole.
	objective time.Time
	giveUp    time.Time
	// repeatable is set when the request may run more than once.
	repeatable bool
	rank       Rank

	// sends counts the sendings, tried the upstreams that got the request.
	sends int
	tried []string
	// begun is set once a byte of the answer was written to the caller.
	begun bool
	// lastEvent is the id of the last whole event that the caller has.
	lastEvent   string
	lastEventAt time.Time
	record      Record
}

// ServeHTTP implements http.Handler.
func (f *Front) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	f.inFlight.Add(1)
	defer f.inFlight.Add(-1)
	if f.isStopping() {
		w.Header().Set("Connection", "close")
	}
	j := &job{front: f, w: w, r: r, arrived: time.Now()}
	j.call = f.dialect.ReadCall(r)
	j.record = Record{ID: j.call.ID, Model: j.call.Model, Adapter: j.call.Adapter}
	if j.call.ID != "" {
		w.Header().Set(f.dialect.IDHeader(), j.call.ID)
	}
	defer func() { f.log.Request(&j.record, time.Since(j.arrived)) }()
	if j.prepare() {
		j.serve()
	}
}

// stop makes the front unready. Requests are still taken, since callers go on
// using their connections.
func (f *Front) stop() {
	now := time.Now()
	f.stopAt.Store(&now)
}

func (f *Front) isStopping() bool { return f.stopAt.Load() != nil }

// stopsSoon reports whether a request that is taken now could be cut by the end
// of the process.
func (f *Front) stopsSoon() bool {
	at := f.stopAt.Load()
	return at != nil && time.Since(*at) > f.stopLinger()
}

func (f *Front) stopLinger() time.Duration {
	return f.live.Load().stopLinger
}

// prepare finds the route and reads the body; it answers the request and
// reports false if that fails.
func (j *job) prepare() bool {
	snapshot := j.front.directory.Load()
	if j.front.stopsSoon() {
		j.refuse(stopPause, "this router stops")
		return false
	}
	if snapshot.Config == nil {
		j.refuse(startPause, "no configuration yet")
		return false
	}
	j.record.ConfigVersion = snapshot.Config.Version
	if fault := j.call.Problem; fault != nil {
		j.record.Outcome = OutcomeInvalid
		j.record.Reason = fault.Text
		j.answer(ErrorResponse{Status: fault.Status, Kind: fault.Kind, Text: fault.Text})
		return false
	}
	j.route = snapshot.Config.Match(j.r.Host, j.path())
	if j.route == nil {
		j.record.Outcome = OutcomeNoRoute
		j.answer(ErrorResponse{Status: http.StatusNotFound, Kind: "unknown_path", Text: "no route for this host and path: publish one or correct the address"})
		return false
	}
	j.record.Route = j.route.Name
	service, known := snapshot.Config.Services[j.route.PickTarget(rand.Float64())]
	if !known {
		j.refuse(startPause, "the route names no known service")
		return false
	}
	j.service = service
	j.record.Service = service.Name
	j.repeatable = j.route.Repeat == fleet.Repeatable || j.call.Repeatable
	j.rank = Rank{Priority: j.route.Priority}
	if j.call.Rank != nil {
		j.rank = *j.call.Rank
	}
	j.setTimes()
	return j.readBody(snapshot.Config.Limits.BodyBytes)
}

// path is where the route is looked up.
func (j *job) path() string {
	if j.call.Path != "" {
		return j.call.Path
	}
	path, _, _ := strings.Cut(j.r.RequestURI, "?")
	return path
}

func (j *job) setTimes() {
	patience := j.call.Timeout
	if patience <= 0 {
		patience = defaultPatience
	}
	if j.route.Timeout > 0 {
		patience = min(patience, j.route.Timeout)
	}
	j.giveUp = j.arrived.Add(patience)
	j.objective = j.giveUp
	if j.route.Objective > 0 {
		j.objective = j.arrived.Add(j.route.Objective)
	}
}

// readBody reads the whole body, so that it can be sent more than once.
func (j *job) readBody(limit int64) bool {
	if limit <= 0 {
		limit = defaultBodyBytes
	}
	body, err := io.ReadAll(http.MaxBytesReader(j.w, j.r.Body, limit))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		j.record.Outcome = OutcomeTooLarge
		j.answer(ErrorResponse{Status: http.StatusRequestEntityTooLarge, Kind: "body_too_large", Text: "the body is larger than the configured limit"})
		return false
	}
	if err != nil {
		j.record.Outcome = OutcomeCallerEnd
		j.record.Reason = err.Error()
		panic(http.ErrAbortHandler) // the request did not arrive whole
	}
	j.body = body
	return true
}

func (j *job) serve() {
	ctx, cancel := context.WithDeadline(j.r.Context(), j.giveUp)
	defer cancel()
	stop := context.AfterFunc(j.front.ending, cancel)
	defer stop()
	j.ctx = ctx
	j.front.budget.RecordCall()
	if j.call.Model != "" && j.service.Engine != nil {
		j.serveModel()
		return
	}
	j.servePlain()
}

// refuse answers that the request did not run, and when to come back. One that may
// have run, or whose caller left, fails instead.
func (j *job) refuse(retryAfter time.Duration, reason string) {
	if j.record.MayHaveRun || j.callerLeft() {
		j.fail(reason)
		return
	}
	j.record.Outcome = OutcomeRefused
	j.record.Reason = reason
	retryAfter = max(retryAfter, minPause)
	j.record.RetryAfter = retryAfter
	j.answer(ErrorResponse{Status: http.StatusServiceUnavailable, Kind: "refused", Text: reason, RetryAfter: retryAfter})
}

// fail answers that it is unknown whether the request ran, or that it ran out
// of time.
func (j *job) fail(reason string) {
	j.record.Reason = reason
	if j.begun {
		j.record.Outcome = OutcomeBroken
		panic(http.ErrAbortHandler) // an answer that is not whole must not look so
	}
	if j.callerLeft() {
		j.record.Outcome = OutcomeCallerEnd
		panic(http.ErrAbortHandler) // nobody reads the answer
	}
	if !time.Now().Before(j.giveUp) {
		j.record.Outcome = OutcomeTimeout
		j.answer(ErrorResponse{Status: http.StatusGatewayTimeout, Kind: "deadline", Text: reason, MayHaveRun: j.record.MayHaveRun})
		return
	}
	j.record.Outcome = OutcomeFailed
	j.answer(ErrorResponse{Status: http.StatusBadGateway, Kind: "upstream_failed", Text: reason, MayHaveRun: j.record.MayHaveRun})
}

func (j *job) callerLeft() bool { return j.r.Context().Err() != nil }

// answer writes an answer of the router's own.
func (j *job) answer(verdict ErrorResponse) {
	verdict.ID = j.call.ID
	j.record.Status = verdict.Status
	body := j.front.dialect.WriteErrorResponse(j.w.Header(), verdict)
	j.w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	j.w.WriteHeader(verdict.Status)
	_, _ = j.w.Write(body) // a caller that left gets nothing
}

// timeLeft is the time until the request is given up.
func (j *job) timeLeft() time.Duration { return time.Until(j.giveUp) }

// request builds what goes on the wire to an upstream.
func (j *job) request(upstreamID string, priority int) *exchange.Request {
	header := endToEnd(j.r.Header)
	j.front.dialect.Prepare(header, Attempt{
		UpstreamID:  upstreamID,
		Model:       j.call.Model,
		Adapter:     j.call.Adapter,
		TimeLeft:    j.timeLeft(),
		Priority:    priority,
		ResumeAfter: j.resumeAfter(),
	})
	return &exchange.Request{
		ID:     j.call.ID,
		Method: j.r.Method,
		URI:    j.target(),
		Host:   j.r.Host,
		Header: header,
		Body:   j.body,
	}
}

func (j *job) resumeAfter() string {
	if j.lastEvent != "" {
		return j.lastEvent
	}
	if j.route.Resumable {
		return j.call.ResumeAfter
	}
	return ""
}

// target returns the request target in the form that upstreams expect.
func (j *job) target() string {
	if j.call.Target != "" {
		return j.call.Target
	}
	if strings.HasPrefix(j.r.RequestURI, "/") {
		return j.r.RequestURI
	}
	return j.r.URL.RequestURI()
}

// hopHeaders concern one connection only.
var hopHeaders = []string{"Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect", "Content-Length"}

// endToEnd copies the headers that are not for one connection only.
func endToEnd(h http.Header) http.Header {
	out := h.Clone()
	for _, list := range h.Values("Connection") {
		for _, name := range strings.Split(list, ",") {
			out.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopHeaders {
		out.Del(name)
	}
	return out
}
