// Package entry is the process on an entry host: it takes callers' requests,
// sends each to an upstream and returns the answer whole, or refuses it with
// the truth about whether it ran.
package entry

import (
	"net/http"
	"time"
)

// Settings of an entry process.
type Settings struct {
	// Host and FailureDomain say where the process runs.
	Host          string
	FailureDomain string
	// CallerAddr takes callers' requests, ReadyAddr answers the balancer's
	// question whether it should send more, PeerAddr serves other routers; each
	// is "IP:PORT".
	CallerAddr string
	ReadyAddr  string
	PeerAddr   string
	// MetricsAddr serves GET /metrics, "IP:PORT"; empty for none. A port that is
	// taken is logged and does not keep the process from serving.
	MetricsAddr string
	// Cores is the processor share of the host, in cores; 0 if unknown.
	Cores float64
	// StopGrace is the time from the signal to stop to the kill.
	StopGrace time.Duration
	// DrainDelay is the part of it in which requests are still taken, since the
	// balancer needs time to notice; 0 takes a share of StopGrace.
	DrainDelay time.Duration
	// LeaseTime is how long two holders of the scheduler's lease must not order
	// within. EnginesCheckFence is set where engines refuse former holders.
	LeaseTime         time.Duration
	EnginesCheckFence bool
	// RetryShare is the part of a service's requests that all routers together
	// may send once more.
	RetryShare float64
	// LoadWindow bounds loads from the weight store: in any window no more than
	// the configured rate allows may begin.
	LoadWindow time.Duration
}

// PromptPart is a piece of a prompt that requests may share.
type PromptPart struct {
	ID     string
	Tokens int64
}

// Call is what a caller says of a request.
type Call struct {
	ID      string
	Model   string // empty for a plain service
	Adapter string
	Parts   []PromptPart
	// PromptTokens and MaxOutputTokens are the size of a generation.
	PromptTokens    int64
	MaxOutputTokens int64
	// Timeout is how long the caller waits; 0 if it does not say.
	Timeout time.Duration
	// ResumeAfter is the id of the last event that the caller has.
	ResumeAfter string
	// Path is where the route is looked up, Target what an upstream gets as the
	// request target; empty for the request's own.
	Path   string
	Target string
	// Rank replaces the route's priority; nil leaves that.
	Rank *Rank
	// Repeatable is set when this request may run more than once, whatever its
	// route says.
	Repeatable bool
	// NonStreaming is set when the answer of an engine is no stream.
	NonStreaming bool
	// Problem tells why the request can't be served by anybody; nil if it can.
	Problem *Problem
}

// Rank is a request's place in the queues.
type Rank struct {
	Priority int // 0 first
	// Ageing is the waiting time that improves the rank by one; 0 never does.
	Ageing time.Duration
}

// Problem is what is wrong with a request.
type Problem struct {
	Status int
	// Kind names the fault for programs, Text tells people what to do.
	Kind string
	Text string
}

// ErrorResponse is an answer of the router's own.
type ErrorResponse struct {
	Status int
	// Kind names the reason for programs.
	Kind string
	Text string
	// MayHaveRun is false when the request certainly did not run.
	MayHaveRun bool
	// RetryAfter is when another try may succeed; 0 if that is not known.
	RetryAfter time.Duration
	// ID is that of the request.
	ID string
}

// Attempt is one sending of a request.
type Attempt struct {
	UpstreamID string
	// Model and Adapter are what the upstream is to run; empty for a plain service.
	Model, Adapter string
	// TimeLeft is how long the upstream may work; 0 leaves it open.
	TimeLeft time.Duration
	// Priority is the rank at the upstream, 0 first; negative leaves it open.
	Priority    int
	ResumeAfter string
}

// Load is what an upstream says of its load.
type Load struct{ Running, Waiting, Slots int64 }

// ResponseInfo is what the head of an upstream's answer says beside its status.
type ResponseInfo struct {
	// Signed is set when the upstream vouches for the answer.
	Signed bool
	// NotRun is set when the request did not run and will not run.
	NotRun bool
	// WrongUpstream is set when another upstream has the address, or the model
	// is not there.
	WrongUpstream bool
	Load          *Load
}

// Dialect translates the headers of requests and answers.
type Dialect interface {
	// ReadyPath is where the balancer asks.
	ReadyPath() string
	// IDHeader is the header that carries a request's id both ways.
	IDHeader() string
	// ReadCall reads a caller's request. It may read the body if it puts it back.
	ReadCall(r *http.Request) Call
	// WriteErrorResponse sets the headers of an answer of the router's own and returns
	// its body.
	WriteErrorResponse(h http.Header, verdict ErrorResponse) []byte
	// Prepare turns a caller's headers into those for an upstream.
	Prepare(h http.Header, attempt Attempt)
	// ReadResponse reads the head of an upstream's answer.
	ReadResponse(status int, h http.Header) ResponseInfo
}

// Outcome is how a request ended, for logs and metrics.
type Outcome string

// Outcomes of requests.
const (
	OutcomeServed    Outcome = "served"
	OutcomeRelayed   Outcome = "relayed_failure" // the upstream's own failure
	OutcomeRefused   Outcome = "refused"
	OutcomeFailed    Outcome = "failed"
	OutcomeTimeout   Outcome = "timeout"
	OutcomeBroken    Outcome = "broken_off"
	OutcomeCallerEnd Outcome = "caller_left"
	OutcomeNoRoute   Outcome = "no_route"
	OutcomeTooLarge  Outcome = "too_large"
	OutcomeInvalid   Outcome = "invalid"
)
