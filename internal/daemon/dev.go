package daemon

import (
	"context"
	"fmt"
	"time"

	"google.golang.org/protobuf/encoding/protojson"

	apiv1 "github.com/ragwortdoor/ragwortdoor/api/ragwortdoor/v1"
	"github.com/ragwortdoor/ragwortdoor/internal/config"
	"github.com/ragwortdoor/ragwortdoor/internal/decisionlog"
	"github.com/ragwortdoor/ragwortdoor/internal/external"
	"github.com/ragwortdoor/ragwortdoor/internal/sample"
	"github.com/ragwortdoor/ragwortdoor/internal/settings"
	"github.com/ragwortdoor/ragwortdoor/internal/standin"
)

// Ports, all on 127.0.0.1, and settings of dev mode. The engines and the services of
// a deployment take consecutive ports from devEnginePort and devServicePort.
const (
	devCallerPort   = 8080
	devOperatorPort = 8081
	devPeerPort     = 8082
	devTablePort    = 8090
	devObjectPort   = 8091
	devHostListPort = 8093
	devEnginePort   = 8100
	devServicePort  = 8150
	devRouterHost   = "router-1"
	devHostListLag  = 500 * time.Millisecond
	// devDrainDelayMs is short because no load balancer has to notice the stop.
	devDrainDelayMs = 50
	// devLeaseTTLMs lets the next router schedule soon after this one was killed.
	devLeaseTTLMs = 2000
)

// devPortOffset is added to each port of dev mode, so that several instances can run on
// one host.
type devPortOffset int

func (p devPortOffset) addr(port int) string { return fmt.Sprintf("127.0.0.1:%d", port+int(p)) }

// DevOptions configures RunDev.
type DevOptions struct {
	Shape sample.Shape
	// PlatformOnly runs the stand-ins without a router.
	PlatformOnly bool
	// PortOffset is added to each port.
	PortOffset int
	Log        *decisionlog.Logger
}

// RunDev runs the stand-ins of a deployment, and a router, until ctx is done.
func RunDev(ctx context.Context, opts DevOptions) error {
	ports := devPortOffset(opts.PortOffset)
	// The stand-ins outlive the router, so that its running requests can finish.
	cluster, err := standin.Start(context.WithoutCancel(ctx), clusterOptions(opts.Shape, ports))
	if err != nil {
		return err
	}
	defer cluster.Close()
	for _, h := range devHosts(opts.Shape, ports) {
		cluster.Hosts.Add(h)
	}
	if err := publish(ctx, cluster, opts.Shape.Set(), "sample of "+opts.Shape.Name); err != nil {
		return err
	}
	opts.Log.Info("stand-ins run", "deployment", opts.Shape.Name, "table", cluster.TableURL, "objects", cluster.ObjectURL, "hosts", cluster.HostListURL)
	if opts.PlatformOnly {
		<-ctx.Done()
		return nil
	}
	cfg, err := devRouterSettings(cluster, ports)
	if err != nil {
		return err
	}
	router, err := NewRouter(cfg, opts.Log)
	if err != nil {
		return err
	}
	return router.Run(ctx)
}

// clusterOptions returns the options of the stand-ins of a deployment.
func clusterOptions(shape sample.Shape, ports devPortOffset) standin.ClusterOptions {
	o := standin.ClusterOptions{
		TableAddress:    ports.addr(devTablePort),
		ObjectAddress:   ports.addr(devObjectPort),
		HostListAddress: ports.addr(devHostListPort),
		Weights:         standin.WeightStoreConfig{LoadsPerSecond: shape.LoadsPerSecond},
		HostList:        standin.HostListConfig{LagMS: int(devHostListLag.Milliseconds())},
	}
	for i := range shape.Engines {
		o.Engines = append(o.Engines, standin.EngineOptions{
			Host:      hostName(shape.EnginePool, i),
			Address:   ports.addr(devEnginePort + i),
			MemoryMiB: sample.EngineMemoryMiB,
			Config:    devEngineConfig(i),
		})
	}
	for i := range shape.ServiceHosts {
		o.Services = append(o.Services, standin.ServiceOptions{
			Host:    hostName(shape.ServicePool, i),
			Name:    shape.ServicePool,
			Address: ports.addr(devServicePort + i),
		})
	}
	return o
}

// devEngineConfig makes every other engine check fencing tokens.
func devEngineConfig(i int) standin.EngineConfig {
	return standin.EngineConfig{
		Fences:        i%2 == 0,
		MemoryLoadMS:  200,
		DiskLoadMS:    800,
		UnloadMS:      100,
		AdapterLoadMS: 10,
		FirstTokenMS:  60,
		TokenMS:       20,
	}
}

func hostName(pool string, i int) string { return fmt.Sprintf("%s-%02d", pool, i+1) }

// devHosts returns the host list of a deployment: the router, the engine hosts, then
// the service hosts.
func devHosts(shape sample.Shape, ports devPortOffset) []external.Host {
	domain := func(i int) string { return shape.FailureDomains[i%len(shape.FailureDomains)] }
	hosts := []external.Host{{
		ID:              devRouterHost,
		Role:            external.RoleRouter,
		Address:         ports.addr(devPeerPort),
		OperatorAddress: ports.addr(devOperatorPort),
		FailureDomain:   domain(0),
	}}
	for i := range shape.Engines {
		hosts = append(hosts, external.Host{
			ID:            hostName(shape.EnginePool, i),
			Role:          external.RoleUpstream,
			Address:       ports.addr(devEnginePort + i),
			Pool:          shape.EnginePool,
			FailureDomain: domain(i),
			MemoryMiB:     sample.EngineMemoryMiB,
		})
	}
	for i := range shape.ServiceHosts {
		hosts = append(hosts, external.Host{
			ID:            hostName(shape.ServicePool, i),
			Role:          external.RoleUpstream,
			Address:       ports.addr(devServicePort + i),
			Pool:          shape.ServicePool,
			FailureDomain: domain(i),
			Service:       shape.ServicePool,
		})
	}
	return hosts
}

// publish publishes set as the configuration in force.
func publish(ctx context.Context, cluster *standin.Cluster, set *apiv1.ObjectSet, message string) error {
	table := external.NewTableClient(external.ClientOptions{BaseURL: cluster.TableURL})
	objects := external.NewObjectClient(external.ClientOptions{BaseURL: cluster.ObjectURL})
	publisher := config.NewPublisher(table, objects, config.PublisherOptions{})
	if _, err := publisher.Publish(ctx, set, config.PublishOptions{Author: "dev", Message: message}); err != nil {
		return fmt.Errorf("publish object set: %w", err)
	}
	return nil
}

// devRouterSettings returns the router's settings. They are encoded and parsed so that
// the checks of a settings file apply.
func devRouterSettings(cluster *standin.Cluster, ports devPortOffset) (*apiv1.RouterSettings, error) {
	data, err := protojson.MarshalOptions{UseProtoNames: true}.Marshal(&apiv1.RouterSettings{
		Host:           devRouterHost,
		FailureDomain:  "dev",
		Listen:         ports.addr(devCallerPort),
		OperatorListen: ports.addr(devOperatorPort),
		PeerListen:     ports.addr(devPeerPort),
		StopLingerMs:   devDrainDelayMs,
		LeaseTtlMs:     devLeaseTTLMs,
		Platform: &apiv1.PlatformSettings{
			TableUrl:    cluster.TableURL,
			ObjectUrl:   cluster.ObjectURL,
			HostListUrl: cluster.HostListURL,
		},
	})
	if err != nil {
		return nil, err
	}
	return settings.ParseRouter(devRouterHost, data)
}
