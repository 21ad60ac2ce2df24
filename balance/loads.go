package balance

import (
	"maps"
	"sync"
	"time"

	"github.com/hickoryhead/hickoryhead/ident"
)

const (
	// peerLifetime is how long the counts of another router are believed after
	// its last message.
	peerLifetime = 3 * time.Second
	// reportLifetime is how long an upstream's own report is believed.
	reportLifetime = 1500 * time.Millisecond
)

// RouterID names one run of a router.
type RouterID string

// Load is what is in flight at an upstream.
type Load struct {
	//lint:ignore U1000 msgpack reads its tag: a load is written as an array
	_msgpack struct{} `msgpack:",as_array"`

	Requests int
	// PendingPrefill counts the prompt tokens that are still to be read for
	// requests without a first byte of their answer.
	PendingPrefill ident.Tokens
}

func (load Load) plus(other Load) Load {
	return Load{Requests: load.Requests + other.Requests, PendingPrefill: load.PendingPrefill + other.PendingPrefill}
}

// changed returns load where a part before of it has become after.
func (load Load) changed(before, after Load) Load { return load.minus(before).plus(after) }

func (load Load) minus(other Load) Load {
	return Load{Requests: max(load.Requests-other.Requests, 0), PendingPrefill: max(load.PendingPrefill-other.PendingPrefill, 0)}
}

// Counts holds what is in flight for each upstream.
type Counts map[ident.UpstreamID]Load

// report is what an upstream said of its load, beside what this router had in
// flight there at that moment.
type report struct {
	load int
	own  int
	at   time.Time
}

// peerCounts is what another router has in flight.
type peerCounts struct {
	counts    Counts
	sequence  uint64
	expiresAt time.Time
}

// Loads estimates the requests in flight at each upstream. The zero value knows
// of none. It is safe for concurrent use.
type Loads struct {
	mu      sync.Mutex
	own     Counts
	others  Counts
	reports map[ident.UpstreamID]report
	peers   map[RouterID]peerCounts
}

func (loads *Loads) prepare() {
	if loads.own == nil {
		loads.own = make(Counts)
		loads.others = make(Counts)
		loads.reports = make(map[ident.UpstreamID]report)
		loads.peers = make(map[RouterID]peerCounts)
	}
}

// Start counts a request that is sent to upstream, which has to read
// pendingPrefill tokens of its prompt.
func (loads *Loads) Start(upstream ident.UpstreamID, pendingPrefill ident.Tokens) {
	loads.mu.Lock()
	defer loads.mu.Unlock()
	loads.prepare()
	loads.own[upstream] = loads.own[upstream].plus(Load{Requests: 1, PendingPrefill: pendingPrefill})
}

// PrefillDone takes the tokens off again that an upstream has read.
func (loads *Loads) PrefillDone(upstream ident.UpstreamID, tokens ident.Tokens) {
	loads.mu.Lock()
	defer loads.mu.Unlock()
	loads.take(upstream, Load{PendingPrefill: tokens})
}

// End takes a request off again that has left pendingPrefill tokens unread.
func (loads *Loads) End(upstream ident.UpstreamID, pendingPrefill ident.Tokens) {
	loads.mu.Lock()
	defer loads.mu.Unlock()
	loads.take(upstream, Load{Requests: 1, PendingPrefill: pendingPrefill})
}

// take takes load off. The caller holds mu.
func (loads *Loads) take(upstream ident.UpstreamID, load Load) {
	loads.prepare()
	left := loads.own[upstream].minus(load)
	if left.Requests == 0 {
		delete(loads.own, upstream)
		return
	}
	loads.own[upstream] = left
}

// RecordReport takes in what an upstream said of its load.
func (loads *Loads) RecordReport(now time.Time, upstream ident.UpstreamID, load int) {
	loads.mu.Lock()
	defer loads.mu.Unlock()
	loads.prepare()
	loads.reports[upstream] = report{load: load, own: loads.own[upstream].Requests, at: now}
}

// Local returns what this router has in flight.
func (loads *Loads) Local() Counts {
	loads.mu.Lock()
	defer loads.mu.Unlock()
	return maps.Clone(loads.own)
}

// RemoteCounts is what another router says that it has in flight.
type RemoteCounts struct {
	Router RouterID
	// Sequence counts the messages of the router.
	Sequence uint64
	// Complete says that the router has nothing in flight at upstreams that are
	// not among the counts; else their counts stand as they were.
	Complete bool
	Counts   Counts
}

// ApplyRemote takes in what another router has in flight, unless a message with
// a higher sequence number came before.
func (loads *Loads) ApplyRemote(now time.Time, remote RemoteCounts) {
	loads.mu.Lock()
	defer loads.mu.Unlock()
	loads.prepare()
	present, known := loads.peers[remote.Router]
	if known && remote.Sequence <= present.sequence {
		return
	}
	if present.counts == nil {
		present.counts = make(Counts)
	}
	if remote.Complete {
		loads.drop(present.counts, remote.Counts)
	}
	for upstream, load := range remote.Counts {
		loads.replace(present.counts, upstream, load)
	}
	present.sequence = remote.Sequence
	present.expiresAt = now.Add(peerLifetime)
	loads.peers[remote.Router] = present
}

// drop takes off what counts holds for upstreams that are not in kept. The
// caller holds mu.
func (loads *Loads) drop(counts, kept Counts) {
	for upstream := range counts {
		if _, stays := kept[upstream]; !stays {
			loads.replace(counts, upstream, Load{})
		}
	}
}

// replace sets what counts holds for upstream to load. The caller holds mu.
func (loads *Loads) replace(counts Counts, upstream ident.UpstreamID, load Load) {
	set(loads.others, upstream, loads.others[upstream].changed(counts[upstream], load))
	set(counts, upstream, load)
}

// set sets what counts holds for upstream to load, which may be nothing.
func set(counts Counts, upstream ident.UpstreamID, load Load) {
	if load == (Load{}) {
		delete(counts, upstream)
		return
	}
	counts[upstream] = load
}

// Expire drops the counts of routers that fell silent, and returns their IDs.
func (loads *Loads) Expire(now time.Time) []RouterID {
	loads.mu.Lock()
	defer loads.mu.Unlock()
	var expired []RouterID
	for router, peer := range loads.peers {
		if now.Before(peer.expiresAt) {
			continue
		}
		loads.drop(peer.counts, nil)
		delete(loads.peers, router)
		expired = append(expired, router)
	}
	return expired
}

// PeerCount returns how many other routers are heard of.
func (loads *Loads) PeerCount() int {
	loads.mu.Lock()
	defer loads.mu.Unlock()
	return len(loads.peers)
}

// Estimate returns what is in flight at upstream.
func (loads *Loads) Estimate(now time.Time, upstream ident.UpstreamID) Load {
	loads.mu.Lock()
	defer loads.mu.Unlock()
	own := loads.own[upstream]
	if len(loads.peers) > 0 {
		return own.plus(loads.others[upstream])
	}
	last, found := loads.reports[upstream]
	if !found || now.After(last.at.Add(reportLifetime)) {
		return own
	}
	own.Requests = max(own.Requests, last.load+own.Requests-last.own)
	return own
}
