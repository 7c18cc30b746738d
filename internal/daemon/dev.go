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

// Ports of dev mode, all on 127.0.0.1. The upstreams of a deployment take
// consecutive ports.
const (
	devCallers     = 8080
	devOperators   = 8081
	devPeers       = 8082
	devTable       = 8090
	devObjects     = 8091
	devHostList    = 8093
	devEngines     = 8100
	devServices    = 8150
	devRouterHost  = "router-1"
	devHostListLag = 500 * time.Millisecond
	// devStopLinger is short, since no balancer has to notice the stop.
	devStopLinger = 50 // ms
	// devLeaseTTL lets the next router schedule soon after a kill.
	devLeaseTTL = 2000 // ms
)

// devPorts is added to each port of dev mode, so that several can run.
type devPorts int

func (p devPorts) at(port int) string { return fmt.Sprintf("127.0.0.1:%d", port+int(p)) }

// DevOptions configure RunDev.
type DevOptions struct {
	Shape sample.Shape
	// PlatformOnly runs the stand-ins alone.
	PlatformOnly bool
	// PortOffset is added to each port.
	PortOffset int
	Log        *decisionlog.Logger
}

// RunDev runs a deployment of stand-ins with a router until ctx is done.
func RunDev(ctx context.Context, opts DevOptions) error {
	ports := devPorts(opts.PortOffset)
	// The stand-ins outlive the router, so that its running requests can end.
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

// clusterOptions describes the stand-ins of a deployment.
func clusterOptions(shape sample.Shape, ports devPorts) standin.ClusterOptions {
	o := standin.ClusterOptions{
		TableAddress:    ports.at(devTable),
		ObjectAddress:   ports.at(devObjects),
		HostListAddress: ports.at(devHostList),
		Weights:         standin.WeightStoreConfig{LoadsPerSecond: shape.LoadsPerSecond},
		HostList:        standin.HostListConfig{LagMS: int(devHostListLag.Milliseconds())},
	}
	for i := range shape.Engines {
		o.Engines = append(o.Engines, standin.EngineOptions{
			Host:      hostName(shape.EnginePool, i),
			Address:   ports.at(devEngines + i),
			MemoryMiB: sample.EngineMemoryMiB,
			Config:    devEngineKnobs(i),
		})
	}
	for i := range shape.ServiceHosts {
		o.Services = append(o.Services, standin.ServiceOptions{
			Host:    hostName(shape.ServicePool, i),
			Name:    shape.ServicePool,
			Address: ports.at(devServices + i),
		})
	}
	return o
}

// devEngineKnobs gives every other engine a check of fencing numbers.
func devEngineKnobs(i int) standin.EngineConfig {
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

// devHosts is the host list of a deployment: one router, then the engine hosts,
// then the service hosts.
func devHosts(shape sample.Shape, ports devPorts) []external.Host {
	domain := func(i int) string { return shape.FailureDomains[i%len(shape.FailureDomains)] }
	hosts := []external.Host{{
		ID:              devRouterHost,
		Role:            external.RoleRouter,
		Address:         ports.at(devPeers),
		OperatorAddress: ports.at(devOperators),
		FailureDomain:   domain(0),
	}}
	for i := range shape.Engines {
		hosts = append(hosts, external.Host{
			ID:            hostName(shape.EnginePool, i),
			Role:          external.RoleUpstream,
			Address:       ports.at(devEngines + i),
			Pool:          shape.EnginePool,
			FailureDomain: domain(i),
			MemoryMiB:     sample.EngineMemoryMiB,
		})
	}
	for i := range shape.ServiceHosts {
		hosts = append(hosts, external.Host{
			ID:            hostName(shape.ServicePool, i),
			Role:          external.RoleUpstream,
			Address:       ports.at(devServices + i),
			Pool:          shape.ServicePool,
			FailureDomain: domain(i),
			Service:       shape.ServicePool,
		})
	}
	return hosts
}

// publish puts a set in force.
func publish(ctx context.Context, cluster *standin.Cluster, set *apiv1.ObjectSet, message string) error {
	table := external.NewTableClient(external.ClientOptions{BaseURL: cluster.TableURL})
	objects := external.NewObjectClient(external.ClientOptions{BaseURL: cluster.ObjectURL})
	publisher := config.NewPublisher(table, objects, config.PublisherOptions{})
	if _, err := publisher.Publish(ctx, set, config.PublishOptions{Author: "dev", Message: message}); err != nil {
		return fmt.Errorf("publish object set: %w", err)
	}
	return nil
}

// devRouterSettings go through the same checks as a file.
func devRouterSettings(cluster *standin.Cluster, ports devPorts) (*apiv1.RouterSettings, error) {
	data, err := protojson.MarshalOptions{UseProtoNames: true}.Marshal(&apiv1.RouterSettings{
		Host:           devRouterHost,
		FailureDomain:  "dev",
		Listen:         ports.at(devCallers),
		OperatorListen: ports.at(devOperators),
		PeerListen:     ports.at(devPeers),
		StopLingerMs:   devStopLinger,
		LeaseTtlMs:     devLeaseTTL,
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
