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

// Counts holds requests in flight for each upstream.
type Counts map[ident.UpstreamID]int

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

// Start counts a request that is sent to upstream.
func (loads *Loads) Start(upstream ident.UpstreamID) {
	loads.mu.Lock()
	defer loads.mu.Unlock()
	loads.prepare()
	loads.own[upstream]++
}

// End takes a request off again.
func (loads *Loads) End(upstream ident.UpstreamID) {
	loads.mu.Lock()
	defer loads.mu.Unlock()
	loads.own[upstream]--
	if loads.own[upstream] <= 0 {
		delete(loads.own, upstream)
	}
}

// Reported takes in what an upstream said of its load.
func (loads *Loads) Reported(now time.Time, upstream ident.UpstreamID, load int) {
	loads.mu.Lock()
	defer loads.mu.Unlock()
	loads.prepare()
	loads.reports[upstream] = report{load: load, own: loads.own[upstream], at: now}
}

// Own returns what this router has in flight.
func (loads *Loads) Own() Counts {
	loads.mu.Lock()
	defer loads.mu.Unlock()
	return maps.Clone(loads.own)
}

// Heard takes in what another router has in flight, unless a message with a
// higher sequence number came before.
func (loads *Loads) Heard(now time.Time, router RouterID, sequence uint64, counts Counts) {
	loads.mu.Lock()
	defer loads.mu.Unlock()
	loads.prepare()
	present, known := loads.peers[router]
	if known && sequence <= present.sequence {
		return
	}
	loads.add(present.counts, -1)
	loads.add(counts, 1)
	loads.peers[router] = peerCounts{counts: counts, sequence: sequence, expiresAt: now.Add(peerLifetime)}
}

func (loads *Loads) add(counts Counts, sign int) {
	for upstream, count := range counts {
		loads.others[upstream] += sign * count
		if loads.others[upstream] <= 0 {
			delete(loads.others, upstream)
		}
	}
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
		loads.add(peer.counts, -1)
		delete(loads.peers, router)
		expired = append(expired, router)
	}
	return expired
}

// Routers returns how many other routers are heard of.
func (loads *Loads) Routers() int {
	loads.mu.Lock()
	defer loads.mu.Unlock()
	return len(loads.peers)
}

// Estimate returns the requests in flight at upstream.
func (loads *Loads) Estimate(now time.Time, upstream ident.UpstreamID) int {
	loads.mu.Lock()
	defer loads.mu.Unlock()
	own := loads.own[upstream]
	if len(loads.peers) > 0 {
		return own + loads.others[upstream]
	}
	last, found := loads.reports[upstream]
	if !found || now.After(last.at.Add(reportLifetime)) {
		return own
	}
	return max(own, last.load+own-last.own)
}
