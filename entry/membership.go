package entry

import (
	"context"
	"math/rand/v2"
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
	// eraCheckInterval is the time between two checks of whether the store has come
	// back from an older copy.
	eraCheckInterval = 200 * time.Millisecond
)

// membership registers the router in the store, so that routers find each
// other.
type membership struct {
	store  *platform.Store
	gossip *gossip.Gossip
	daemon *Daemon
}

// run retries until the router is registered, and then adds the other
// registered routers to the gossip. Whenever the store was restored from an older copy,
// in which rows of routers may be missing, it registers all that are known to run.
func (membership *membership) run(ctx context.Context) {
	if !membership.register(ctx, membership.gossip.Address) {
		return
	}
	close(membership.daemon.warmup.registered)
	era := membership.store.Era()
	for wait.Sleep(ctx, eraCheckInterval) {
		if membership.store.Era() == era {
			continue
		}
		era = membership.store.Era()
		membership.daemon.metrics.CountEvent("register.again")
		if !wait.Sleep(ctx, rand.N(maxRestoreDelay)) || !membership.register(ctx, membership.gossip.Live(time.Now())...) {
			return
		}
	}
}

// register registers the routers at the given addresses and adds all registered ones to
// the gossip. It retries until that succeeds, and reports false if ctx ends first.
func (membership *membership) register(ctx context.Context, registering ...string) bool {
	for ctx.Err() == nil {
		bounded, cancel := context.WithTimeout(ctx, registerTimeout)
		addresses, err := membership.store.Register(bounded, registering...)
		cancel()
		if err == nil {
			for _, address := range addresses {
				membership.gossip.Add(address)
			}
			membership.daemon.Logger.Info("Registered.", "Routers", len(addresses))
			return true
		}
		membership.daemon.metrics.CountEvent("register.failed")
		membership.daemon.Logger.Warn("Registration failed.", "Error", err)
		wait.Sleep(ctx, wait.Jitter(registerRetryInterval))
	}
	return false
}

// gossiper exchanges messages with the other routers.
type gossiper struct {
	gossip *gossip.Gossip
}

func (gossiper *gossiper) run(ctx context.Context) { gossiper.gossip.Run(ctx) }
