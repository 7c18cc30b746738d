package router

import (
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"time"

	apiv1 "github.com/ragwortdoor/ragwortdoor/api/ragwortdoor/v1"
)

// Headers of requests and answers.
const (
	HeaderRequestID      = "Ragwortdoor-Request-Id"
	HeaderOutcome        = "Ragwortdoor-Outcome"
	HeaderReplayed       = "Ragwortdoor-Replayed"
	HeaderDeadline       = "Ragwortdoor-Deadline-Ms"
	HeaderPriority       = "Ragwortdoor-Priority"
	HeaderIdempotencyKey = "Idempotency-Key"
)

const (
	pathChat     = "/v1/chat/completions"
	pathModels   = "/v1/models"
	pathServices = "/services/"
	pathHealth   = "/healthz"
	pathReady    = "/readyz"
)

func (r *Router) serveHTTP(w http.ResponseWriter, req *http.Request) {
	path := req.URL.Path
	switch {
	case path == pathHealth:
		writeText(w, http.StatusOK, "ok\n")
	case path == pathReady:
		r.serveReady(w)
	case path == pathChat:
		r.serve(w, req, r.serveChat)
	case path == pathModels:
		r.serve(w, req, r.serveModels)
	case strings.HasPrefix(path, pathServices):
		r.serve(w, req, r.serveService)
	default:
		r.serve(w, req, serveUnknownPath)
	}
}

// serve runs one accepted request to its outcome.
func (r *Router) serve(w http.ResponseWriter, req *http.Request, handle func(*exchange) *Error) {
	x := r.accept(w, req)
	defer x.abandon()
	err := r.admit()
	if err == nil {
		err = handle(x)
	}
	if err == nil {
		x.end(apiv1.Outcome_OUTCOME_SERVED, nil)
		return
	}
	x.fail(err)
	if x.truncated {
		panic(http.ErrAbortHandler) // net/http closes the connection
	}
}

// admit refuses work that this process can't take now.
func (r *Router) admit() *Error {
	if r.draining.Load() {
		return notRun(KindDraining, http.StatusServiceUnavailable, remedyRetry, "this router is stopping").after(time.Second)
	}
	if r.opts.View.Load().Config == nil {
		return notRun(KindNotReady, http.StatusServiceUnavailable, remedyRetry, "this router has no configuration yet").after(time.Second)
	}
	return nil
}

func serveUnknownPath(x *exchange) *Error {
	return notRun(KindUnknownPath, http.StatusNotFound,
		"use "+pathChat+", "+pathModels+" or "+pathServices+"NAME/...", "no such path: %s", x.req.URL.Path)
}

func (r *Router) serveReady(w http.ResponseWriter) {
	if err := r.admit(); err != nil {
		writeText(w, http.StatusServiceUnavailable, err.Message+"\n")
		return
	}
	writeText(w, http.StatusOK, "ready\n")
}

func writeText(w http.ResponseWriter, status int, text string) {
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	w.WriteHeader(status)
	_, _ = io.WriteString(w, text)
}

// errorBody is the JSON body of a refusal or failure.
type errorBody struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Kind         Kind   `json:"kind"`
	Message      string `json:"message"`
	Remedy       string `json:"remedy"`
	RequestID    string `json:"request_id"`
	Outcome      string `json:"outcome"`
	RetryAfterMs int64  `json:"retry_after_ms"`
}

func encodeError(id string, err *Error) []byte {
	body, marshalErr := json.Marshal(errorBody{Error: errorDetail{
		Kind:         err.Kind,
		Message:      err.Message,
		Remedy:       err.Remedy,
		RequestID:    id,
		Outcome:      outcomeHeader(err.Outcome),
		RetryAfterMs: err.RetryAfter.Milliseconds(),
	}})
	if marshalErr != nil {
		return []byte("{}") // strings and numbers always encode
	}
	return body
}

// outcomeHeader is the value of HeaderOutcome.
func outcomeHeader(o apiv1.Outcome) string {
	if o == apiv1.Outcome_OUTCOME_NOT_RUN {
		return "not-run"
	}
	return "unknown"
}

// modelList is the answer to GET /v1/models.
type modelList struct {
	Object string       `json:"object"`
	Data   []modelEntry `json:"data"`
}

type modelEntry struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	OwnedBy string `json:"owned_by"`
}

func (r *Router) serveModels(x *exchange) *Error {
	if err := x.allow(http.MethodGet, http.MethodHead); err != nil {
		return err
	}
	set := r.opts.View.Load().Config.Set
	list := modelList{Object: "list", Data: []modelEntry{}}
	add := func(id string) {
		list.Data = append(list.Data, modelEntry{ID: id, Object: "model", OwnedBy: "ragwortdoor"})
	}
	for _, m := range set.GetModels() {
		add(m.GetName())
		for _, alias := range m.GetAliases() {
			add(alias)
		}
	}
	for _, a := range set.GetAdapters() {
		add(a.GetModel() + ":" + a.GetName())
	}
	body, err := json.Marshal(list)
	if err != nil {
		return unknown(KindUpstream, http.StatusInternalServerError, remedyAgain, "encode the list: %v", err)
	}
	return x.writeWhole(http.StatusOK, "application/json", body)
}
