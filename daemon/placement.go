package daemon

import (
	"context"

	"github.com/hickoryhead/hickoryhead/ident"
	"github.com/hickoryhead/hickoryhead/peer"
	"github.com/hickoryhead/hickoryhead/placement"
	"github.com/hickoryhead/hickoryhead/result"
)

// startPlacement lets the router stand for the placement lease and, while it
// holds it, give the orders that the placements in force ask for.
func (router *Router) startPlacement(ctx context.Context) {
	base := router.base
	leaseRunner := &placement.LeaseRunner{VM: router.Config.VM, Client: base.platform}
	record := &placement.RecordTable{Client: base.platform}
	controller := &placement.Controller{
		Held:        leaseRunner.Held,
		View:        base.view,
		Engines:     router.engines,
		Order:       router.order,
		ReadRecord:  record.Read,
		WriteRecord: record.Write,
		Metrics:     base.metrics,
		Logger:      router.Logger,
	}
	holding := &leaseHolding{leaseRunner: leaseRunner}
	go holding.run(ctx)
	conducting := &orderGiving{controller: controller}
	go conducting.run(ctx)
}

// engines returns the model engines that the list of VMs shows.
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

// order gives an order to the sidecar of an upstream.
func (router *Router) order(ctx context.Context, upstream ident.UpstreamID, args peer.OrderArgs) (peer.OrderReply, error) {
	entry, found := router.base.directory.Entry(upstream)
	if !found {
		return peer.OrderReply{}, result.Errorf(result.NoUpstream, "upstream %q", upstream)
	}
	var reply peer.OrderReply
	err := router.base.links.Call(ctx, entry.PeerAddress, peer.MethodOrder, args, &reply)
	return reply, err
}

// leaseHolding stands for the placement lease until its context ends.
type leaseHolding struct {
	leaseRunner *placement.LeaseRunner
}

func (holding *leaseHolding) run(ctx context.Context) { holding.leaseRunner.Run(ctx) }

// orderGiving gives orders under the lease until its context ends.
type orderGiving struct {
	controller *placement.Controller
}

func (giving *orderGiving) run(ctx context.Context) { giving.controller.Run(ctx) }
