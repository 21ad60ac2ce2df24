package daemon

import (
	"context"

	"github.com/hickoryhead/hickoryhead/ident"
	"github.com/hickoryhead/hickoryhead/peer"
	"github.com/hickoryhead/hickoryhead/placement"
	"github.com/hickoryhead/hickoryhead/result"
)

// startPlacement starts competing for the placement lease. While the router holds
// the lease, it issues the orders that the placements in force require.
func (router *Router) startPlacement(ctx context.Context) {
	base := router.base
	leaseRunner := &placement.LeaseRunner{VM: router.Config.VM, Client: base.platform}
	record := &placement.RecordTable{Client: base.platform}
	controller := &placement.Controller{
		Held:        leaseRunner.Held,
		View:        base.view,
		Engines:     router.engines,
		Order:       router.sendOrder,
		ReadRecord:  record.Read,
		WriteRecord: record.Write,
		Metrics:     base.metrics,
		Logger:      router.Logger,
	}
	lease := &leaseService{leaseRunner: leaseRunner}
	go lease.run(ctx)
	orders := &placementService{controller: controller}
	go orders.run(ctx)
}

// engines returns the model engines in the list of VMs.
func (router *Router) engines() []placement.Engine {
	var engines []placement.Engine
	for _, entry := range router.base.directory.Entries() {
		if entry.PoolKey.Model == "" {
			continue
		}
		engines = append(engines, placement.Engine{
			Upstream: entry.Upstream,
			Zone:     entry.Zone,
			Model:    entry.PoolKey.Model,
			Fixed:    router.base.directory.Leaving(entry.Upstream),
		})
	}
	return engines
}

// sendOrder sends an order to the sidecar of an upstream.
func (router *Router) sendOrder(ctx context.Context, upstream ident.UpstreamID, args peer.OrderArgs) (peer.OrderReply, error) {
	entry, found := router.base.directory.Entry(upstream)
	if !found {
		return peer.OrderReply{}, result.Errorf(result.NoUpstream, "upstream %q", upstream)
	}
	var reply peer.OrderReply
	err := router.base.links.Call(ctx, entry.PeerAddress, peer.MethodOrder, args, &reply)
	return reply, err
}

// leaseService acquires and renews the placement lease until its context ends.
type leaseService struct {
	leaseRunner *placement.LeaseRunner
}

func (service *leaseService) run(ctx context.Context) { service.leaseRunner.Run(ctx) }

// placementService issues placement orders under the lease until its context ends.
type placementService struct {
	controller *placement.Controller
}

func (service *placementService) run(ctx context.Context) { service.controller.Run(ctx) }
