package standin

import (
	"context"
	"io"
	"maps"
	"net/http"
	"strconv"
	"sync"

	"github.com/ragwortdoor/ragwortdoor/internal/external"
	"github.com/ragwortdoor/ragwortdoor/internal/retry"
)

// ServiceConfig configures a Service. It can be changed at run time.
type ServiceConfig struct {
	// RunMS is the duration of a call, in milliseconds.
	RunMS int `json:"run_ms"`
	// FailBeforeRun is the number of next calls whose connection is closed
	// before they run.
	FailBeforeRun int `json:"fail_before_run"`
	// TruncateBodies is the number of next calls that run but whose response is
	// truncated in the middle of the body.
	TruncateBodies int `json:"cut_bodies"`
	// Draining makes all responses say that the service is about to leave.
	Draining bool `json:"draining"`
	// LimitPerSecond is the rate that all responses name; 0 for none.
	LimitPerSecond float64 `json:"limit_per_second"`
	// PauseMS makes the service refuse each call and ask for a pause, in milliseconds.
	PauseMS int `json:"pause_ms"`
}

// ServiceCounts are the counters of a Service.
type ServiceCounts struct {
	Runs int `json:"runs"`
	// Refused is the number of calls that were refused with a pause.
	Refused int `json:"refused"`
	// ByRequestID counts the runs of each Ragwortdoor-Request-Id.
	ByRequestID map[string]int `json:"by_request_id"`
	// Running is the number of calls in flight.
	Running     int `json:"running"`
	PeakRunning int `json:"peak_running"`
}

// ServiceResponse is the JSON body of a Service's response.
type ServiceResponse struct {
	Service   string `json:"service"`
	Host      string `json:"host"`
	RequestID string `json:"request_id"`
	Method    string `json:"method"`
	Path      string `json:"path"`
	Body      string `json:"body"`
	// Run is the sequence number of this run among all runs of the Service, from 1.
	Run int `json:"run"`
}

// ServiceOptions configure a Service.
type ServiceOptions struct {
	// Host is the id of the host on which the service runs.
	Host string
	Name string
	// Address is the listening address, "IP:PORT"; empty selects a free port.
	Address string
	Config  ServiceConfig
}

// Service stands in for a plain service. It is safe for concurrent use.
type Service struct {
	Faults FaultInjector
	host   string
	name   string
	mux    *http.ServeMux
	ctx    context.Context // cancelled by Close
	cancel context.CancelFunc

	mu     sync.Mutex
	config ServiceConfig
	counts ServiceCounts
}

// NewService returns a service that responds to every path.
func NewService(o ServiceOptions) *Service {
	s := &Service{host: o.Host, name: o.Name, config: o.Config}
	s.ctx, s.cancel = context.WithCancel(context.Background())
	s.counts.ByRequestID = make(map[string]int)
	s.Faults.canLose = func(*http.Request) bool { return true }
	s.mux = adminMux(&s.Faults, func() any { return s.Counts() }, http.HandlerFunc(s.handleCall))
	handleConfig(s.mux, s.Config, s.SetConfig)
	return s
}

// ServeHTTP implements http.Handler.
func (s *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

// Close aborts the running calls.
func (s *Service) Close() { s.cancel() }

// Host returns the id of the host on which the service runs.
func (s *Service) Host() string { return s.host }

// Name returns the service's name.
func (s *Service) Name() string { return s.name }

// Config returns the configuration; the numbers of next calls count down.
func (s *Service) Config() ServiceConfig {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.config
}

// SetConfig replaces the configuration.
func (s *Service) SetConfig(cfg ServiceConfig) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.config = cfg
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
		abortConnection()
	}
	config := s.Config()
	if config.Draining {
		w.Header().Set(external.HeaderDraining, external.DrainingNow)
	}
	nameLimit(w, config.LimitPerSecond)
	if config.PauseMS > 0 {
		s.countRefused()
		w.Header().Set(external.HeaderPause, strconv.Itoa(config.PauseMS))
		refuse(w, http.StatusServiceUnavailable, "wants a pause")
		return
	}
	response := ServiceResponse{
		Service:   s.name,
		Host:      s.host,
		RequestID: r.Header.Get(external.HeaderRequestID),
		Method:    r.Method,
		Path:      r.URL.RequestURI(),
		Body:      string(body),
	}
	var truncate bool
	response.Run, truncate = s.beginRun(response.RequestID)
	defer s.endRun()
	// The run continues when the caller disconnects.
	if !retry.Sleep(s.ctx, milliseconds(s.Config().RunMS)) {
		abortConnection()
	}
	if truncate {
		writeTruncated(w, response)
	}
	writeJSON(w, response)
}

func (s *Service) countRefused() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts.Refused++
}

func (s *Service) failsBeforeRun() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.config.FailBeforeRun <= 0 {
		return false
	}
	s.config.FailBeforeRun--
	return true
}

// beginRun counts a run and returns its number. truncate reports that its response
// is to be truncated.
func (s *Service) beginRun(requestID string) (run int, truncate bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts.Runs++
	s.counts.ByRequestID[requestID]++
	s.counts.Running++
	s.counts.PeakRunning = max(s.counts.PeakRunning, s.counts.Running)
	if s.config.TruncateBodies > 0 {
		s.config.TruncateBodies--
		truncate = true
	}
	return s.counts.Runs, truncate
}

func (s *Service) endRun() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts.Running--
}
