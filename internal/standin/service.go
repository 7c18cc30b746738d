package standin

import (
	"context"
	"io"
	"maps"
	"net/http"
	"sync"

	"github.com/ragwortdoor/ragwortdoor/internal/external"
	"github.com/ragwortdoor/ragwortdoor/internal/retry"
)

// ServiceConfig are the settings of a Service.
type ServiceConfig struct {
	// RunMS is the time that a call takes, in milliseconds.
	RunMS int `json:"run_ms"`
	// FailBeforeRun is the number of next calls whose connection is closed
	// before they run.
	FailBeforeRun int `json:"fail_before_run"`
	// TruncateBodies is the number of next calls that run but whose answer is cut
	// half way.
	TruncateBodies int `json:"cut_bodies"`
}

// ServiceCounts are the counters of a Service.
type ServiceCounts struct {
	Runs int `json:"runs"`
	// ByRequestID counts the runs of each Ragwortdoor-Request-Id.
	ByRequestID map[string]int `json:"by_request_id"`
	// Running is the number of calls that run now.
	Running     int `json:"running"`
	PeakRunning int `json:"peak_running"`
}

// ServiceResponse is the JSON body of a Service's answer.
type ServiceResponse struct {
	Service   string `json:"service"`
	Host      string `json:"host"`
	RequestID string `json:"request_id"`
	Method    string `json:"method"`
	Path      string `json:"path"`
	Body      string `json:"body"`
	// Run is the number of this run over all runs of the service's host.
	Run int `json:"run"`
}

// ServiceOptions configure a Service.
type ServiceOptions struct {
	// Host is the id of the host that the service runs on.
	Host string
	Name string
	// Address is where Start listens, "IP:PORT"; empty chooses a port.
	Address string
	Config  ServiceConfig
}

// Service stands in for a plain service.
type Service struct {
	Faults FaultInjector
	host   string
	name   string
	mux    *http.ServeMux
	ctx    context.Context // ends with Close
	cancel context.CancelFunc

	mu     sync.Mutex
	knobs  ServiceConfig
	counts ServiceCounts
}

// NewService makes a service that answers every path.
func NewService(o ServiceOptions) *Service {
	s := &Service{host: o.Host, name: o.Name, knobs: o.Config}
	s.ctx, s.cancel = context.WithCancel(context.Background())
	s.counts.ByRequestID = make(map[string]int)
	s.Faults.losable = func(*http.Request) bool { return true }
	s.mux = adminMux(&s.Faults, func() any { return s.Counts() }, http.HandlerFunc(s.handleCall))
	handleKnobs(s.mux, s.Config, s.SetConfig)
	return s
}

// ServeHTTP implements http.Handler.
func (s *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

// Close ends the running calls.
func (s *Service) Close() { s.cancel() }

// Host returns the id of the host that the service runs on.
func (s *Service) Host() string { return s.host }

// Name returns the service's name.
func (s *Service) Name() string { return s.name }

// Config returns the settings; the numbers of next calls count down.
func (s *Service) Config() ServiceConfig {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.knobs
}

// SetConfig replaces the settings.
func (s *Service) SetConfig(knobs ServiceConfig) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.knobs = knobs
}

// Counts returns the counters.
func (s *Service) Counts() ServiceCounts {
	s.mu.Lock()
	defer s.mu.Unlock()
	counts := s.counts
	counts.ByRequestID = maps.Clone(s.counts.ByRequestID)
	return counts
}

func (s *Service) handleCall(w http.ResponseWriter, r *http.Request) {
	if id := r.Header.Get(external.HeaderUpstream); id != "" && id != s.host {
		refuse(w, http.StatusMisdirectedRequest, "this is "+s.host)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil || s.failsBeforeRun() {
		hangUp()
	}
	answer := ServiceResponse{
		Service:   s.name,
		Host:      s.host,
		RequestID: r.Header.Get(external.HeaderRequestID),
		Method:    r.Method,
		Path:      r.URL.RequestURI(),
		Body:      string(body),
	}
	var cut bool
	answer.Run, cut = s.beginRun(answer.RequestID)
	defer s.endRun()
	// The run goes on when the caller goes away.
	if !retry.Sleep(s.ctx, milliseconds(s.Config().RunMS)) {
		hangUp()
	}
	if cut {
		writeHalf(w, answer)
	}
	writeJSON(w, answer)
}

func (s *Service) failsBeforeRun() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.knobs.FailBeforeRun <= 0 {
		return false
	}
	s.knobs.FailBeforeRun--
	return true
}

// beginRun counts a run. cut tells that its answer is cut half way.
func (s *Service) beginRun(requestID string) (run int, cut bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts.Runs++
	s.counts.ByRequestID[requestID]++
	s.counts.Running++
	s.counts.PeakRunning = max(s.counts.PeakRunning, s.counts.Running)
	if s.knobs.TruncateBodies > 0 {
		s.knobs.TruncateBodies--
		cut = true
	}
	return s.counts.Runs, cut
}

func (s *Service) endRun() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts.Running--
}
