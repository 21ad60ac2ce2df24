package entry

import (
	"context"
	"time"

	"github.com/cespare/xxhash/v2"
	"golang.org/x/sync/errgroup"

	"github.com/hickoryhead/hickoryhead/balance"
	"github.com/hickoryhead/hickoryhead/gossip"
	"github.com/hickoryhead/hickoryhead/ident"
	"github.com/hickoryhead/hickoryhead/oncehttp"
	"github.com/hickoryhead/hickoryhead/platform"
	"github.com/hickoryhead/hickoryhead/registry"
	"github.com/hickoryhead/hickoryhead/wait"
)

const (
	// warmupTimeout bounds the whole of it: a router that knows no cache serves,
	// too.
	warmupTimeout = 1500 * time.Millisecond
	// peersWait is the time in which a router that ran before answers a new one.
	peersWait = 50 * time.Millisecond
	// olderBy is how much longer another router must have run to be asked
	// instead of the engines.
	olderBy = 2 * time.Second
	// listTimeout bounds a call for what one engine has cached.
	listTimeout = 400 * time.Millisecond
	// listCalls bounds the calls at the same time.
	listCalls = 4
	// warmupStep is the time between two looks at whether the upstreams are
	// listed.
	warmupStep = 10 * time.Millisecond
)

// warmup learns which engines have which prompts cached before the router is
// ready: from a router that runs for longer, or else from the engines.
type warmup struct {
	daemon  *Daemon
	gossip  *gossip.Gossip
	engines *platform.Engines
	began   time.Time
	// registered is closed once the router knows the others of the store's rows.
	registered chan struct{}
	// done is closed once the router has learned what it can.
	done chan struct{}
}

func newWarmup(daemon *Daemon, exchange *gossip.Gossip) *warmup {
	return &warmup{
		daemon:     daemon,
		gossip:     exchange,
		engines:    &platform.Engines{Client: new(oncehttp.Client)},
		began:      exchange.Started,
		registered: make(chan struct{}),
		done:       make(chan struct{}),
	}
}

func (warmup *warmup) isDone() bool {
	select {
	case <-warmup.done:
		return true
	default:
		return false
	}
}

func (warmup *warmup) run(ctx context.Context) {
	defer close(warmup.done)
	bounded, cancel := context.WithTimeout(ctx, warmupTimeout)
	defer cancel()
	for !warmup.daemon.registry.Listed() || warmup.daemon.routes.Table() == nil {
		if !wait.For(bounded, warmupStep) {
			// Without the store there is nothing to learn from yet.
			return
		}
	}
	select {
	case <-warmup.registered:
	case <-bounded.Done():
		return
	}
	if !wait.For(bounded, peersWait) {
		return
	}
	if oldest, heard := warmup.gossip.OldestPeer(); heard && oldest.Add(olderBy).Before(warmup.began) {
		warmup.daemon.Logger.Info("Prompts learned from other routers.")
		return
	}
	warmup.askEngines(bounded)
}

// askEngines asks this router's part of the engines. The routers that start
// together tell each other.
func (warmup *warmup) askEngines(ctx context.Context) {
	routers := warmup.gossip.Addresses()
	var group errgroup.Group
	group.SetLimit(listCalls)
	asked := 0
	for _, upstream := range warmup.daemon.registry.Upstreams() {
		service, known := warmup.daemon.routes.Table().Service(upstream.Service)
		if !known || service.Slots == 0 || owner(upstream.ID, routers) != warmup.gossip.Address {
			continue
		}
		asked++
		group.Go(func() error { return warmup.ask(ctx, upstream) })
	}
	err := group.Wait()
	warmup.daemon.Logger.Info("Prompts learned from engines.", "Engines", asked, "Routers", len(routers), "Error", err)
}

func (warmup *warmup) ask(ctx context.Context, upstream registry.Upstream) error {
	bounded, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	parts, err := warmup.engines.Cached(bounded, upstream.Address)
	if err != nil {
		warmup.daemon.metrics.Happened("warmup.failed")
		return err
	}
	now := time.Now()
	for _, part := range parts {
		warmup.daemon.holders.Served(now, balance.Served{Key: ident.ChatID(part.ID), Upstream: upstream.ID})
	}
	return nil
}

// owner returns which of the routers asks an engine: the same for all routers
// that know the same ones.
func owner(upstream ident.UpstreamID, routers []string) string {
	var best string
	var highest uint64
	for _, router := range routers {
		if score := xxhash.Sum64String(string(upstream) + " " + router); best == "" || score > highest {
			best = router
			highest = score
		}
	}
	return best
}
