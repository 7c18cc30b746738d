package router

import (
	"context"
	"errors"
	"io"
	"math"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	apiv1 "github.com/ragwortdoor/ragwortdoor/api/ragwortdoor/v1"
	"github.com/ragwortdoor/ragwortdoor/internal/config"
	"github.com/ragwortdoor/ragwortdoor/internal/route"
)

const (
	defaultDeadline = 60 * time.Second
	maxDeadline     = 24 * time.Hour

	// answerMargin is kept free before the deadline to write the answer.
	answerMargin = 5 * time.Millisecond
	// upstreamMargin is kept free before the deadline for the refusal of a
	// sidecar to come back: it knows whether the request has run.
	upstreamMargin = 20 * time.Millisecond
	// writeGrace lets an answer that is being written at the deadline end.
	writeGrace = time.Second
	// bodyTimeout bounds the time in which a caller sends its request.
	bodyTimeout = 30 * time.Second
)

// exchange is one accepted request, from its arrival to its outcome. It belongs
// to the goroutine of the HTTP handler.
type exchange struct {
	r   *Router
	w   http.ResponseWriter
	rc  *http.ResponseController
	req *http.Request

	id       string
	arrived  time.Time
	deadline time.Time
	class    route.Class
	record   *apiv1.WaitRecord

	started bool // a byte of the answer may have been written
	// truncated is true when the connection must be closed, so that the caller
	// sees that the answer is not whole.
	truncated bool
	ended     bool
}

// accept counts a request and gives it an id.
func (r *Router) accept(w http.ResponseWriter, req *http.Request) *exchange {
	r.counters.accept()
	now := r.opts.Now()
	id := r.ids.New(now).String()
	w.Header().Set(HeaderRequestID, id)
	return &exchange{
		r:        r,
		w:        w,
		rc:       http.NewResponseController(w),
		req:      req,
		id:       id,
		arrived:  now,
		deadline: now.Add(defaultDeadline),
		record: &apiv1.WaitRecord{
			RequestId:     id,
			ArrivedUnixMs: now.UnixMilli(),
		},
	}
}

// allow refuses all but the given methods.
func (x *exchange) allow(methods ...string) *Error {
	if slices.Contains(methods, x.req.Method) {
		return nil
	}
	err := notRun(KindMethodNotAllowed, http.StatusMethodNotAllowed,
		"use "+strings.Join(methods, " or "), "method %s is not allowed here", x.req.Method)
	err.Allow = strings.Join(methods, ", ")
	return err
}

// setClassAndDeadline reads the class and the deadline of the request. The class in the
// header goes before the one of the object; fallback is the deadline of
// requests that carry none.
func (x *exchange) setClassAndDeadline(index *config.Index, class string, fallback time.Duration) *Error {
	if name := x.req.Header.Get(HeaderPriority); name != "" {
		if index.PriorityClass(name) == nil {
			return badRequest("name a published priority class", "%s: no priority class %q", HeaderPriority, name)
		}
		class = name
	}
	if c := index.PriorityClass(class); c != nil {
		x.class = route.Class{
			Name:     c.GetName(),
			Priority: c.GetPriority(),
			Ageing:   time.Duration(c.GetAgeingMs()) * time.Millisecond,
		}
		if fallback == 0 {
			fallback = time.Duration(c.GetDefaultDeadlineMs()) * time.Millisecond
		}
	}
	if fallback == 0 {
		fallback = defaultDeadline
	}
	deadline, err := parseDeadline(x.req.Header.Get(HeaderDeadline), fallback)
	if err != nil {
		return err
	}
	x.deadline = x.arrived.Add(deadline)
	x.record.PriorityClass = x.class.Name
	x.record.DeadlineMs = uint32(deadline.Milliseconds())
	return nil
}

func parseDeadline(header string, fallback time.Duration) (time.Duration, *Error) {
	if header == "" {
		return fallback, nil
	}
	ms, err := strconv.ParseInt(strings.TrimSpace(header), 10, 64)
	if err != nil || ms <= 0 || ms > maxDeadline.Milliseconds() {
		return 0, badRequest("send a whole number of milliseconds from 1 to "+strconv.FormatInt(maxDeadline.Milliseconds(), 10),
			"%s: %q is no deadline", HeaderDeadline, header)
	}
	return time.Duration(ms) * time.Millisecond, nil
}

// context ends when the caller has gone or shortly before the deadline.
func (x *exchange) context() (context.Context, context.CancelFunc) {
	margin := min(answerMargin, x.deadline.Sub(x.arrived)/2)
	return context.WithDeadline(x.req.Context(), x.deadline.Add(-margin))
}

// left is the time until the deadline.
func (x *exchange) left() time.Duration { return x.deadline.Sub(x.r.opts.Now()) }

// upstreamDeadlineMs is the time that a sidecar is given, in milliseconds.
func (x *exchange) upstreamDeadlineMs() uint32 {
	left := x.left()
	left -= min(upstreamMargin, left/4)
	return uint32(max(left.Milliseconds(), 1))
}

// expired is the Error of a request whose context has ended.
func (x *exchange) expired(sent bool) *Error {
	if x.req.Context().Err() != nil {
		return callerGone(sent)
	}
	err := notRun(KindDeadline, http.StatusServiceUnavailable, remedyDeadline, "the deadline passed before an answer was there")
	return err.unknownIf(sent).after(time.Second)
}

// readBody reads the request body up to the bound.
func (x *exchange) readBody() ([]byte, *Error) {
	_ = x.rc.SetReadDeadline(time.Now().Add(bodyTimeout))
	limit := x.r.opts.MaxBodyBytes
	body, err := io.ReadAll(http.MaxBytesReader(x.w, x.req.Body, limit))
	_ = x.rc.SetReadDeadline(time.Time{})
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return nil, notRun(KindBodyTooLarge, http.StatusRequestEntityTooLarge,
			"send a shorter body, or raise max_body_bytes of the routers", "the body is longer than %d bytes", limit)
	case err != nil:
		return nil, badRequest("send the whole body", "the body could not be read: %v", err)
	default:
		return body, nil
	}
}

// start must be called before the first byte of an answer is written.
func (x *exchange) start() {
	x.started = true
	_ = x.rc.SetWriteDeadline(time.Now().Add(x.left() + writeGrace))
}

// writeWhole writes an answer and its body.
func (x *exchange) writeWhole(status int, contentType string, body []byte) *Error {
	x.start()
	if contentType != "" {
		x.w.Header().Set("Content-Type", contentType)
	}
	x.w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	x.w.WriteHeader(status)
	if _, err := x.w.Write(body); err != nil {
		return callerGone(true)
	}
	if err := x.rc.Flush(); err != nil && !errors.Is(err, http.ErrNotSupported) {
		return callerGone(true)
	}
	return nil
}

// fail ends the request with an Error. Once an answer has begun the status
// can't change: the handler has then written the error, or the connection is
// closed so that the caller sees that the answer is not whole.
func (x *exchange) fail(err *Error) {
	x.end(err.Outcome, err)
	if x.started {
		return
	}
	h := x.w.Header()
	h.Set(HeaderOutcome, outcomeHeader(err.Outcome))
	if err.RetryAfter > 0 {
		seconds := math.Ceil(err.RetryAfter.Seconds())
		h.Set("Retry-After", strconv.FormatInt(int64(seconds), 10))
	}
	if err.Allow != "" {
		h.Set("Allow", err.Allow)
	}
	_ = x.writeWhole(err.Status, "application/json", encodeError(x.id, err))
	x.finishWrites()
}

// end counts the outcome and hands on the wait record, once.
func (x *exchange) end(outcome apiv1.Outcome, err *Error) {
	if x.ended {
		return
	}
	x.ended = true
	// Counted last, so that Wait returns after the record was handed on.
	defer x.r.counters.end(outcome, kindOf(err))
	x.finishWrites()
	x.record.Outcome = outcome
	x.record.TotalMs = x.sinceArrival(x.r.opts.Now())
	if err != nil {
		x.record.Error = err.Error()
		x.record.RetryAfterMs = uint32(err.RetryAfter.Milliseconds())
	}
	x.logEnd(outcome, err)
	// A request that names no model or service has waited for none.
	if x.r.opts.Records != nil && x.record.GetTarget() != "" {
		x.r.opts.Records.Record(x.record)
	}
}

func kindOf(err *Error) Kind {
	if err == nil {
		return ""
	}
	return err.Kind
}

// finishWrites takes back the write deadline, which would else bound later
// requests on the same connection.
func (x *exchange) finishWrites() {
	if x.started {
		_ = x.rc.SetWriteDeadline(time.Time{})
	}
}

// abandon counts a request whose handler panicked.
func (x *exchange) abandon() {
	x.end(apiv1.Outcome_OUTCOME_UNKNOWN, unknown(KindUpstream, http.StatusInternalServerError, remedyCheck, "the handler failed"))
}

func (x *exchange) logEnd(outcome apiv1.Outcome, err *Error) {
	if err == nil {
		x.r.opts.Log.Debug("request served", "request_id", x.id, "target", x.record.GetTarget(), "total_ms", x.record.GetTotalMs())
		return
	}
	x.r.opts.Log.Info("request not served", "request_id", x.id, "target", x.record.GetTarget(),
		"outcome", outcomeHeader(outcome), "kind", err.Kind, "message", err.Message,
		"retry_after_ms", err.RetryAfter.Milliseconds(), "total_ms", x.record.GetTotalMs())
}
