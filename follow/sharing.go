package follow

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/hickoryhead/hickoryhead/routing"
)

const (
	// Readers is how many routers follow the store closely for all.
	Readers = 2
	// aliveFor is how long after its last message a router is taken to run.
	aliveFor = 1500 * time.Millisecond
	// freshFor is how old another router's reading of the upstreams may be that
	// stands in for an own one.
	freshFor = 1100 * time.Millisecond
	// settleFor is the time in which two routers come to list the same.
	settleFor = 250 * time.Millisecond
	// RereadAfter is the longest time between two own readings, within the
	// history that the store keeps.
	RereadAfter = 10 * time.Second
)

// PeerState is what another router says of its readings of the store.
type PeerState struct {
	// StoreReachable says that the store answers it.
	StoreReachable bool
	// ReadAt is when it last read the upstreams, and Digest hashes what it lists.
	ReadAt time.Time
	Digest uint64
	Config routing.Version
}

// heardView is a View with the time at which it was heard.
type heardView struct {
	PeerState
	heardAt time.Time
}

// ReadScheduler decides when a router reads the store itself, so that a large fleet
// makes few calls: some read closely and tell the others, and each one reads
// for itself when it hears of no fresh reading, or of one that differs from
// what it has. Self is set before use. It is safe for concurrent use.
type ReadScheduler struct {
	// Self is the router's own address.
	Self string

	mu          sync.Mutex
	peers       map[string]heardView
	differSince time.Time
}

// ObservePeer takes in what the router at address says.
func (sharing *ReadScheduler) ObservePeer(now time.Time, address string, view PeerState) {
	sharing.mu.Lock()
	defer sharing.mu.Unlock()
	if sharing.peers == nil {
		sharing.peers = make(map[string]heardView)
	}
	sharing.peers[address] = heardView{PeerState: view, heardAt: now}
	for other, heard := range sharing.peers {
		if now.Sub(heard.heardAt) > aliveFor {
			delete(sharing.peers, other)
		}
	}
}

// IsReader reports whether this router is one of those that read closely.
func (sharing *ReadScheduler) IsReader(now time.Time) bool {
	sharing.mu.Lock()
	defer sharing.mu.Unlock()
	return sharing.reader(now)
}

// reader ranks the routers that run and reach the store. The caller holds mu.
func (sharing *ReadScheduler) reader(now time.Time) bool {
	before := 0
	own := rank(sharing.Self)
	for address, heard := range sharing.peers {
		if heard.StoreReachable && now.Sub(heard.heardAt) <= aliveFor && cmp.Compare(rank(address), own) < 0 {
			before++
		}
	}
	return before < Readers
}

func rank(address string) uint64 { return xxhash.Sum64String(address) }

// UpstreamsDue reports whether this router has to read the upstreams, which it
// read at readAt and which hash to digest.
func (sharing *ReadScheduler) UpstreamsDue(now, readAt time.Time, digest uint64) bool {
	sharing.mu.Lock()
	defer sharing.mu.Unlock()
	if sharing.reader(now) || now.Sub(readAt) >= RereadAfter {
		return true
	}
	fresh, equal := false, false
	for _, heard := range sharing.peers {
		if heard.StoreReachable && now.Sub(heard.ReadAt) <= freshFor && now.Sub(heard.heardAt) <= freshFor {
			fresh = true
			equal = equal || heard.Digest == digest
		}
	}
	if equal || !fresh {
		sharing.differSince = time.Time{}
		return !fresh
	}
	if sharing.differSince.IsZero() {
		sharing.differSince = now
	}
	return now.Sub(sharing.differSince) >= settleFor
}

// Newer returns at most count routers that have a newer configuration than
// version in force, in a random order.
func (sharing *ReadScheduler) Newer(now time.Time, version routing.Version, count int) []string {
	sharing.mu.Lock()
	defer sharing.mu.Unlock()
	var newer []string
	for address, heard := range sharing.peers {
		if heard.Config > version && now.Sub(heard.heardAt) <= aliveFor {
			newer = append(newer, address)
		}
	}
	rand.Shuffle(len(newer), func(i, j int) { newer[i], newer[j] = newer[j], newer[i] })
	return newer[:min(len(newer), count)]
}

// ConfigDue reports whether this router has to read the configuration, of which
// it has version and which it read at readAt.
func (sharing *ReadScheduler) ConfigDue(now, readAt time.Time, version routing.Version) bool {
	sharing.mu.Lock()
	defer sharing.mu.Unlock()
	if sharing.reader(now) || now.Sub(readAt) >= RereadAfter {
		return true
	}
	views := make([]heardView, 0, len(sharing.peers))
	for _, heard := range sharing.peers {
		if heard.Config > version {
			return true
		}
		views = append(views, heard)
	}
	return !slices.ContainsFunc(views, func(heard heardView) bool {
		return heard.StoreReachable && now.Sub(heard.ReadAt) <= freshFor && now.Sub(heard.heardAt) <= freshFor
	})
}
