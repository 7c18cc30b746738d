// Package fleet describes what the routers serve: the configuration in force
// and the upstreams that are alive. It holds no I/O but the Follower, which
// keeps a Directory up to date from a Source.
package fleet

import (
	"net"
	"strings"
	"time"
)

// Repeat tells how often a request may run.
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
	// Host is the name that callers ask; empty for any.
	Host   string
	Prefix string // begins and ends with a slash
	Repeat Repeat
	// Stream is set when answers are event streams.
	Stream bool
	// Resumable streams may go on elsewhere after their last whole event.
	Resumable bool
	// Timeout bounds the whole request; 0 means that only the caller's deadline does.
	Timeout time.Duration
	// Objective is the time to the first byte that callers expect.
	Objective time.Duration
	// MaxGap is the longest pause between events that callers expect; 0 if any.
	MaxGap time.Duration
	// CallerEventTimeout is how long callers of a stream wait for its next event, the first
	// one included, before they leave; 0 if they stay until the timeout.
	CallerEventTimeout time.Duration
	// Attempts is the number of upstreams that one request may be sent to.
	Attempts int
	// Priority is the rank of the route's requests, 0 is the most urgent.
	Priority int
	Targets  []Target
}

// Target is a service that takes a share of a route's requests.
type Target struct {
	Service string
	Weight  int
}

// Model is a model that the engines of a service may hold.
type Model struct {
	Name     string
	MemoryMB int64
	// RemoteLoad, DiskLoad and MemoryLoad are the load times from the weight
	// store, the host's disk and the host's memory.
	RemoteLoad time.Duration
	DiskLoad   time.Duration
	MemoryLoad time.Duration
	// AdapterMB is the size of one adapter.
	AdapterMB int64
	// MaxReplicas bounds the copies of the model over all engines; 0 for no bound.
	MaxReplicas int
	// FailureDomains are those whose engines may hold the model; empty for all.
	FailureDomains []string
	// KeepAlive is the idle time after which a copy is unloaded; 0 keeps it until
	// its memory is needed.
	KeepAlive time.Duration
	// MaxQueue bounds the requests that wait for the model; 0 for no bound.
	MaxQueue int
}

// EngineSpec describes the model engines of a service.
type EngineSpec struct {
	Slots        int
	KVTokens     int64
	MemoryMB     int64
	AdapterSlots int
	// RemoteLoadsPerSecond is how many loads from the weight store may begin in
	// a second, over all engines.
	RemoteLoadsPerSecond float64
	// ParallelRemoteLoads is how many of them run at full speed at the same time; 0
	// if that is not known.
	ParallelRemoteLoads int
	// ParallelAdapterLoads bounds the adapters that are on their way to all engines
	// together; 0 for no bound.
	ParallelAdapterLoads int
	// LoadPollInterval is how often a load is looked at whose stated time is a guess; 0
	// looks only at its stated end.
	LoadPollInterval time.Duration
	// KeepAlive is that of models which are no longer configured; 0 keeps them.
	KeepAlive time.Duration
	Models    map[string]Model
}

// Service is a set of upstreams that serve the same requests.
type Service struct {
	Name string
	// Engine is nil for a plain service.
	Engine *EngineSpec
}

// Limits bound what callers may send.
type Limits struct {
	BodyBytes int64
}

// Config is one version of the configuration. It is immutable once built.
type Config struct {
	Version  int64
	Routes   []Route
	Services map[string]Service
	Limits   Limits

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

// Match returns the route with the longest prefix of path among those of the
// host, else among those of any host; nil if there is none. host may carry a
// port.
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

// PickTarget returns the service for a draw in [0, 1), by the targets' weights.
func (r *Route) PickTarget(draw float64) string {
	total := 0
	for _, t := range r.Targets {
		total += t.Weight
	}
	left := draw * float64(total)
	for _, t := range r.Targets {
		left -= float64(t.Weight)
		if left < 0 {
			return t.Service
		}
	}
	if len(r.Targets) == 0 {
		return ""
	}
	return r.Targets[len(r.Targets)-1].Service
}
