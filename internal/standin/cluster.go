package standin

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	anyPort           = "127.0.0.1:0"
	readHeaderTimeout = 10 * time.Second
)

// ClusterOptions select the stand-ins to run. An empty address selects a free port
// on the loopback interface.
type ClusterOptions struct {
	TableAddress    string
	ObjectAddress   string
	HostListAddress string

	Weights  WeightStoreConfig
	HostList HostListConfig

	Engines  []EngineOptions
	Services []ServiceOptions
}

// Cluster is a set of running stand-ins.
type Cluster struct {
	Table    *Table
	Objects  *Objects
	Weights  *Weights
	Hosts    *Hosts
	Engines  []*Engine
	Services []*Service
	// ReplicaStats counts model replicas over all engines.
	ReplicaStats *ReplicaStats

	TableURL    string
	ObjectURL   string
	HostListURL string
	// EngineURLs and ServiceURLs are in the order of Engines and Services.
	EngineURLs  []string
	ServiceURLs []string

	ctx       context.Context // cancelled by Close
	cancel    context.CancelFunc
	servers   []*http.Server
	serving   sync.WaitGroup
	closeOnce sync.Once
}

// Start starts the stand-ins. They run until ctx is done or Close is called.
func Start(ctx context.Context, o ClusterOptions) (*Cluster, error) {
	c := &Cluster{
		Table:        NewTable(),
		Objects:      NewObjects(),
		Weights:      NewWeights(o.Weights),
		Hosts:        NewHosts(o.HostList),
		ReplicaStats: NewReplicaStats(),
	}
	c.ctx, c.cancel = context.WithCancel(context.WithoutCancel(ctx))
	if err := c.serveAll(o); err != nil {
		c.Close()
		return nil, err
	}
	context.AfterFunc(ctx, c.Close)
	return c, nil
}

func (c *Cluster) serveAll(o ClusterOptions) error {
	var err error
	c.TableURL, err = c.serve(o.TableAddress, c.Table, err)
	c.ObjectURL, err = c.serve(o.ObjectAddress, c.Objects, err)
	c.HostListURL, err = c.serve(o.HostListAddress, c.Hosts, err)
	for _, options := range o.Engines {
		options.Weights = c.Weights
		options.ReplicaStats = c.ReplicaStats
		options.OnStart = func(startedUnixMs int64) { c.Hosts.RecordStart(options.Host, startedUnixMs) }
		engine := NewEngine(options)
		c.Engines = append(c.Engines, engine)
		var url string
		url, err = c.serve(options.Address, engine, err)
		c.EngineURLs = append(c.EngineURLs, url)
	}
	for _, options := range o.Services {
		service := NewService(options)
		c.Services = append(c.Services, service)
		var url string
		url, err = c.serve(options.Address, service, err)
		c.ServiceURLs = append(c.ServiceURLs, url)
	}
	return err
}

// serve starts one server and returns its URL. It does nothing but return earlier
// if that is not nil.
func (c *Cluster) serve(address string, handler http.Handler, earlier error) (string, error) {
	if earlier != nil {
		return "", earlier
	}
	if address == "" {
		address = anyPort
	}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return "", fmt.Errorf("stand-in: %w (stop the process that holds the port, or choose another)", err)
	}
	server := &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: readHeaderTimeout,
		BaseContext:       func(net.Listener) context.Context { return c.ctx },
	}
	c.servers = append(c.servers, server)
	c.serving.Go(func() {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			panic(err)
		}
	})
	return "http://" + listener.Addr().String(), nil
}

// Close stops all stand-ins and closes their connections.
func (c *Cluster) Close() {
	c.closeOnce.Do(func() {
		c.cancel()
		for _, engine := range c.Engines {
			engine.Close()
		}
		for _, service := range c.Services {
			service.Close()
		}
		for _, server := range c.servers {
			_ = server.Close() // nothing depends on an orderly shutdown
		}
		c.serving.Wait()
	})
}
