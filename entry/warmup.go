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
	// warmupTimeout bounds the time before the router serves without knowing what
	// the engines have cached.
	warmupTimeout = 1500 * time.Millisecond
	// peerWarmupTimeout bounds the wait for the updates of routers that started at
	// the same time.
	peerWarmupTimeout = 150 * time.Millisecond
	// peerReplyWait is the time within which a router that is already running
	// answers a new one.
	peerReplyWait = 50 * time.Millisecond
	// minPeerHeadStart is how much earlier another router must have started for
	// its cache index to replace the lists of the engines.
	minPeerHeadStart = 2 * time.Second
	// engineListTimeout bounds a call for the cached prompts of one engine.
	engineListTimeout = 400 * time.Millisecond
	// maxConcurrentListCalls bounds the engines that are called concurrently.
	maxConcurrentListCalls = 4
	// maxPartsPerEngine bounds the prompt parts that are recorded, and so sent to
	// other routers, for one engine. The longest are kept; all of them would fill
	// the links of small VMs.
	maxPartsPerEngine = 80
	// warmupPollInterval is the time between two checks of whether the upstreams
	// are listed or the other routers are warm.
	warmupPollInterval = 10 * time.Millisecond
)

// warmup fills the cache index before the router reports itself ready. The
// entries come from a router that started earlier, or else from the engines.
type warmup struct {
	daemon  *Daemon
	gossip  *gossip.Gossip
	engines *platform.Engines
	began   time.Time
	// registered is closed once the router is registered and has the addresses of
	// the other registered routers.
	registered chan struct{}
	// strikesRead is closed once the strikes in the store were read.
	strikesRead chan struct{}
	// splitsRead is closed once the splits in the store were read.
	splitsRead chan struct{}
	// localDone is closed once this router has filled its cache index as far as it
	// can by itself, or warmupTimeout has passed.
	localDone chan struct{}
	// allDone is closed once most other routers have announced the same, or
	// peerWarmupTimeout has passed.
	allDone chan struct{}
}

func newWarmup(daemon *Daemon, exchange *gossip.Gossip) *warmup {
	return &warmup{
		daemon:      daemon,
		gossip:      exchange,
		engines:     &platform.Engines{Client: new(oncehttp.Client)},
		began:       exchange.Started,
		registered:  make(chan struct{}),
		strikesRead: make(chan struct{}),
		splitsRead:  make(chan struct{}),
		localDone:   make(chan struct{}),
		allDone:     make(chan struct{}),
	}
}

// isRegistered reports whether registered is closed.
func (warmup *warmup) isRegistered() bool {
	select {
	case <-warmup.registered:
		return true
	default:
		return false
	}
}

// isLocalDone reports whether localDone is closed.
func (warmup *warmup) isLocalDone() bool {
	select {
	case <-warmup.localDone:
		return true
	default:
		return false
	}
}

// run fills the cache index and then waits for the other routers.
func (warmup *warmup) run(ctx context.Context) {
	defer close(warmup.allDone)
	warmup.fillCacheIndex(ctx)
	close(warmup.localDone)
	warmup.gossip.AnnounceWarm()
	bounded, cancel := context.WithTimeout(ctx, peerWarmupTimeout)
	defer cancel()
	for !warmup.gossip.MajorityWarm() && wait.Sleep(bounded, warmupPollInterval) {
		continue
	}
}

// fillCacheIndex waits for the entries of a router that started earlier.
// Without such a router it reads the lists of this router's share of the
// engines.
func (warmup *warmup) fillCacheIndex(ctx context.Context) {
	bounded, cancel := context.WithTimeout(ctx, warmupTimeout)
	defer cancel()
	for !warmup.daemon.registry.Loaded() || !warmup.daemon.evacuationsRead() {
		if !wait.Sleep(bounded, warmupPollInterval) {
			// Without the store no engine is known yet.
			return
		}
	}
	for _, read := range []chan struct{}{warmup.registered, warmup.strikesRead, warmup.splitsRead} {
		select {
		case <-read:
		case <-bounded.Done():
			return
		}
	}
	if !wait.Sleep(bounded, peerReplyWait) {
		return
	}
	if oldest, found := warmup.gossip.OldestPeer(); found && oldest.Add(minPeerHeadStart).Before(warmup.began) {
		warmup.daemon.Logger.Info("Cache index received from another router.")
		return
	}
	warmup.listEngines(bounded)
}

// listEngines reads the lists of this router's share of the engines. Routers
// that start together share the engines among them and exchange the entries by
// gossip.
func (warmup *warmup) listEngines(ctx context.Context) {
	routers := warmup.gossip.Addresses()
	var group errgroup.Group
	group.SetLimit(maxConcurrentListCalls)
	engines := 0
	for _, upstream := range warmup.daemon.registry.Upstreams() {
		if !upstream.Engine || assignedRouter(upstream.ID, routers) != warmup.gossip.Address {
			continue
		}
		if warmup.daemon.registry.Evacuated(upstream.Zone) {
			continue
		}
		engines++
		group.Go(func() error { return warmup.listEngine(ctx, upstream) })
	}
	err := group.Wait()
	warmup.daemon.Logger.Info("Cache index read from engines.", "Engines", engines, "Routers", len(routers), "Error", err)
}

// listEngine records the longest prompt parts that upstream has cached, unless its zone was
// evacuated while the call waited for others.
func (warmup *warmup) listEngine(ctx context.Context, upstream registry.Upstream) error {
	if warmup.daemon.registry.Evacuated(upstream.Zone) {
		return nil
	}
	bounded, cancel := context.WithTimeout(ctx, engineListTimeout)
	defer cancel()
	parts, head, err := warmup.engines.Cached(bounded, upstream.Address)
	if head.Leaving {
		warmup.daemon.handler.AnnounceLeaving(upstream.ID, upstream.Incarnation)
	}
	if err != nil {
		warmup.daemon.metrics.CountEvent("warmup.failed")
		return err
	}
	now := time.Now()
	for _, part := range longestParts(parts) {
		warmup.daemon.cacheIndex.RecordLocal(now, balance.CacheUpdate{Key: ident.ChatID(part.ID), Upstream: upstream.ID})
	}
	return nil
}

// longestParts returns the parts with the most tokens, which take longest to
// prefill again, at most maxPartsPerEngine of them.
func longestParts(parts []platform.CachedPart) []platform.CachedPart {
	sorted := slices.SortedFunc(slices.Values(parts), func(a, b platform.CachedPart) int { return cmp.Compare(b.Tokens, a.Tokens) })
	return sorted[:min(len(sorted), maxPartsPerEngine)]
}

// assignedRouter returns the router that reads the list of an engine, by
// rendezvous hashing. Routers that know the same routers agree on it.
func assignedRouter(upstream ident.UpstreamID, routers []string) string {
	var best string
	var highest uint64
	for _, router := range routers {
		if score := routerScore(string(upstream), router); best == "" || score > highest {
			best = router
			highest = score
		}
	}
	return best
}

// routerScore ranks routers for a key by rendezvous hashing, the highest first.
func routerScore(key, router string) uint64 { return xxhash.Sum64String(key + " " + router) }
