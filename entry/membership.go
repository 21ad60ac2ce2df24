package entry

import (
	"context"
	"time"

	"github.com/hickoryhead/hickoryhead/gossip"
	"github.com/hickoryhead/hickoryhead/platform"
	"github.com/hickoryhead/hickoryhead/wait"
)

const (
	// registerTimeout bounds an attempt to register.
	registerTimeout = 2 * time.Second
	// registerPause is the mean time between two attempts.
	registerPause = time.Second
)

// membership makes the router and the others known to each other.
type membership struct {
	store  *platform.Store
	gossip *gossip.Gossip
	daemon *Daemon
}

// run registers the router in the store, once, and learns of the others.
func (membership *membership) run(ctx context.Context) {
	for ctx.Err() == nil {
		bounded, cancel := context.WithTimeout(ctx, registerTimeout)
		addresses, err := membership.store.Register(bounded, membership.gossip.Address)
		cancel()
		if err == nil {
			for _, address := range addresses {
				membership.gossip.Add(address)
			}
			close(membership.daemon.warmup.registered)
			membership.daemon.Logger.Info("Registered.", "Routers", len(addresses))
			return
		}
		membership.daemon.metrics.CountEvent("register.failed")
		membership.daemon.Logger.Warn("Not registered.", "Error", err)
		wait.Sleep(ctx, wait.Jitter(registerPause))
	}
}

// gossiper exchanges messages with the other routers until its context ends.
type gossiper struct {
	gossip *gossip.Gossip
}

func (gossiper *gossiper) run(ctx context.Context) { gossiper.gossip.Run(ctx) }
