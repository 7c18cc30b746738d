package loadtest

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/ragwortdoor/ragwortdoor/internal/retry"
)

// Answer is what a caller got for one try of a request.
type Answer struct {
	Request Request
	// RequestID names the try in the wait records.
	RequestID string
	Status    int
	// Outcome is "served", "not-run", "unknown" or "none" when no answer came.
	Outcome string
	// ErrorKind is the kind of a refusal or failure.
	ErrorKind string
	// RetryAfter is 0 without advice.
	RetryAfter time.Duration
	// FirstToken is the time to the first token, or to the answer of a call.
	FirstToken time.Duration
	Total      time.Duration
	// Again is true for a try after Retry-After.
	Again bool
}

// Outcomes of a try, as callers see them.
const (
	OutcomeServed  = "served"
	OutcomeNotRun  = "not-run"
	OutcomeUnknown = "unknown"
	OutcomeNone    = "none"
)

// Runner sends load to routers in turn.
type Runner struct {
	// Routers are the base URLs of the routers.
	Routers []string
	HTTP    *http.Client

	mu      sync.Mutex
	answers []Answer
}

// Run sends the requests at their times and returns all tries. A refused
// request is sent once more after its Retry-After.
func (r *Runner) Run(ctx context.Context, requests []Request) []Answer {
	start := time.Now()
	var wg sync.WaitGroup
	for i, request := range requests {
		if !retry.Sleep(ctx, time.Until(start.Add(request.At))) {
			break
		}
		wg.Go(func() { r.run(ctx, i, request) })
	}
	wg.Wait()
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.answers
}

func (r *Runner) run(ctx context.Context, i int, request Request) {
	first := r.Send(ctx, r.Routers[i%len(r.Routers)], request)
	r.keep(first)
	if first.Outcome != OutcomeNotRun || first.RetryAfter == 0 || !retry.Sleep(ctx, first.RetryAfter) {
		return
	}
	again := r.Send(ctx, r.Routers[(i+1)%len(r.Routers)], request)
	again.Again = true
	r.keep(again)
}

func (r *Runner) keep(a Answer) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.answers = append(r.answers, a)
}

// Send sends one request and reads its answer to the end.
func (r *Runner) Send(ctx context.Context, router string, request Request) Answer {
	a := Answer{Request: request, Outcome: OutcomeNone}
	req, err := newHTTPRequest(ctx, router, request)
	if err != nil {
		a.ErrorKind = err.Error()
		return a
	}
	start := time.Now()
	resp, err := r.HTTP.Do(req)
	if err != nil {
		a.ErrorKind = "connection"
		a.Total = time.Since(start)
		return a
	}
	defer func() { _ = resp.Body.Close() }()
	a.Status = resp.StatusCode
	a.RequestID = resp.Header.Get("Ragwortdoor-Request-Id")
	a.read(resp, start)
	a.Total = time.Since(start)
	return a
}

func newHTTPRequest(ctx context.Context, router string, request Request) (*http.Request, error) {
	switch request.Kind {
	case KindRead:
		return http.NewRequestWithContext(ctx, http.MethodGet, router+request.Target, nil)
	case KindBooking:
		req, err := http.NewRequestWithContext(ctx, http.MethodPost, router+request.Target, strings.NewReader("{}"))
		if err == nil {
			req.Header.Set("Idempotency-Key", request.Key)
		}
		return req, err
	}
	body, err := json.Marshal(chatBody{
		Model:     request.Target,
		Messages:  []chatMessage{{Role: "user", Content: request.Prompt}},
		MaxTokens: request.Tokens,
		Stream:    true,
	})
	if err != nil {
		return nil, fmt.Errorf("encode request: %w", err)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, router+"/v1/chat/completions", bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	if request.Class != "" {
		req.Header.Set("Ragwortdoor-Priority", request.Class)
	}
	if request.Deadline > 0 {
		req.Header.Set("Ragwortdoor-Deadline-Ms", strconv.FormatInt(request.Deadline.Milliseconds(), 10))
	}
	return req, nil
}

type chatBody struct {
	Model     string        `json:"model"`
	Messages  []chatMessage `json:"messages"`
	MaxTokens int           `json:"max_tokens"`
	Stream    bool          `json:"stream"`
}

type chatMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

type errorBody struct {
	Error struct {
		Kind string `json:"kind"`
	} `json:"error"`
}

// read takes in an answer: a stream of events, a whole body or an error.
func (a *Answer) read(resp *http.Response, start time.Time) {
	if resp.StatusCode != http.StatusOK {
		a.readError(resp)
		return
	}
	if strings.HasPrefix(resp.Header.Get("Content-Type"), "text/event-stream") {
		a.readStream(resp.Body, start)
		return
	}
	a.Outcome = OutcomeUnknown
	if _, err := io.Copy(io.Discard, resp.Body); err == nil {
		a.Outcome = OutcomeServed
	}
	a.FirstToken = time.Since(start)
}

func (a *Answer) readError(resp *http.Response) {
	a.Outcome = resp.Header.Get("Ragwortdoor-Outcome")
	seconds, err := strconv.Atoi(resp.Header.Get("Retry-After"))
	if err == nil {
		a.RetryAfter = time.Duration(seconds) * time.Second
	}
	var body errorBody
	if json.NewDecoder(resp.Body).Decode(&body) == nil {
		a.ErrorKind = body.Error.Kind
	}
}

func (a *Answer) readStream(body io.Reader, start time.Time) {
	a.Outcome = OutcomeUnknown
	lines := bufio.NewScanner(body)
	for lines.Scan() {
		line := lines.Bytes()
		switch {
		case bytes.HasPrefix(line, []byte("event: error")):
			a.ErrorKind = "stream error"
			return
		case bytes.Equal(line, []byte("data: [DONE]")):
			a.Outcome = OutcomeServed
			return
		case bytes.HasPrefix(line, []byte("data: ")) && a.FirstToken == 0:
			a.FirstToken = time.Since(start)
		}
	}
}
