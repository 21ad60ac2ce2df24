package follow

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/hickoryhead/hickoryhead/routing"
)

const (
	// ReaderCount is the number of routers that read the store all the time, on
	// behalf of the others too.
	ReaderCount = 2
	// minPeerTimeout is how long after its last message a router is assumed to run, at
	// least, and missedMessages how many messages may be lost before that.
	minPeerTimeout = 1500 * time.Millisecond
	missedMessages = 2
	// minReadAge is the maximum age of another router's read of the upstreams that makes a
	// read of its own unnecessary, at least: readPeriod, the time between two reads by a
	// reader with the time that the store takes, and the time that a message takes.
	minReadAge = 1100 * time.Millisecond
	readPeriod = 700 * time.Millisecond
	// minDigestSettleTime is how long the digests of two routers may differ before
	// a read is due, at least. Changes take this long to reach every router.
	minDigestSettleTime = 250 * time.Millisecond
	// MaxReadInterval is the maximum time between two reads by the same router.
	// The store keeps the history of changes for longer than this.
	MaxReadInterval = 10 * time.Second
)

// PeerState is the state of another router's reads of the store.
type PeerState struct {
	// StoreReachable says that the store answers the router.
	StoreReachable bool
	// ReadAt is the time of its last read of the upstreams, and Digest a hash of
	// the upstreams that it lists.
	ReadAt time.Time
	Digest uint64
	// ConfigVersion is the version of its configuration in force.
	ConfigVersion routing.Version
}

// observedState is a PeerState with the time at which it was received.
type observedState struct {
	PeerState
	receivedAt time.Time
}

// ReadScheduler decides when a router reads the store itself, so that a large
// fleet makes few calls. Some routers, the readers, read the store all the time
// and send the changes to the others. Any other router reads the store only if
// it knows of no recent read by another router, if its own data differs from
// that of the others, or if its last read is MaxReadInterval ago. Self has to be
// set before use. A ReadScheduler is safe for concurrent use.
type ReadScheduler struct {
	// Self is the address of this router.
	Self string
	// Delay returns the time that a message takes from one router to every other one. A
	// nil Delay means that the least times apply.
	Delay func() time.Duration

	mu                 sync.Mutex
	peers              map[string]observedState
	digestDiffersSince time.Time
}

// delay returns the time that a message takes.
func (scheduler *ReadScheduler) delay() time.Duration {
	if scheduler.Delay == nil {
		return 0
	}
	return scheduler.Delay()
}

// peerTimeout returns how long after its last message a router is assumed to run.
func (scheduler *ReadScheduler) peerTimeout() time.Duration {
	return max(minPeerTimeout, (1+missedMessages)*scheduler.delay())
}

// digestSettleTime returns how long the digests of two routers may differ before a read
// is due.
func (scheduler *ReadScheduler) digestSettleTime() time.Duration {
	return max(minDigestSettleTime, scheduler.delay())
}

// hasRead reports whether another router has read the upstreams so recently that a read of
// its own is unnecessary.
func (scheduler *ReadScheduler) hasRead(now time.Time, state observedState) bool {
	maxAge := max(minReadAge, readPeriod+scheduler.delay())
	return state.StoreReachable && now.Sub(state.ReadAt) <= maxAge && now.Sub(state.receivedAt) <= maxAge
}

// ObservePeer records the state of the router at address and removes routers
// that sent no message within peerTimeout.
func (scheduler *ReadScheduler) ObservePeer(now time.Time, address string, state PeerState) {
	scheduler.mu.Lock()
	defer scheduler.mu.Unlock()
	if scheduler.peers == nil {
		scheduler.peers = make(map[string]observedState)
	}
	scheduler.peers[address] = observedState{PeerState: state, receivedAt: now}
	timeout := scheduler.peerTimeout()
	for other, state := range scheduler.peers {
		if now.Sub(state.receivedAt) > timeout {
			delete(scheduler.peers, other)
		}
	}
}

// IsReader reports whether this router is one of the readers.
func (scheduler *ReadScheduler) IsReader(now time.Time) bool {
	scheduler.mu.Lock()
	defer scheduler.mu.Unlock()
	return scheduler.isReader(now)
}

// isReader reports whether fewer than ReaderCount running routers that reach the
// store rank before this one. The caller holds mu.
func (scheduler *ReadScheduler) isReader(now time.Time) bool {
	timeout := scheduler.peerTimeout()
	ownRank := Rank(scheduler.Self)
	rankedBefore := scheduler.count(func(address string, state observedState) bool {
		return state.StoreReachable && now.Sub(state.receivedAt) <= timeout && Rank(address) < ownRank
	})
	return rankedBefore < ReaderCount
}

// count returns the number of routers for which condition reports true. The caller holds
// mu.
func (scheduler *ReadScheduler) count(condition func(address string, state observedState) bool) int {
	count := 0
	for address, state := range scheduler.peers {
		if condition(address, state) {
			count++
		}
	}
	return count
}

// readers returns the number of other routers that have read the upstreams lately. The
// caller holds mu.
func (scheduler *ReadScheduler) readers(now time.Time) int {
	return scheduler.count(func(_ string, state observedState) bool { return scheduler.hasRead(now, state) })
}

// Spare reports whether enough other routers have read the upstreams lately, so that this
// one may wait after a call that failed: the store may turn only some routers away.
func (scheduler *ReadScheduler) Spare(now time.Time) bool {
	scheduler.mu.Lock()
	defer scheduler.mu.Unlock()
	return scheduler.readers(now) >= ReaderCount
}

// Rank ranks routers as readers of the store, the lowest first.
func Rank(address string) uint64 { return xxhash.Sum64String(address) }

// UpstreamsDue reports whether this router has to read the upstreams now. readAt
// is the time of its last read, and digest a hash of the upstreams it lists.
func (scheduler *ReadScheduler) UpstreamsDue(now, readAt time.Time, digest uint64) bool {
	scheduler.mu.Lock()
	defer scheduler.mu.Unlock()
	if scheduler.isReader(now) || now.Sub(readAt) >= MaxReadInterval {
		return true
	}
	recentRead, sameDigest := false, false
	for _, state := range scheduler.peers {
		if scheduler.hasRead(now, state) {
			recentRead = true
			sameDigest = sameDigest || state.Digest == digest
		}
	}
	if sameDigest || !recentRead {
		scheduler.digestDiffersSince = time.Time{}
		return !recentRead
	}
	if scheduler.digestDiffersSince.IsZero() {
		scheduler.digestDiffersSince = now
	}
	return now.Sub(scheduler.digestDiffersSince) >= scheduler.digestSettleTime()
}

// Newer returns the addresses of at most count routers that have a configuration
// newer than version in force. They are picked at random.
func (scheduler *ReadScheduler) Newer(now time.Time, version routing.Version, count int) []string {
	scheduler.mu.Lock()
	defer scheduler.mu.Unlock()
	var newer []string
	timeout := scheduler.peerTimeout()
	for address, state := range scheduler.peers {
		if state.ConfigVersion > version && now.Sub(state.receivedAt) <= timeout {
			newer = append(newer, address)
		}
	}
	rand.Shuffle(len(newer), func(i, j int) { newer[i], newer[j] = newer[j], newer[i] })
	return newer[:min(len(newer), count)]
}

// ConfigDue reports whether this router has to read the configuration now.
// readAt is the time of its last read, and version the version it has.
func (scheduler *ReadScheduler) ConfigDue(now, readAt time.Time, version routing.Version) bool {
	scheduler.mu.Lock()
	defer scheduler.mu.Unlock()
	if scheduler.isReader(now) || now.Sub(readAt) >= MaxReadInterval {
		return true
	}
	for _, state := range scheduler.peers {
		if state.ConfigVersion > version {
			return true
		}
	}
	return scheduler.readers(now) == 0
}
