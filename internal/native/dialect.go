package native

import (
	"bytes"
	"crypto/rand"
	"encoding/json"
	"fmt"
	"io"
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"

	apiv1 "github.com/ragwortdoor/ragwortdoor/api/ragwortdoor/v1"
	"github.com/ragwortdoor/ragwortdoor/internal/config"
	"github.com/ragwortdoor/ragwortdoor/internal/entry"
	"github.com/ragwortdoor/ragwortdoor/internal/external"
	"github.com/ragwortdoor/ragwortdoor/internal/memory"
	"github.com/ragwortdoor/ragwortdoor/internal/pace"
)

const (
	pathServices = "/services/"
	pathReady    = "/readyz"

	// headerPriority names a priority class.
	headerPriority = "Ragwortdoor-Priority"

	// bytesPerToken is used to estimate the number of tokens of a text.
	bytesPerToken = 4
	// defaultMaxTokens is the expected output length of a request without max_tokens.
	defaultMaxTokens = 256
)

// Dialect translates callers' requests and upstreams' responses. It implements
// entry.Dialect.
type Dialect struct {
	// Host is the prefix of request ids.
	Host       string
	Deployment *Deployment
	// MaxBodyBytes limits the body of a caller's request.
	MaxBodyBytes int64
}

// ReadyPath implements entry.Dialect.
func (Dialect) ReadyPath() string { return pathReady }

// IDHeader implements entry.Dialect.
func (Dialect) IDHeader() string { return external.HeaderRequestID }

// ReadCall implements entry.Dialect.
func (d Dialect) ReadCall(r *http.Request) entry.Call {
	call := entry.Call{ID: d.Host + "-" + rand.Text()[:12], ResumeAfter: r.Header.Get(external.HeaderLastEvent)}
	r.Header.Set(external.HeaderRequestID, call.ID)
	if ms, err := strconv.ParseInt(r.Header.Get(external.HeaderDeadline), 10, 64); err == nil && ms > 0 {
		call.Timeout = time.Duration(ms) * time.Millisecond
	}
	index := d.Deployment.Index()
	switch {
	case index == nil:
	case r.URL.Path == external.PathChat && r.Method != http.MethodPost:
		call.Problem = &entry.Problem{Status: http.StatusMethodNotAllowed, Kind: "method_not_allowed", Text: "send a POST"}
	case r.URL.Path == external.PathChat:
		d.readChat(r, index, &call)
	case strings.HasPrefix(r.URL.Path, pathServices):
		readService(r, index, &call)
	default:
		call.Problem = notFound("unknown_path", fmt.Sprintf("no path %q: see docs/CALLERS.md", r.URL.Path))
	}
	return call
}

func notFound(kind, text string) *entry.Problem {
	return &entry.Problem{Status: http.StatusNotFound, Kind: kind, Text: text}
}

func (d Dialect) readChat(r *http.Request, index *config.Index, call *entry.Call) {
	data, err := memory.HoldOf(r.Context()).ReadAll(io.LimitReader(r.Body, d.MaxBodyBytes+1), r.ContentLength)
	r.Body = rejoin(data, r.Body)
	if err == nil && int64(len(data)) > d.MaxBodyBytes {
		err = &http.MaxBytesError{Limit: d.MaxBodyBytes}
	}
	if err != nil {
		call.BodyErr = err
		return
	}
	var body chatBody
	if err := json.Unmarshal(data, &body); err != nil {
		call.Problem = &entry.Problem{Status: http.StatusBadRequest, Kind: "bad_request", Text: "the body is no chat request: " + err.Error()}
		return
	}
	target, known := index.Resolve(body.Model)
	if !known {
		call.Problem = notFound("unknown_model", fmt.Sprintf("no model %q: name a published one as MODEL or MODEL:ADAPTER; GET /v1/models lists them", body.Model))
		return
	}
	call.Path = poolPath(index.Placement(target.Model.GetPlacement()).GetPool())
	call.Model = target.Model.GetVersion()
	call.Adapter = target.Adapter.GetName()
	call.NonStreaming = !body.Stream
	call.MaxOutputTokens = body.MaxTokens
	if body.MaxTokens <= 0 {
		call.MaxOutputTokens = defaultMaxTokens
	}
	call.Parts, call.PromptTokens = body.Messages.parts, body.Messages.tokens
	applyPriorityClass(priorityClassOf(r, index, target.Model), call)
}

// rejoin returns a body that yields the bytes already read and then the rest.
func rejoin(read []byte, rest io.ReadCloser) io.ReadCloser {
	return struct {
		io.Reader
		io.Closer
	}{io.MultiReader(bytes.NewReader(read), rest), rest}
}

// priorityClassOf returns the priority class that a request names, or else the one
// of its model.
func priorityClassOf(r *http.Request, index *config.Index, model *apiv1.Model) *apiv1.PriorityClass {
	if class := index.PriorityClass(r.Header.Get(headerPriority)); class != nil {
		return class
	}
	return index.PriorityClass(model.GetPriorityClass())
}

func applyPriorityClass(class *apiv1.PriorityClass, call *entry.Call) {
	call.Rank = &entry.Rank{Priority: maxPriority - int(class.GetPriority()), Ageing: milliseconds(class.GetAgeingMs())}
	if call.Timeout <= 0 {
		call.Timeout = milliseconds(class.GetDefaultDeadlineMs())
	}
}

func readService(r *http.Request, index *config.Index, call *entry.Call) {
	name, rest, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, pathServices), "/")
	service := index.Service(name)
	if service == nil {
		call.Problem = notFound("unknown_service", fmt.Sprintf("no service %q: name a published one", name))
		return
	}
	call.Path = servicePath(name)
	call.Target = "/" + rest
	if r.URL.RawQuery != "" {
		call.Target += "?" + r.URL.RawQuery
	}
	if call.Timeout <= 0 {
		call.Timeout = milliseconds(service.GetDefaultDeadlineMs())
	}
	for _, c := range service.GetRepeatable() {
		call.Repeatable = call.Repeatable || c.GetMethod() == r.Method && strings.HasPrefix("/"+rest, c.GetPathPrefix())
	}
}

// Prepare implements entry.Dialect.
func (Dialect) Prepare(h http.Header, attempt entry.Attempt) {
	h.Del(headerPriority)
	h.Set(external.HeaderUpstream, attempt.UpstreamID)
	if attempt.Model != "" {
		h.Set(external.HeaderModel, joinModel(attempt.Model, attempt.Adapter))
	}
	if attempt.TimeLeft > 0 {
		h.Set(external.HeaderDeadline, strconv.FormatInt(max(1, attempt.TimeLeft.Milliseconds()), 10))
	}
	if attempt.Priority >= 0 {
		h.Set(external.HeaderRank, strconv.Itoa(attempt.Priority))
	}
	h.Del(external.HeaderLastEvent)
	if attempt.ResumeAfter != "" {
		h.Set(external.HeaderLastEvent, attempt.ResumeAfter)
	}
}

func joinModel(model, adapter string) string {
	if adapter == "" {
		return model
	}
	return model + ":" + adapter
}

func splitModel(name string) (model, adapter string) {
	model, adapter, _ = strings.Cut(name, ":")
	return model, adapter
}

// ReadResponse implements entry.Dialect.
func (Dialect) ReadResponse(status int, h http.Header) entry.ResponseInfo {
	info := entry.ResponseInfo{
		Signed:        true, // responses carry the request id
		NotRun:        h.Get(external.HeaderOutcome) == external.OutcomeNotRun,
		WrongUpstream: status == http.StatusMisdirectedRequest,
		Leaving:       h.Get(external.HeaderDraining) == external.DrainingNow,
		Limit:         pace.ParseNotice(h.Values(external.HeaderLimit)),
	}
	if ms, err := strconv.ParseUint(h.Get(external.HeaderPause), 10, 32); err == nil && status == http.StatusServiceUnavailable {
		info.Pause = milliseconds(uint32(ms))
	}
	return info
}

type errorBody struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Kind         string `json:"kind"`
	Message      string `json:"message"`
	RequestID    string `json:"request_id"`
	Outcome      string `json:"outcome"`
	RetryAfterMs int64  `json:"retry_after_ms"`
}

// WriteErrorResponse implements entry.Dialect.
func (Dialect) WriteErrorResponse(h http.Header, response entry.ErrorResponse) []byte {
	outcome := external.OutcomeNotRun
	if response.MayHaveRun {
		outcome = external.OutcomeMayHaveRun
	}
	h.Set("Content-Type", "application/json")
	h.Set(external.HeaderOutcome, outcome)
	if response.RetryAfter > 0 {
		h.Set("Retry-After", strconv.Itoa(int(math.Ceil(response.RetryAfter.Seconds()))))
	}
	if response.Status == http.StatusMethodNotAllowed {
		h.Set("Allow", http.MethodPost)
	}
	body, err := json.Marshal(errorBody{errorDetail{
		Kind:         response.Kind,
		Message:      response.Text,
		RequestID:    response.ID,
		Outcome:      outcome,
		RetryAfterMs: response.RetryAfter.Milliseconds(),
	}})
	if err != nil {
		return []byte(response.Text) // unreachable: strings and numbers always encode
	}
	return append(body, '\n')
}
