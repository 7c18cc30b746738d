// Package native adapts ragwortdoor's own protocols to the core packages (fleet and
// entry): object sets in the table service and the object store, the host list,
// engines that accept the orders of internal/external, and callers that use the
// chat completions API or plain services. It only translates and makes no
// decisions.
//
// An object set is the published configuration; each publication gets the next
// revision. Engines of one pool form a service of the core, as does each plain
// service. An order asks an engine to load or unload a model, and an inventory is
// what the engine reports as loaded.
package native

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"google.golang.org/protobuf/proto"

	apiv1 "github.com/ragwortdoor/ragwortdoor/api/ragwortdoor/v1"
	"github.com/ragwortdoor/ragwortdoor/internal/config"
	"github.com/ragwortdoor/ragwortdoor/internal/exchange"
	"github.com/ragwortdoor/ragwortdoor/internal/external"
	"github.com/ragwortdoor/ragwortdoor/internal/fleet"
	"github.com/ragwortdoor/ragwortdoor/internal/retry"
)

// Options configure a Deployment.
type Options struct {
	Table   external.TableService
	Objects external.ObjectStore
	Hosts   external.HostList
	// Pool holds the connections to the upstreams.
	Pool *exchange.Pool
	// PollInterval is the interval between reads of the head row, which names the
	// current revision.
	PollInterval time.Duration
	// MaxBodyBytes limits the body of a caller's request.
	MaxBodyBytes int64
}

// Deployment reads the published object sets, the host list and the drains, and
// calls the engines. It implements fleet.Source and fleet.Engines.
type Deployment struct {
	opts   Options
	loader *config.Loader
	// index is the latest object set that was read; nil before the first.
	index atomic.Pointer[config.Index]
}

// NewDeployment returns a deployment that has not read an object set yet.
func NewDeployment(opts Options) *Deployment {
	return &Deployment{opts: opts, loader: config.NewLoader(opts.Objects)}
}

// Index returns the latest object set that was read, or nil before the first.
func (d *Deployment) Index() *config.Index { return d.index.Load() }

// Config implements fleet.Source. Config versions are object set revisions.
func (d *Deployment) Config(ctx context.Context, after int64, wait time.Duration) (fleet.ConfigUpdate, error) {
	deadline := time.Now().Add(wait)
	for {
		head, err := d.head(ctx)
		if err != nil {
			return fleet.ConfigUpdate{}, err
		}
		if revision := int64(head.GetRevision()); revision > after {
			return d.load(ctx, head)
		}
		if !time.Now().Add(d.opts.PollInterval).Before(deadline) || !retry.Sleep(ctx, d.opts.PollInterval) {
			return fleet.ConfigUpdate{Version: after}, ctx.Err()
		}
	}
}

// head reads the row of the current revision. Its revision is 0 before the first
// publication.
func (d *Deployment) head(ctx context.Context) (*apiv1.HeadRow, error) {
	row, err := d.opts.Table.Get(ctx, external.HeadKey)
	if err != nil {
		return nil, err
	}
	head := &apiv1.HeadRow{}
	if err := proto.Unmarshal(row.Value, head); err != nil {
		return nil, fmt.Errorf("can't decode the head row: %w (publish the object set again)", err)
	}
	return head, nil
}

func (d *Deployment) load(ctx context.Context, head *apiv1.HeadRow) (fleet.ConfigUpdate, error) {
	index, err := d.loader.Load(ctx, head)
	if err != nil {
		return fleet.ConfigUpdate{}, err
	}
	if known := d.index.Load(); known == nil || known.Revision < index.Revision {
		d.index.Store(index)
	}
	return fleet.ConfigUpdate{Config: fleetConfig(index, d.opts.MaxBodyBytes), Version: int64(index.Revision)}, nil
}

// Upstreams implements fleet.Source. It returns the complete list.
func (d *Deployment) Upstreams(ctx context.Context, _ int64, _ time.Duration) (fleet.UpstreamUpdate, error) {
	listing, err := d.opts.Hosts.Hosts(ctx)
	if err != nil {
		return fleet.UpstreamUpdate{}, err
	}
	drained, err := d.Drained(ctx)
	if err != nil {
		return fleet.UpstreamUpdate{}, err
	}
	update := fleet.UpstreamUpdate{Complete: true, Version: max(1, listing.Revision)}
	for _, host := range listing.Hosts {
		if host.Role == external.RoleUpstream {
			update.Registrations = append(update.Registrations, registrationOf(host, listing.Revision, drained[host.ID]))
		}
	}
	return update, nil
}

// Drained returns the hosts with a drain row; true means that an operator has excluded
// the host from new requests.
func (d *Deployment) Drained(ctx context.Context) (map[string]bool, error) {
	changes, err := d.opts.Table.Changes(ctx, external.DrainPrefix, 0)
	if err != nil {
		return nil, err
	}
	drained := make(map[string]bool)
	for _, row := range changes.Rows {
		drain := &apiv1.DrainRow{}
		if err := proto.Unmarshal(row.Value, drain); err != nil {
			// The host that the row is about stays excluded; the other rows hold.
			drained[strings.TrimPrefix(row.Key, external.DrainPrefix)] = true
			continue
		}
		drained[drain.GetHost()] = drain.GetDraining()
	}
	return drained, nil
}

func registrationOf(host external.Host, revision int64, drained bool) fleet.Registration {
	up := &fleet.Upstream{
		ID:            host.ID,
		Service:       serviceNameOf(host),
		Addr:          host.Address,
		FailureDomain: host.FailureDomain,
		Draining:      host.State == external.HostDraining,
		Cordoned:      drained,
		MemoryMB:      int64(host.MemoryMiB),
		Sequence:      revision,
		StartedMs:     host.StartedUnixMs,
	}
	if err := up.Check(); err != nil {
		return fleet.Registration{ID: host.ID, Err: err}
	}
	return fleet.Registration{ID: host.ID, Upstream: up}
}

// Names of the core's services: one for each plain service and each pool of engines.
func plainServiceName(name string) string { return "service " + name }

func enginePoolName(pool string) string { return "pool " + pool }

func serviceNameOf(host external.Host) string {
	if host.Service != "" {
		return plainServiceName(host.Service)
	}
	return enginePoolName(host.Pool)
}

// Order implements fleet.Engines.
func (d *Deployment) Order(ctx context.Context, up *fleet.Upstream, order fleet.Order) (fleet.OrderResult, error) {
	body := external.Order{
		Unload:         order.Unload,
		Model:          order.Model,
		Adapter:        order.Adapter,
		ExpectedOrders: order.ExpectedOrders,
		Holder:         order.Holder,
		Fence:          order.Fence,
	}
	if !order.Unload && !d.addWeights(&body) {
		return fleet.OrderInvalid, nil // no longer published
	}
	request, err := exchange.NewJSON(external.PathOrders, upstreamHeader(up.ID), body)
	if err != nil {
		return fleet.OrderUnknown, err
	}
	status, _, err := d.opts.Pool.Fetch(ctx, up.Addr, request)
	if err != nil {
		return fleet.OrderUnknown, err
	}
	switch status {
	case http.StatusAccepted:
		return fleet.OrderAccepted, nil
	case http.StatusOK:
		return fleet.OrderSatisfied, nil
	case http.StatusConflict, http.StatusServiceUnavailable, http.StatusTooManyRequests:
		return fleet.OrderConflict, nil
	case http.StatusPreconditionFailed:
		return fleet.OrderFenced, nil
	case http.StatusMisdirectedRequest:
		return fleet.OrderWrongUpstream, nil
	case http.StatusBadRequest, http.StatusInsufficientStorage:
		return fleet.OrderInvalid, nil
	}
	return fleet.OrderUnknown, fmt.Errorf("unexpected status %d in response to an order", status)
}

// addWeights adds the checkpoint and the memory size of the ordered model or
// adapter. It reports false when that is not published.
func (d *Deployment) addWeights(order *external.Order) bool {
	index := d.index.Load()
	if index == nil {
		return false
	}
	version := index.Version(order.Model)
	if order.Adapter == "" {
		order.Checkpoint = version.GetCheckpoint()
		order.MemoryMiB = version.GetMemoryMib()
		return version != nil
	}
	adapter := index.Adapter(version.GetModel(), order.Adapter)
	order.Checkpoint = adapter.GetCheckpoint()
	order.MemoryMiB = adapter.GetMemoryMib()
	return adapter != nil
}

// Inspect implements fleet.Engines.
func (d *Deployment) Inspect(ctx context.Context, up *fleet.Upstream) (fleet.Inventory, error) {
	var body external.Inventory
	request := &exchange.Request{Method: http.MethodGet, URI: external.PathInventory, Header: upstreamHeader(up.ID)}
	if err := d.opts.Pool.FetchJSON(ctx, up.Addr, request, &body); err != nil {
		return fleet.Inventory{}, err
	}
	inventory := fleet.Inventory{
		StartedMs: body.StartedUnixMs,
		Busy:      body.Busy,
		Orders:    body.Orders,
		Running:   body.Running,
		Waiting:   body.Waiting,
		OnDisk:    body.OnDisk,
		InMemory:  body.InMemory,
	}
	for _, model := range body.Models {
		inventory.Models = append(inventory.Models, fleet.LoadedModel{Name: model.Model, Adapters: model.Adapters})
	}
	for _, name := range body.LoadingAdapters {
		model, adapter := splitModel(name)
		inventory.LoadingAdapters = append(inventory.LoadingAdapters, fleet.AdapterRef{Model: model, Adapter: adapter})
	}
	if err := inventory.Check(); err != nil {
		return fleet.Inventory{}, err
	}
	return inventory, nil
}

func upstreamHeader(id string) http.Header { return http.Header{external.HeaderUpstream: {id}} }
