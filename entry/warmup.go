package entry

import (
	"cmp"
	"context"
	"slices"
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
	// settleTimeout bounds the wait for what other routers learn that started at
	// the same time.
	settleTimeout = 150 * time.Millisecond
	// peersWait is the time in which a router that ran before answers a new one.
	peersWait = 50 * time.Millisecond
	// olderBy is how much longer another router must have run to be asked
	// instead of the engines.
	olderBy = 2 * time.Second
	// listTimeout bounds a call for what one engine has cached.
	listTimeout = 400 * time.Millisecond
	// listCalls bounds the calls at the same time.
	listCalls = 4
	// listedParts bounds the parts of prompts that are told of one engine, the
	// longest first: all that it has cached would fill the links of small VMs.
	listedParts = 80
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
	// done is closed once the router has learned what it can by itself, and
	// settled once the others have told it what they learned.
	done    chan struct{}
	settled chan struct{}
}

func newWarmup(daemon *Daemon, exchange *gossip.Gossip) *warmup {
	return &warmup{
		daemon:     daemon,
		gossip:     exchange,
		engines:    &platform.Engines{Client: new(oncehttp.Client)},
		began:      exchange.Started,
		registered: make(chan struct{}),
		done:       make(chan struct{}),
		settled:    make(chan struct{}),
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
	defer close(warmup.settled)
	warmup.learn(ctx)
	close(warmup.done)
	warmup.gossip.AnnounceWarm()
	bounded, cancel := context.WithTimeout(ctx, settleTimeout)
	defer cancel()
	for !warmup.gossip.MajorityWarm() && wait.Sleep(bounded, warmupStep) {
		continue
	}
}

// learn asks a router that runs for longer, or this router's part of the
// engines.
func (warmup *warmup) learn(ctx context.Context) {
	bounded, cancel := context.WithTimeout(ctx, warmupTimeout)
	defer cancel()
	for !warmup.daemon.registry.Loaded() {
		if !wait.Sleep(bounded, warmupStep) {
			// Without the store there is nothing to learn from yet.
			return
		}
	}
	select {
	case <-warmup.registered:
	case <-bounded.Done():
		return
	}
	if !wait.Sleep(bounded, peersWait) {
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
		if !upstream.Engine || owner(upstream.ID, routers) != warmup.gossip.Address {
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
		warmup.daemon.metrics.CountEvent("warmup.failed")
		return err
	}
	now := time.Now()
	for _, part := range longest(parts) {
		warmup.daemon.cacheIndex.RecordLocal(now, balance.CacheUpdate{Key: ident.ChatID(part.ID), Upstream: upstream.ID})
	}
	return nil
}

// longest returns the parts that take longest to be read again.
func longest(parts []platform.CachedPart) []platform.CachedPart {
	sorted := slices.SortedFunc(slices.Values(parts), func(a, b platform.CachedPart) int { return cmp.Compare(b.Tokens, a.Tokens) })
	return sorted[:min(len(sorted), listedParts)]
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
