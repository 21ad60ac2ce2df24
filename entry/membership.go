package entry

import (
	"context"
	"time"

	"github.com/hickoryhead/hickoryhead/gossip"
	"github.com/hickoryhead/hickoryhead/platform"
	"github.com/hickoryhead/hickoryhead/wait"
)

const (
	// registerTimeout bounds one attempt to register.
	registerTimeout = 2 * time.Second
	// registerRetryInterval is the mean pause after a failed attempt.
	registerRetryInterval = time.Second
)

// membership registers the router in the store, so that routers find each
// other.
type membership struct {
	store  *platform.Store
	gossip *gossip.Gossip
	daemon *Daemon
}

// run retries until the router is registered, and then adds the other
// registered routers to the gossip.
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
		membership.daemon.Logger.Warn("Registration failed.", "Error", err)
		wait.Sleep(ctx, wait.Jitter(registerRetryInterval))
	}
}

// gossiper exchanges messages with the other routers.
type gossiper struct {
	gossip *gossip.Gossip
}

func (gossiper *gossiper) run(ctx context.Context) { gossiper.gossip.Run(ctx) }
