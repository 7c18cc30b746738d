// Package fleet describes what the routers serve: the configuration in force
// and the registered upstreams. It does no I/O except in the Follower, which
// keeps a Directory up to date from a Source.
//
// Terms:
//
//   - An upstream is a model engine or a plain service behind the routers. It
//     runs on a host, in a failure domain.
//   - A registration is an upstream's record in the platform's list. Where
//     upstreams renew it by heartbeats, it expires without them.
//   - An incarnation is one run of an upstream process, from start to exit. Its
//     start time distinguishes it from other runs under the same id.
//   - A draining upstream finishes its requests, takes no new ones and is then
//     removed. A cordoned one takes no new requests until an operator allows them.
//   - The weight store holds the model weights; hosts cache them on disk and in
//     memory. Keep-alive is the idle time after which a loaded model is unloaded.
//   - An order makes an engine load or unload a model or an adapter. An inventory
//     is what the engine reports when asked.
//   - The holder owns the scheduler's lease and sends the orders. Its fence is the
//     lease's fencing token: engines that check it reject orders with a lower one.
package fleet

import (
	"net"
	"strings"
	"time"

	"github.com/ragwortdoor/ragwortdoor/internal/workspace"
)

// Repeat says whether a request may run more than once.
type Repeat int

// Values of Repeat.
const (
	// AtMostOnce means that a request runs on at most one upstream.
	AtMostOnce Repeat = iota
	// Repeatable means that a request may run more than once.
	Repeatable
)

// Route maps requests to services.
type Route struct {
	Name string
	// Host is the host name in the request; empty matches any.
	Host   string
	Prefix string // begins and ends with a slash
	Repeat Repeat
	// Stream is set when responses are event streams.
	Stream bool
	// Resumable is set when an aborted stream may continue on another upstream
	// after its last complete event.
	Resumable bool
	// Timeout bounds a request from arrival to end; 0 leaves only the caller's deadline.
	Timeout time.Duration
	// Objective is the latency objective for the first byte of the response.
	Objective time.Duration
	// MaxGap is the objective for the time between two events; 0 for none.
	MaxGap time.Duration
	// CallerEventTimeout is how long callers of a stream wait for an event, the first
	// one included, before they disconnect; 0 if they wait until the request times out.
	CallerEventTimeout time.Duration
	// Attempts is the maximum number of upstreams that one request is sent to.
	Attempts int
	// Priority ranks the route's requests; 0 is the most urgent.
	Priority int
	Targets  []Target
	// Public is set when callers need no key.
	Public bool
}

// Target is a service that receives a share of a route's requests, by weight.
type Target struct {
	Service string
	Weight  int
}

// Model is a model that the engines of a service may load.
type Model struct {
	Name     string
	MemoryMB int64
	// RemoteLoad, DiskLoad and MemoryLoad are the expected load times from the
	// weight store, the host's disk and the host's memory.
	RemoteLoad time.Duration
	DiskLoad   time.Duration
	MemoryLoad time.Duration
	// AdapterMB is the size of one adapter.
	AdapterMB int64
	// MaxReplicas limits the replicas of the model over all engines; 0 for no limit.
	MaxReplicas int
	// FailureDomains are those whose engines may load the model; empty for all.
	FailureDomains []string
	// KeepAlive is the idle time after which a replica is unloaded; 0 keeps it
	// until its memory is needed.
	KeepAlive time.Duration
	// MaxQueue limits the requests that wait for the model; 0 for no limit.
	MaxQueue int
}

// EngineSpec describes the model engines of a service.
type EngineSpec struct {
	Slots        int
	KVTokens     int64
	MemoryMB     int64
	AdapterSlots int
	// RemoteLoadsPerSecond limits how many loads from the weight store start in
	// a second, over all engines.
	RemoteLoadsPerSecond float64
	// ParallelRemoteLoads is how many of them can run in parallel at full speed; 0
	// if unknown.
	ParallelRemoteLoads int
	// ParallelAdapterLoads limits the adapters that load at the same time, over
	// all engines; 0 for no limit.
	ParallelAdapterLoads int
	// LoadPollInterval is how often a running load is polled, for platforms whose
	// load times are estimates; 0 polls only at the expected end.
	LoadPollInterval time.Duration
	// KeepAlive applies to loaded models that are no longer configured; 0 keeps them.
	KeepAlive time.Duration
	Models    map[string]Model
}

// Service is a set of upstreams that serve the same requests.
type Service struct {
	Name string
	// Engine is nil for a plain service.
	Engine *EngineSpec
}

// Limits restrict what callers may send.
type Limits struct {
	BodyBytes int64
}

// Config is one version of the configuration. It is immutable after NewConfig.
type Config struct {
	Version  int64
	Routes   []Route
	Services map[string]Service
	Limits   Limits
	// Workspaces are those of the configuration; nil where callers need no key.
	Workspaces *workspace.Set
	// LeftOut says what of the published configuration is not valid and so not part of it.
	LeftOut []error

	byHost map[string]map[string]*Route
}

// NewConfig indexes the routes of a configuration.
func NewConfig(version int64, routes []Route, services map[string]Service, limits Limits) *Config {
	c := &Config{
		Version:  version,
		Routes:   routes,
		Services: services,
		Limits:   limits,
		byHost:   make(map[string]map[string]*Route),
	}
	for i := range c.Routes {
		route := &c.Routes[i]
		host := strings.ToLower(route.Host)
		if c.byHost[host] == nil {
			c.byHost[host] = make(map[string]*Route)
		}
		c.byHost[host][route.Prefix] = route
	}
	return c
}

// Match returns the route with the longest prefix of path among the routes of
// the host, else among those without a host; nil if none matches. host may
// include a port.
func (c *Config) Match(host, path string) *Route {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	if route := matchPrefix(c.byHost[strings.ToLower(host)], path); route != nil {
		return route
	}
	return matchPrefix(c.byHost[""], path)
}

func matchPrefix(prefixes map[string]*Route, path string) *Route {
	for end := strings.LastIndexByte(path, '/'); end >= 0; end = strings.LastIndexByte(path[:end], '/') {
		if route := prefixes[path[:end+1]]; route != nil {
			return route
		}
	}
	return nil
}

// PickTarget returns a service by the targets' weights; draw is a random number
// in [0, 1). It returns "" for a route without targets.
func (r *Route) PickTarget(draw float64) string {
	total := 0
	for _, t := range r.Targets {
		total += t.Weight
	}
	remaining := draw * float64(total)
	for _, t := range r.Targets {
		remaining -= float64(t.Weight)
		if remaining < 0 {
			return t.Service
		}
	}
	if len(r.Targets) == 0 {
		return ""
	}
	return r.Targets[len(r.Targets)-1].Service
}
