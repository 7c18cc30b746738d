package daemon

import (
	"context"
	"fmt"
	"time"

	"github.com/charmbracelet/log"
	"golang.org/x/sync/errgroup"
	"google.golang.org/protobuf/encoding/protojson"

	apiv1 "github.com/ragwortdoor/ragwortdoor/api/ragwortdoor/v1"
	"github.com/ragwortdoor/ragwortdoor/internal/config"
	"github.com/ragwortdoor/ragwortdoor/internal/external"
	"github.com/ragwortdoor/ragwortdoor/internal/sample"
	"github.com/ragwortdoor/ragwortdoor/internal/settings"
	"github.com/ragwortdoor/ragwortdoor/internal/standin"
)

// Ports of dev mode, all on 127.0.0.1. The sidecars and upstreams of a
// deployment take consecutive ports.
const (
	devCallers     = 8080
	devOperators   = 8081
	devGossip      = 8082
	devTable       = 8090
	devObjects     = 8091
	devWeights     = 8092
	devHostList    = 8093
	devEngines     = 8100
	devServices    = 8150
	devSidecars    = 8200
	devSidecarOps  = 8300
	devRouterHost  = "router-1"
	devHostListLag = 500 * time.Millisecond
)

// devPorts is added to each port of dev mode, so that several can run.
type devPorts int

func (p devPorts) at(port int) string { return loopback(port + int(p)) }

func loopback(port int) string { return fmt.Sprintf("127.0.0.1:%d", port) }

// DevOptions configure RunDev.
type DevOptions struct {
	Shape sample.Shape
	// PlatformOnly runs the stand-ins alone.
	PlatformOnly bool
	// PortOffset is added to each port.
	PortOffset int
	Log        *log.Logger
}

// RunDev runs a deployment with stand-ins for the platform until ctx is done.
func RunDev(ctx context.Context, opts DevOptions) error {
	ports := devPorts(opts.PortOffset)
	standins, stopStandins := context.WithCancel(context.WithoutCancel(ctx))
	defer stopStandins()
	cluster, err := standin.Start(standins, clusterOptions(opts.Shape, ports))
	if err != nil {
		return err
	}
	defer cluster.Close()
	hosts := devHosts(opts.Shape, ports)
	for _, h := range hosts {
		cluster.Hosts.Add(h)
	}
	if err := publishSample(ctx, cluster, opts.Shape); err != nil {
		return err
	}
	opts.Log.Info("stand-ins run", "deployment", opts.Shape.Name, "table", cluster.TableURL,
		"objects", cluster.ObjectURL, "weights", cluster.WeightURL, "hosts", cluster.HostListURL)
	if opts.PlatformOnly {
		<-ctx.Done()
		return nil
	}
	return runDevProcesses(ctx, cluster, hosts, ports, opts.Log)
}

// clusterOptions describes the stand-ins of a deployment.
func clusterOptions(shape sample.Shape, ports devPorts) standin.ClusterOptions {
	o := standin.ClusterOptions{
		TableAddress:    ports.at(devTable),
		ObjectAddress:   ports.at(devObjects),
		WeightAddress:   ports.at(devWeights),
		HostListAddress: ports.at(devHostList),
		Weights:         standin.WeightKnobs{LoadsPerSecond: shape.LoadsPerSecond},
		HostList:        standin.HostKnobs{LagMS: int(devHostListLag.Milliseconds())},
	}
	for _, v := range shape.Set().GetVersions() {
		o.Checkpoints = append(o.Checkpoints, external.CheckpointInfo{Checkpoint: v.GetCheckpoint(), SizeMiB: v.GetMemoryMib()})
	}
	for i := range shape.Engines {
		o.Engines = append(o.Engines, standin.EngineOptions{
			Host:      engineHost(shape, i),
			Address:   ports.at(devEngines + i),
			MemoryMiB: sample.EngineMemoryMiB,
			Knobs:     devEngineKnobs(i),
		})
	}
	for i := range shape.ServiceHosts {
		o.Services = append(o.Services, standin.ServiceOptions{
			Host:    serviceHost(shape, i),
			Name:    shape.ServicePool,
			Address: ports.at(devServices + i),
		})
	}
	return o
}

// devEngineKnobs gives every other engine a check of fencing numbers.
func devEngineKnobs(i int) standin.EngineKnobs {
	return standin.EngineKnobs{
		Fences:             i%2 == 0,
		MemoryLoadMS:       200,
		DiskLoadMS:         800,
		UnloadMS:           100,
		AdapterLoadMS:      10,
		FirstTokenMS:       60,
		CachedFirstTokenMS: 20,
		TokenMS:            20,
		LoadLagMS:          200,
		EventLagMS:         500,
		EventGapEvery:      10,
	}
}

func engineHost(shape sample.Shape, i int) string {
	return fmt.Sprintf("%s-%02d", shape.EnginePool, i+1)
}

func serviceHost(shape sample.Shape, i int) string {
	return fmt.Sprintf("%s-%02d", shape.ServicePool, i+1)
}

// devHosts is the host list of a deployment: one router, then the engine hosts,
// then the service hosts.
func devHosts(shape sample.Shape, ports devPorts) []external.Host {
	domain := func(i int) string { return shape.FailureDomains[i%len(shape.FailureDomains)] }
	hosts := []external.Host{{
		ID:              devRouterHost,
		Role:            external.RoleRouter,
		Address:         ports.at(devGossip),
		OperatorAddress: ports.at(devOperators),
		FailureDomain:   domain(0),
	}}
	for i := range shape.Engines {
		hosts = append(hosts, external.Host{
			ID:              engineHost(shape, i),
			Role:            external.RoleUpstream,
			Address:         ports.at(devSidecars + i),
			OperatorAddress: ports.at(devSidecarOps + i),
			Pool:            shape.EnginePool,
			FailureDomain:   domain(i),
			MemoryMiB:       sample.EngineMemoryMiB,
		})
	}
	for i := range shape.ServiceHosts {
		hosts = append(hosts, external.Host{
			ID:              serviceHost(shape, i),
			Role:            external.RoleUpstream,
			Address:         ports.at(devSidecars + shape.Engines + i),
			OperatorAddress: ports.at(devSidecarOps + shape.Engines + i),
			Pool:            shape.ServicePool,
			FailureDomain:   domain(i),
			Service:         shape.ServicePool,
		})
	}
	return hosts
}

// publishSample puts the sample set in force.
func publishSample(ctx context.Context, cluster *standin.Cluster, shape sample.Shape) error {
	table := external.NewTableClient(external.ClientOptions{BaseURL: cluster.TableURL})
	objects := external.NewObjectClient(external.ClientOptions{BaseURL: cluster.ObjectURL})
	publisher := config.NewPublisher(table, objects, config.PublisherOptions{Commit: external.CommitSettled})
	_, err := publisher.Publish(ctx, shape.Set(), config.PublishOptions{Author: "dev", Message: "sample of " + shape.Name})
	if err != nil {
		return fmt.Errorf("publish sample set: %w", err)
	}
	return nil
}

// runDevProcesses runs the router and the sidecars. The sidecars outlive the
// router, so that its running requests can end.
func runDevProcesses(ctx context.Context, cluster *standin.Cluster, hosts []external.Host, ports devPorts, logger *log.Logger) error {
	router, err := newDevRouter(cluster, hosts[0], ports.at(devCallers), logger)
	if err != nil {
		return err
	}
	sidecarCtx, stopSidecars := context.WithCancel(context.WithoutCancel(ctx))
	defer stopSidecars()
	g, sidecarCtx := errgroup.WithContext(sidecarCtx)
	for i, h := range hosts[1:] {
		s, err := newDevSidecar(cluster, h, i, logger)
		if err != nil {
			stopSidecars()
			return err
		}
		g.Go(func() error { return s.Run(sidecarCtx) })
	}
	g.Go(func() error {
		defer stopSidecars()
		return router.Run(ctx)
	})
	return g.Wait()
}

func newDevRouter(cluster *standin.Cluster, h external.Host, callers string, logger *log.Logger) (*Router, error) {
	cfg, err := devRouterSettings(cluster, h, callers)
	if err != nil {
		return nil, err
	}
	return NewRouter(cfg, logger.With("process", h.ID))
}

func devRouterSettings(cluster *standin.Cluster, h external.Host, listen string) (*apiv1.RouterSettings, error) {
	data, err := protojson.MarshalOptions{UseProtoNames: true}.Marshal(&apiv1.RouterSettings{
		Host:           h.ID,
		FailureDomain:  h.FailureDomain,
		Listen:         listen,
		OperatorListen: h.OperatorAddress,
		GossipListen:   h.Address,
		Platform: &apiv1.PlatformSettings{
			TableUrl:    cluster.TableURL,
			ObjectUrl:   cluster.ObjectURL,
			HostListUrl: cluster.HostListURL,
			WeightUrl:   cluster.WeightURL,
		},
	})
	if err != nil {
		return nil, err
	}
	return settings.ParseRouter(h.ID, data)
}

// newDevSidecar makes the sidecar of the i-th upstream host.
func newDevSidecar(cluster *standin.Cluster, h external.Host, i int, logger *log.Logger) (*Sidecar, error) {
	cfg, err := devSidecarSettings(cluster, h, i)
	if err != nil {
		return nil, err
	}
	return NewSidecar(cfg, logger.With("process", h.ID))
}

func devSidecarSettings(cluster *standin.Cluster, h external.Host, i int) (*apiv1.SidecarSettings, error) {
	wanted := &apiv1.SidecarSettings{
		Host:           h.ID,
		FailureDomain:  h.FailureDomain,
		Listen:         h.Address,
		OperatorListen: h.OperatorAddress,
	}
	if i < len(cluster.Engines) {
		wanted.EngineUrl = cluster.EngineURLs[i]
		wanted.EngineFences = cluster.Engines[i].Knobs().Fences
	} else {
		wanted.ServiceName = h.Service
		wanted.ServiceUrl = cluster.ServiceURLs[i-len(cluster.Engines)]
	}
	data, err := protojson.MarshalOptions{UseProtoNames: true}.Marshal(wanted)
	if err != nil {
		return nil, err
	}
	return settings.ParseSidecar(h.ID, data)
}
