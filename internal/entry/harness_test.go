package entry

import (
	"context"
	"crypto/tls"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/charmbracelet/log"

	"github.com/ragwortdoor/ragwortdoor/internal/decisionlog"
	"github.com/ragwortdoor/ragwortdoor/internal/exchange"
	"github.com/ragwortdoor/ragwortdoor/internal/external"
	"github.com/ragwortdoor/ragwortdoor/internal/fleet"
	"github.com/ragwortdoor/ragwortdoor/internal/pace"
	"github.com/ragwortdoor/ragwortdoor/internal/tabletest"
	"github.com/ragwortdoor/ragwortdoor/internal/testaddr"
	"github.com/ragwortdoor/ragwortdoor/internal/workspace"
)

// testDialect is a Dialect with short header names.
type testDialect struct{}

func (testDialect) ReadyPath() string { return "/ready" }
func (testDialect) IDHeader() string  { return "Id" }

func (testDialect) ReadCall(r *http.Request) Call {
	h := r.Header
	call := Call{ID: h.Get("Id"), Model: h.Get("Model"), Adapter: h.Get("Adapter"), PromptTokens: 10, ResumeAfter: h.Get("Last")}
	call.Key, call.HasKey = workspace.ParseBearer(h.Values("Authorization"))
	if tokens, err := strconv.ParseInt(h.Get("Tokens"), 10, 64); err == nil {
		call.PromptTokens, call.TokensTold = tokens, true
	}
	if parts := h.Get("Parts"); parts != "" {
		for _, id := range strings.Split(parts, ",") {
			call.Parts = append(call.Parts, PromptPart{ID: id, Tokens: 1})
		}
	}
	if ms, err := strconv.Atoi(h.Get("Timeout")); err == nil {
		call.Timeout = time.Duration(ms) * time.Millisecond
	}
	return call
}

func (testDialect) Prepare(h http.Header, a Attempt) {
	h.Set("Upstream", a.UpstreamID)
	h.Set("Left", strconv.FormatInt(a.TimeLeft.Milliseconds(), 10))
	if a.Guarded {
		h.Del("Authorization")
		h.Del("Workspace")
	}
	if a.Workspace != "" {
		h.Set("Workspace", a.Workspace)
	}
	h.Del("Last")
	if a.ResumeAfter != "" {
		h.Set("Last", a.ResumeAfter)
	}
}

func (testDialect) WriteErrorResponse(h http.Header, v ErrorResponse) []byte {
	h.Set("Retry-After", strconv.FormatFloat(v.RetryAfter.Seconds(), 'f', 3, 64))
	return []byte(v.Text)
}

func (testDialect) ReadResponse(_ int, h http.Header) ResponseInfo {
	info := ResponseInfo{Signed: h.Get("Signed") != "", NotRun: h.Get("Not-Run") != "", WrongUpstream: h.Get("Lacks") != "", Leaving: h.Get("Leaving") != ""}
	if pause := h.Get("Pause"); pause != "" {
		info.Pause, _ = time.ParseDuration(pause) // the tests send valid ones
	}
	info.Limit = pace.ParseNotice(h.Values("Limit"))
	return info
}

// upstream is a scripted server: each request is handled by the next function, and by the
// last one when there are no more.
type upstream struct {
	id      string
	addr    string
	mu      sync.Mutex
	scripts []http.HandlerFunc
	seen    []http.Header
	bodies  []string
}

func newUpstream(t testing.TB, id string, scripts ...http.HandlerFunc) *upstream {
	t.Helper()
	u := &upstream{id: id, scripts: scripts}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	u.addr = l.Addr().String()
	server := &http.Server{Handler: u}
	go server.Serve(l)
	t.Cleanup(func() { server.Close() })
	return u
}

func (u *upstream) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	u.mu.Lock()
	u.seen = append(u.seen, r.Header.Clone())
	u.bodies = append(u.bodies, string(body))
	script := u.scripts[min(len(u.seen), len(u.scripts))-1]
	u.mu.Unlock()
	w.Header().Set("Id", r.Header.Get("Id"))
	script(w, r)
}

func (u *upstream) runs() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return len(u.seen)
}

// header returns the headers of the n-th request.
func (u *upstream) header(n int) http.Header {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.seen[n]
}

func respond(status int, body string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Signed", "yes")
		w.WriteHeader(status)
		_, _ = io.WriteString(w, body)
	}
}

// refuseMissingModel is the refusal of an engine that does not have the model loaded.
func refuseMissingModel(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Not-Run", "1")
	w.Header().Set("Lacks", "1")
	w.WriteHeader(http.StatusMisdirectedRequest)
}

func refuse(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Not-Run", "1")
	w.WriteHeader(http.StatusServiceUnavailable)
}

// abortResponse closes the connection, after a part of a response unless part is empty.
func abortResponse(part string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		if part != "" {
			w.Header().Set("Signed", "yes")
			_, _ = io.WriteString(w, part)
			w.(http.Flusher).Flush()
		}
		panic(http.ErrAbortHandler)
	}
}

// events writes events first to last as a stream, which is truncated unless complete is
// set.
func events(first, last int, complete bool) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Signed", "yes")
		for i := first; i <= last; i++ {
			fmt.Fprintf(w, "id: %d\ndata: e%d\n\n", i, i)
			w.(http.Flusher).Flush()
		}
		if !complete {
			_, _ = io.WriteString(w, "id: 99\nda")
			w.(http.Flusher).Flush()
			panic(http.ErrAbortHandler)
		}
	}
}

// blockUntilCancelled blocks until the request is cancelled.
func blockUntilCancelled(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }

// fakeSource is a fleet.Source with a fixed configuration and fixed upstreams.
type fakeSource struct {
	config *fleet.Config
	// workspaces are those of the configuration, nil for none.
	workspaces *workspace.Set
	upstreams  []*upstream
	mu         sync.Mutex
	draining   map[string]bool
	version    int64
}

// remove drops an upstream from the list.
func (s *fakeSource) remove(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.upstreams = slices.DeleteFunc(s.upstreams, func(u *upstream) bool { return u.id == id })
}

func (s *fakeSource) Config(ctx context.Context, after int64, wait time.Duration) (fleet.ConfigUpdate, error) {
	if after > 0 {
		select {
		case <-ctx.Done():
		case <-time.After(wait):
		}
		return fleet.ConfigUpdate{Version: after}, nil
	}
	return fleet.ConfigUpdate{Config: s.config, Version: 1}, nil
}

func (s *fakeSource) Upstreams(context.Context, int64, time.Duration) (fleet.UpstreamUpdate, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	update := fleet.UpstreamUpdate{Complete: true, Version: s.version}
	for _, u := range s.upstreams {
		service, models := "plain", []fleet.LoadedModel(nil)
		if strings.HasPrefix(u.id, "engine") {
			service = "llm"
			models = []fleet.LoadedModel{loadedModel}
		}
		update.Registrations = append(update.Registrations, fleet.Registration{ID: u.id, Upstream: &fleet.Upstream{
			ID: u.id, Service: service, Addr: u.addr, FailureDomain: "a", Slots: 8, Sequence: s.version, StartedMs: 1, Models: models, Draining: s.draining[u.id],
		}})
	}
	return update, nil
}

// loadedModel is loaded in every engine.
var loadedModel = fleet.LoadedModel{Name: "m", Version: 1, Adapters: []string{"a"}}

// fakeEngines reports exactly loadedModel and rejects all orders.
type fakeEngines struct{}

func (fakeEngines) Order(context.Context, *fleet.Upstream, fleet.Order) (fleet.OrderResult, error) {
	return fleet.OrderConflict, nil
}

func (fakeEngines) Inspect(context.Context, *fleet.Upstream) (fleet.Inventory, error) {
	return fleet.Inventory{StartedMs: 1, Models: []fleet.LoadedModel{loadedModel}}, nil
}

type testRouter struct {
	table   external.TableService
	process *Process
	url     string
	ready   string
	metrics string
	stop    func()
	done    chan error
}

var testRoutes = []fleet.Route{
	{Name: "once", Host: "h", Prefix: "/once/", Attempts: 2, Targets: []fleet.Target{{Service: "plain", Weight: 1}}},
	{Name: "public", Host: "h", Prefix: "/public/", Attempts: 2, Public: true, Targets: []fleet.Target{{Service: "plain", Weight: 1}}},
	{Name: "again", Host: "h", Prefix: "/again/", Repeat: fleet.Repeatable, Attempts: 2, Targets: []fleet.Target{{Service: "plain", Weight: 1}}},
	{Name: "short", Host: "h", Prefix: "/short/", Attempts: 1, Timeout: 300 * time.Millisecond, Targets: []fleet.Target{{Service: "plain", Weight: 1}}},
	{Name: "stream", Host: "h", Prefix: "/stream/", Stream: true, Attempts: 2, Objective: time.Second, Targets: []fleet.Target{{Service: "llm", Weight: 1}}},
	{Name: "single", Host: "h", Prefix: "/single/", Stream: true, Attempts: 1, Objective: time.Second, Targets: []fleet.Target{{Service: "llm", Weight: 1}}},
	{Name: "impatient", Host: "h", Prefix: "/impatient/", Stream: true, Attempts: 2, Objective: time.Second, CallerEventTimeout: 400 * time.Millisecond, Targets: []fleet.Target{{Service: "llm", Weight: 1}}},
	{Name: "impatient-resume", Host: "h", Prefix: "/impatient-resume/", Stream: true, Resumable: true, Repeat: fleet.Repeatable, Attempts: 2, Objective: time.Second, CallerEventTimeout: 400 * time.Millisecond, Targets: []fleet.Target{{Service: "llm", Weight: 1}}},
	{Name: "resume", Host: "h", Prefix: "/resume/", Stream: true, Resumable: true, Repeat: fleet.Repeatable, Attempts: 2, Objective: time.Second, Targets: []fleet.Target{{Service: "llm", Weight: 1}}},
}

func start(t testing.TB, upstreams ...*upstream) *testRouter {
	t.Helper()
	return startWith(t, &fakeSource{upstreams: upstreams, draining: map[string]bool{}}, fakeEngines{})
}

func startWith(t testing.TB, source *fakeSource, engines fleet.Engines) *testRouter {
	t.Helper()
	return startWithDialect(t, source, engines, testDialect{})
}

func startWithDialect(t testing.TB, source *fakeSource, engines fleet.Engines, dialect Dialect) *testRouter {
	t.Helper()
	return startRouter(t, "entry-1", tabletest.New(), source, engines, dialect)
}

// startFleet starts routers that share a table service, the first of which schedules.
func startFleet(t testing.TB, n int, source *fakeSource, engines fleet.Engines) []*testRouter {
	t.Helper()
	table := tabletest.New()
	routers := make([]*testRouter, n)
	for i := range routers {
		routers[i] = startRouter(t, fmt.Sprint("entry-", i+1), table, source, engines, testDialect{})
	}
	return routers
}

// startSecure starts a router that serves callers over TLS.
func startSecure(t testing.TB, config *tls.Config, upstreams ...*upstream) *testRouter {
	t.Helper()
	source := &fakeSource{upstreams: upstreams, draining: map[string]bool{}}
	return startRouter(t, "entry-1", tabletest.New(), source, fakeEngines{}, testDialect{}, func(d *Deps) { d.CallerTLS = config })
}

func startRouter(t testing.TB, host string, table external.TableService, source *fakeSource, engines fleet.Engines, dialect Dialect, adapt ...func(*Deps)) *testRouter {
	t.Helper()
	spec := &fleet.EngineSpec{Slots: 8, KVTokens: 10_000, MemoryMB: 100, AdapterSlots: 1, Models: map[string]fleet.Model{"m": {Name: "m", MemoryMB: 10}, "absent": {Name: "absent", MemoryMB: 1000}}}
	source.config = fleet.NewConfig(3, testRoutes, map[string]fleet.Service{"plain": {Name: "plain"}, "llm": {Name: "llm", Engine: spec}}, fleet.Limits{BodyBytes: 1000})
	source.config.Workspaces = source.workspaces
	settings := Settings{
		Host: host, FailureDomain: "a", CallerAddr: testaddr.Free(t), ReadyAddr: testaddr.Free(t), PeerAddr: testaddr.Free(t), MetricsAddr: testaddr.Free(t),
		StopGrace: 2 * time.Second, LeaseTime: 3 * time.Second, EnginesCheckFence: true, RetryShare: 10,
	}
	logger := decisionlog.New(log.ErrorLevel)
	pool := exchange.NewPool(exchange.Options{IDHeader: "Id"})
	deps := Deps{
		Dialect: dialect, Table: table, Source: source,
		Engines: engines, Pool: pool, Log: logger,
	}
	scheme := "http://"
	for _, change := range adapt {
		change(&deps)
	}
	if deps.CallerTLS != nil {
		scheme = "https://"
	}
	p := New(settings, deps)
	ctx, cancel := context.WithCancel(context.Background())
	router := &testRouter{table: table, process: p, url: scheme + settings.CallerAddr, ready: "http://" + settings.ReadyAddr + "/ready", metrics: "http://" + settings.MetricsAddr + "/metrics", stop: cancel, done: make(chan error, 1)}
	go func() { router.done <- p.Run(ctx) }()
	t.Cleanup(func() { cancel(); <-router.done })
	router.waitUntil(t, func() bool {
		resp, err := http.Get(router.ready)
		if err != nil {
			return false
		}
		resp.Body.Close()
		return resp.StatusCode == http.StatusOK && p.client.HasActiveScheduler() && p.scheduler != nil
	})
	return router
}

func (router *testRouter) waitUntil(t testing.TB, cond func() bool) {
	t.Helper()
	deadline := time.Now().Add(20 * time.Second)
	for !cond() {
		if time.Now().After(deadline) {
			select {
			case err := <-router.done:
				router.done <- nil
				t.Fatalf("condition was not met; the process ended: %v", err)
			default:
			}
			t.Fatal("condition was not met")
		}
		time.Sleep(5 * time.Millisecond)
	}
}

type reply struct {
	status int
	header http.Header
	body   string
	err    error // set when the body was truncated
}

// send sends a request for a model, or for one of its adapters as MODEL/ADAPTER.
func (router *testRouter) send(t testing.TB, path, model string, timeout time.Duration) reply {
	t.Helper()
	req, err := http.NewRequest(http.MethodPost, router.url+path, strings.NewReader("the body"))
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set("Id", "r-1")
	if model, adapter, _ := strings.Cut(model, "/"); model != "" {
		req.Header.Set("Model", model)
		req.Header.Set("Adapter", adapter)
	}
	return exchangeOnce(req, timeout)
}

// sendPrompt sends a request for a model with a prompt of the parts, separated by commas.
func (router *testRouter) sendPrompt(t testing.TB, path, parts string) reply {
	t.Helper()
	req, err := http.NewRequest(http.MethodPost, router.url+path, strings.NewReader("the body"))
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set("Id", "id-"+parts)
	req.Header.Set("Model", "m")
	req.Header.Set("Parts", parts)
	return exchangeOnce(req, callerTimeout)
}

// exchangeOnce sends a request over a connection of its own.
func exchangeOnce(req *http.Request, timeout time.Duration) reply {
	req.Host = "h"
	req.Header.Set("Timeout", strconv.FormatInt(timeout.Milliseconds(), 10))
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true, TLSClientConfig: &tls.Config{InsecureSkipVerify: true}}}
	resp, err := client.Do(req)
	if err != nil {
		return reply{err: err}
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return reply{status: resp.StatusCode, header: resp.Header, body: string(body), err: err}
}
