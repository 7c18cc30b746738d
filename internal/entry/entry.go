// Package entry is the router process of an entry host. It forwards callers' requests
// to upstreams and relays the responses. If a request fails, the error response says
// whether the request may have run.
//
// Requests for models go to the upstream that the scheduler chooses. The scheduler runs
// in one of the routers, the holder of a lease; without one, a router chooses by itself.
// A request may take several attempts (sends to an upstream); they are limited by the
// route and by a retry budget.
package entry

import (
	"net/http"
	"time"

	"github.com/ragwortdoor/ragwortdoor/internal/pace"
	"github.com/ragwortdoor/ragwortdoor/internal/workspace"
)

// Settings of an entry process.
type Settings struct {
	// Host and FailureDomain are where the process runs.
	Host          string
	FailureDomain string
	// CallerAddr serves callers, ReadyAddr the readiness check of the load balancer in
	// front of the routers, PeerAddr other routers; each is "IP:PORT".
	CallerAddr string
	ReadyAddr  string
	PeerAddr   string
	// MetricsAddr serves GET /metrics, "IP:PORT"; empty for none. If the port is in
	// use, that is logged and the process serves without metrics.
	MetricsAddr string
	// Cores is the number of processor cores available on the host; 0 if unknown.
	Cores float64
	// StopGrace is the time between the stop signal and the kill.
	StopGrace time.Duration
	// DrainDelay is the first part of StopGrace, in which requests are still accepted
	// because the load balancer takes time to notice; 0 means a share of StopGrace.
	DrainDelay time.Duration
	// LeaseTime is the minimum time between orders of two holders of the scheduler's
	// lease. EnginesCheckFence is set if engines check the fencing token and so refuse
	// the orders of previous holders.
	LeaseTime         time.Duration
	EnginesCheckFence bool
	// RetryShare is the retry budget of all routers together, as a fraction of a
	// service's requests.
	RetryShare float64
	// LoadWindow is the window in which the rate limit of model loads from the weight
	// store holds: in any window no more loads begin than the configured rate allows.
	LoadWindow time.Duration
	// StrictKeyAge is the age of the known configuration from which callers with keys are
	// refused, because their keys may be withdrawn; 0 serves them however old it is.
	StrictKeyAge time.Duration
	// MemoryBytes is the memory of the host. Callers may take a part of it; 0 for what the
	// process's control group or the machine has.
	MemoryBytes int64
	// MaxDescriptors is how many descriptors the process may have open; 0 if unknown. The
	// limit of the process counts as well.
	MaxDescriptors int
	// QuotaTolerance is what may pass beyond the quota of a workspace.
	QuotaTolerance pace.Tolerance
}

// MaxPromptParts is how many parts of a prompt count for the choice of its engine, from the first one
// on.
const MaxPromptParts = 256

// PromptPart is a part of a prompt that several requests may have in common.
type PromptPart struct {
	ID     string
	Tokens int64
}

// Call is what a Dialect reads from a caller's request.
type Call struct {
	ID      string
	Model   string // empty for a plain service
	Adapter string
	// Parts are the first MaxPromptParts of the prompt, in order.
	Parts []PromptPart
	// PromptTokens and MaxOutputTokens are the length of the prompt and the limit of
	// the output.
	PromptTokens    int64
	MaxOutputTokens int64
	// TokensTold is set if the caller told both.
	TokensTold bool
	// Key is the digest of the caller's key; HasKey is false if it sent none.
	Key    workspace.Key
	HasKey bool
	// Timeout is how long the caller waits for the complete response; 0 if not given.
	Timeout time.Duration
	// ResumeAfter is the id of the last event that the caller received.
	ResumeAfter string
	// Path is matched against the routes, Target is the request target sent to the
	// upstream; empty for the request's own.
	Path   string
	Target string
	// Rank overrides the route's priority; nil keeps it.
	Rank *Rank
	// Repeatable allows this request to run more than once, whatever its route says.
	Repeatable bool
	// NonStreaming is set when the caller wants the output of a model in one piece, not
	// as an event stream.
	NonStreaming bool
	// BodyErr is why the body could not be read, if the Dialect reads it.
	BodyErr error
	// Problem is set for an invalid request, which is answered without an upstream.
	Problem *Problem
}

// Rank orders the requests in a queue.
type Rank struct {
	Priority int // 0 first
	// Ageing is the waiting time that improves the rank by one; 0 turns ageing off.
	Ageing time.Duration
}

// Problem describes why a request is invalid.
type Problem struct {
	Status int
	// Kind is the machine-readable error code, Text the message with the remedy.
	Kind string
	Text string
}

// ErrorResponse is a response that the router generates itself.
type ErrorResponse struct {
	Status int
	// Kind is the machine-readable error code.
	Kind string
	Text string
	// MayHaveRun is false when the request certainly did not run.
	MayHaveRun bool
	// RetryAfter is the delay before a retry may succeed; 0 if not known.
	RetryAfter time.Duration
	// ID is the id of the request.
	ID string
}

// Attempt describes one send of a request to an upstream.
type Attempt struct {
	UpstreamID string
	// Model and Adapter select what the upstream runs; empty for a plain service.
	Model, Adapter string
	// TimeLeft is the time until the request's deadline; 0 for none.
	TimeLeft time.Duration
	// Priority is the rank in the upstream's queue, 0 first; negative if unspecified.
	Priority    int
	ResumeAfter string
	// Guarded is set where callers need keys: neither their key nor a workspace that they name
	// may reach the upstream. Workspace is the one that the caller belongs to, if any.
	Guarded   bool
	Workspace string
}

// Load is the load that an upstream reports: running and waiting requests, and slots.
type Load struct {
	Running, Waiting, Slots int64
	// Slowdown is how long work takes on its host at the moment, as a multiple of the usual
	// time.
	Slowdown float64
}

// ResponseInfo is what a Dialect reads from the status and headers of an upstream's
// response.
type ResponseInfo struct {
	// Signed is set when the response is known to come from the upstream itself.
	Signed bool
	// NotRun is set when the request did not run and never will.
	NotRun bool
	// WrongUpstream is set when the address belongs to another upstream, or the model
	// is not loaded.
	WrongUpstream bool
	// Leaving is set when the upstream says that it is about to leave.
	Leaving bool
	// Pause is how long the upstream wants nothing from this router; 0 for no pause.
	Pause time.Duration
	// Limit is the rate of requests that the upstream takes from all routers together.
	Limit pace.Notice
	// control is set for responses to orders and reads of inventories, which bear no signature.
	control bool
	Load    *Load
}

// Dialect maps requests and responses to the headers of a platform. Implementations
// must be safe for concurrent use.
type Dialect interface {
	// ReadyPath is the path of the readiness check.
	ReadyPath() string
	// IDHeader is the header with the request's id, in requests and responses.
	IDHeader() string
	// ReadCall reads a caller's request. If it reads the body, it must restore it.
	ReadCall(r *http.Request) Call
	// WriteErrorResponse sets the headers of a response that the router generates and
	// returns its body.
	WriteErrorResponse(h http.Header, resp ErrorResponse) []byte
	// Prepare changes a caller's headers in place to those for an upstream.
	Prepare(h http.Header, attempt Attempt)
	// ReadResponse reads the status and headers of an upstream's response.
	ReadResponse(status int, h http.Header) ResponseInfo
}

// Outcome is how a request ended, for logs and metrics.
type Outcome string

// Outcomes of requests.
const (
	OutcomeServed             Outcome = "served"
	OutcomeRelayedFailure     Outcome = "relayed_failure" // an error response of the upstream
	OutcomeRefused            Outcome = "refused"
	OutcomeFailed             Outcome = "failed"
	OutcomeTimeout            Outcome = "timeout"
	OutcomeAborted            Outcome = "broken_off"
	OutcomeCallerDisconnected Outcome = "caller_left"
	OutcomeNoRoute            Outcome = "no_route"
	OutcomeTooLarge           Outcome = "too_large"
	OutcomeInvalid            Outcome = "invalid"
	OutcomeUnauthorized       Outcome = "unauthorized"
	OutcomeOverQuota          Outcome = "over_quota"
)
