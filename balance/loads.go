package balance

import (
	"maps"
	"sync"
	"time"

	"github.com/hickoryhead/hickoryhead/ident"
	"github.com/hickoryhead/hickoryhead/registry"
)

const (
	// peerCountsTTL is how long the counts of another router are assumed valid
	// after its last message.
	peerCountsTTL = 3 * time.Second
	// reportTTL is how long an upstream's own report is assumed valid.
	reportTTL = 1500 * time.Millisecond
)

// RouterID identifies one run of a router: a restarted router has a new ID.
type RouterID string

// Load is the load of an upstream.
type Load struct {
	//lint:ignore U1000 msgpack reads its tag: a load is written as an array
	_msgpack struct{} `msgpack:",as_array"`

	// Requests counts the requests in flight.
	Requests int
	// PendingPrefill counts the prompt tokens still to be prefilled, over the
	// requests whose answer has not started yet.
	PendingPrefill ident.Tokens
}

func (load Load) plus(other Load) Load {
	return Load{Requests: load.Requests + other.Requests, PendingPrefill: load.PendingPrefill + other.PendingPrefill}
}

// adjust returns load after one of its contributions has changed from before to
// after.
func (load Load) adjust(before, after Load) Load { return load.minus(before).plus(after) }

// minus returns the difference, with negative values replaced by zero.
func (load Load) minus(other Load) Load {
	return Load{Requests: max(load.Requests-other.Requests, 0), PendingPrefill: max(load.PendingPrefill-other.PendingPrefill, 0)}
}

// Counts holds the load of each upstream; upstreams without load have no entry.
type Counts map[ident.UpstreamID]Load

// report is an upstream's own report of its load.
type report struct {
	requests int
	// local is how many requests this router had in flight there at that time.
	local int
	at    time.Time
}

// peerCounts is what another router has in flight.
type peerCounts struct {
	counts    Counts
	sequence  uint64
	expiresAt time.Time
}

// Loads estimates the load of each upstream. The zero value is ready for use and
// has no load recorded. It is safe for concurrent use.
type Loads struct {
	mu sync.Mutex
	// local is what this router has in flight, and remote the sum over peers.
	local   Counts
	remote  totals[ident.UpstreamID]
	reports map[ident.UpstreamID]report
	// generation is how many tokens this router's requests are expected to be sent yet.
	// It is no part of Load, which other routers decode field by field.
	generation map[ident.UpstreamID]ident.Tokens
	peers      map[RouterID]peerCounts
	// sums holds the loads of groups of routers, and summed their total.
	sums   map[GroupID]groupSum
	summed totals[UpstreamKey]
}

func (loads *Loads) initMaps() {
	if loads.local == nil {
		loads.local = make(Counts)
		loads.remote = make(totals[ident.UpstreamID])
		loads.reports = make(map[ident.UpstreamID]report)
		loads.generation = make(map[ident.UpstreamID]ident.Tokens)
		loads.peers = make(map[RouterID]peerCounts)
		loads.sums = make(map[GroupID]groupSum)
		loads.summed = make(totals[UpstreamKey])
	}
}

// Start counts a request that is sent to upstream, which has to prefill
// pendingPrefill tokens of its prompt.
func (loads *Loads) Start(upstream ident.UpstreamID, pendingPrefill ident.Tokens) {
	loads.mu.Lock()
	defer loads.mu.Unlock()
	loads.initMaps()
	loads.local[upstream] = loads.local[upstream].plus(Load{Requests: 1, PendingPrefill: pendingPrefill})
}

// PrefillDone subtracts tokens that upstream has prefilled.
func (loads *Loads) PrefillDone(upstream ident.UpstreamID, tokens ident.Tokens) {
	loads.mu.Lock()
	defer loads.mu.Unlock()
	loads.subtractLocal(upstream, Load{PendingPrefill: tokens})
}

// End subtracts a request that ended with pendingPrefill tokens still to be
// prefilled.
func (loads *Loads) End(upstream ident.UpstreamID, pendingPrefill ident.Tokens) {
	loads.mu.Lock()
	defer loads.mu.Unlock()
	loads.subtractLocal(upstream, Load{Requests: 1, PendingPrefill: pendingPrefill})
}

// AddGeneration adds tokens that upstream is expected to generate for a request of this
// router, or subtracts them if the number is negative.
func (loads *Loads) AddGeneration(upstream ident.UpstreamID, tokens ident.Tokens) {
	loads.mu.Lock()
	defer loads.mu.Unlock()
	loads.initMaps()
	remaining := loads.generation[upstream] + tokens
	if remaining <= 0 {
		delete(loads.generation, upstream)
		return
	}
	loads.generation[upstream] = remaining
}

// LocalPrefill returns the pending prefill of this router's own requests at upstream.
func (loads *Loads) LocalPrefill(upstream ident.UpstreamID) ident.Tokens {
	loads.mu.Lock()
	defer loads.mu.Unlock()
	return loads.local[upstream].PendingPrefill
}

// Generation returns how many tokens upstream is expected to generate yet for the
// requests of this router.
func (loads *Loads) Generation(upstream ident.UpstreamID) ident.Tokens {
	loads.mu.Lock()
	defer loads.mu.Unlock()
	return loads.generation[upstream]
}

// subtractLocal subtracts load from what this router has in flight at upstream.
// The caller holds mu.
func (loads *Loads) subtractLocal(upstream ident.UpstreamID, load Load) {
	loads.initMaps()
	remaining := loads.local[upstream].minus(load)
	if remaining.Requests == 0 {
		delete(loads.local, upstream)
		return
	}
	loads.local[upstream] = remaining
}

// RecordReport records an upstream's own report of its load, in requests.
func (loads *Loads) RecordReport(now time.Time, upstream ident.UpstreamID, load int) {
	loads.mu.Lock()
	defer loads.mu.Unlock()
	loads.initMaps()
	loads.reports[upstream] = report{requests: load, local: loads.local[upstream].Requests, at: now}
}

// Local returns a copy of what this router has in flight.
func (loads *Loads) Local() Counts {
	loads.mu.Lock()
	defer loads.mu.Unlock()
	return maps.Clone(loads.local)
}

// RemoteCounts is a message of another router about what it has in flight.
type RemoteCounts struct {
	Router RouterID
	// Sequence increases with each message of the router.
	Sequence uint64
	// Complete is set if the router has nothing in flight at upstreams that are
	// not in Counts. Otherwise Counts holds changes only, and the previous counts
	// of other upstreams remain valid.
	Complete bool
	Counts   Counts
	// ExpiresAt is when the counts are no longer assumed valid; zero means peerCountsTTL
	// after the message.
	ExpiresAt time.Time
}

// ApplyRemote records what another router has in flight. It ignores a message
// whose sequence number is not above that of the last one applied.
func (loads *Loads) ApplyRemote(now time.Time, remote RemoteCounts) {
	loads.mu.Lock()
	defer loads.mu.Unlock()
	loads.initMaps()
	peer, known := loads.peers[remote.Router]
	if known && remote.Sequence <= peer.sequence {
		return
	}
	if peer.counts == nil {
		peer.counts = make(Counts)
	}
	loads.remote.apply(peer.counts, remote.Counts, remote.Complete)
	peer.sequence = remote.Sequence
	peer.expiresAt = remote.ExpiresAt
	if peer.expiresAt.IsZero() {
		peer.expiresAt = now.Add(peerCountsTTL)
	}
	loads.peers[remote.Router] = peer
}

// Expire removes the counts of routers that have sent no message within
// peerCountsTTL, and returns their IDs.
func (loads *Loads) Expire(now time.Time) []RouterID {
	loads.mu.Lock()
	defer loads.mu.Unlock()
	var expired []RouterID
	for router, peer := range loads.peers {
		if now.Before(peer.expiresAt) {
			continue
		}
		loads.forgetPeer(router)
		expired = append(expired, router)
	}
	loads.expireSums(now)
	return expired
}

// PeerCount returns the number of other routers whose counts have not expired.
func (loads *Loads) PeerCount() int {
	loads.mu.Lock()
	defer loads.mu.Unlock()
	count := len(loads.peers)
	for _, sum := range loads.sums {
		count += sum.routers
	}
	return count
}

// Estimate returns the estimated load of upstream.
func (loads *Loads) Estimate(now time.Time, upstream ident.UpstreamID) Load {
	loads.mu.Lock()
	defer loads.mu.Unlock()
	return loads.estimate(now, upstream)
}

// EstimateEach calls visit for each of the upstreams, in order, with its estimated load and
// what this router has in flight there. visit must not call loads.
func (loads *Loads) EstimateEach(now time.Time, upstreams []registry.Upstream, visit func(index int, estimated, local Load)) {
	loads.mu.Lock()
	defer loads.mu.Unlock()
	for i := range upstreams {
		visit(i, loads.estimate(now, upstreams[i].ID), loads.local[upstreams[i].ID])
	}
}

// estimate returns Estimate. The caller holds mu.
func (loads *Loads) estimate(now time.Time, upstream ident.UpstreamID) Load {
	local := loads.local[upstream]
	if len(loads.peers)+len(loads.sums) > 0 {
		return local.plus(loads.remote[upstream]).plus(loads.summed[KeyOf(upstream)])
	}
	last, found := loads.reports[upstream]
	if !found || now.After(last.at.Add(reportTTL)) {
		return local
	}
	local.Requests = max(local.Requests, last.requests+local.Requests-last.local)
	return local
}
