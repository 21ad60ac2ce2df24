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

// observedState is a PeerState with the time at which it was heard.
type observedState struct {
	PeerState
	heardAt time.Time
}

// ReadScheduler decides when a router reads the store itself, so that a large
// fleet makes few calls: some read closely and tell the others, and each one
// reads for itself when it hears of no fresh reading, or of one that differs
// from what it has. Self is set before use. It is safe for concurrent use.
type ReadScheduler struct {
	// Self is the router's own address.
	Self string

	mu          sync.Mutex
	peers       map[string]observedState
	differSince time.Time
}

// ObservePeer takes in what the router at address says.
func (scheduler *ReadScheduler) ObservePeer(now time.Time, address string, state PeerState) {
	scheduler.mu.Lock()
	defer scheduler.mu.Unlock()
	if scheduler.peers == nil {
		scheduler.peers = make(map[string]observedState)
	}
	scheduler.peers[address] = observedState{PeerState: state, heardAt: now}
	for other, state := range scheduler.peers {
		if now.Sub(state.heardAt) > aliveFor {
			delete(scheduler.peers, other)
		}
	}
}

// IsReader reports whether this router is one of those that read closely.
func (scheduler *ReadScheduler) IsReader(now time.Time) bool {
	scheduler.mu.Lock()
	defer scheduler.mu.Unlock()
	return scheduler.reader(now)
}

// reader ranks the routers that run and reach the store. The caller holds mu.
func (scheduler *ReadScheduler) reader(now time.Time) bool {
	before := 0
	own := rank(scheduler.Self)
	for address, state := range scheduler.peers {
		if state.StoreReachable && now.Sub(state.heardAt) <= aliveFor && cmp.Compare(rank(address), own) < 0 {
			before++
		}
	}
	return before < Readers
}

func rank(address string) uint64 { return xxhash.Sum64String(address) }

// UpstreamsDue reports whether this router has to read the upstreams, which it
// read at readAt and which hash to digest.
func (scheduler *ReadScheduler) UpstreamsDue(now, readAt time.Time, digest uint64) bool {
	scheduler.mu.Lock()
	defer scheduler.mu.Unlock()
	if scheduler.reader(now) || now.Sub(readAt) >= RereadAfter {
		return true
	}
	fresh, equal := false, false
	for _, state := range scheduler.peers {
		if state.StoreReachable && now.Sub(state.ReadAt) <= freshFor && now.Sub(state.heardAt) <= freshFor {
			fresh = true
			equal = equal || state.Digest == digest
		}
	}
	if equal || !fresh {
		scheduler.differSince = time.Time{}
		return !fresh
	}
	if scheduler.differSince.IsZero() {
		scheduler.differSince = now
	}
	return now.Sub(scheduler.differSince) >= settleFor
}

// Newer returns at most count routers that have a newer configuration than
// version in force, in a random order.
func (scheduler *ReadScheduler) Newer(now time.Time, version routing.Version, count int) []string {
	scheduler.mu.Lock()
	defer scheduler.mu.Unlock()
	var newer []string
	for address, state := range scheduler.peers {
		if state.Config > version && now.Sub(state.heardAt) <= aliveFor {
			newer = append(newer, address)
		}
	}
	rand.Shuffle(len(newer), func(i, j int) { newer[i], newer[j] = newer[j], newer[i] })
	return newer[:min(len(newer), count)]
}

// ConfigDue reports whether this router has to read the configuration, of which
// it has version and which it read at readAt.
func (scheduler *ReadScheduler) ConfigDue(now, readAt time.Time, version routing.Version) bool {
	scheduler.mu.Lock()
	defer scheduler.mu.Unlock()
	if scheduler.reader(now) || now.Sub(readAt) >= RereadAfter {
		return true
	}
	states := make([]observedState, 0, len(scheduler.peers))
	for _, state := range scheduler.peers {
		if state.Config > version {
			return true
		}
		states = append(states, state)
	}
	return !slices.ContainsFunc(states, func(state observedState) bool {
		return state.StoreReachable && now.Sub(state.ReadAt) <= freshFor && now.Sub(state.heardAt) <= freshFor
	})
}
