package gossip

import (
	"context"
	"log/slog"
	"maps"
	"net"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/hickoryhead/hickoryhead/balance"
	"github.com/hickoryhead/hickoryhead/evacuation"
	"github.com/hickoryhead/hickoryhead/health"
	"github.com/hickoryhead/hickoryhead/ident"
	"github.com/hickoryhead/hickoryhead/metrics"
	"github.com/hickoryhead/hickoryhead/quota"
	"github.com/hickoryhead/hickoryhead/registry"
	"github.com/hickoryhead/hickoryhead/split"
	"github.com/hickoryhead/hickoryhead/strike"
)

const (
	// A router that sent nothing for unresponsiveAfter gets messages only every
	// keepaliveInterval. One that sent nothing for removeAfter is removed.
	unresponsiveAfter = 5 * time.Second
	removeAfter       = 2 * time.Minute
	// liveTimeout is how long after its last message a router is assumed to take its
	// share of the limits of upstreams, at least.
	liveTimeout = 3 * time.Second
	// majorityShare is the share of the other routers that MajorityWarm requires.
	majorityShare = 0.7
)

// peer is another router.
type peer struct {
	// name is the address as text, address the same for the socket, and hash its hash.
	name    string
	hash    uint64
	address *net.UDPAddr
	// registered is set if the address is registered in the store.
	registered bool
	// receivedAt is when a message of the router came, or one of another router in its
	// group that lists it, and directAt when the last Message of it came.
	receivedAt time.Time
	directAt   time.Time
	sentAt     time.Time
	// addedAt is when its address became known, which counts as receivedAt at first.
	addedAt time.Time
	// greetedAt is when the router last got a hello because it sent a Message, and helloAt
	// when it last got an answer to one.
	greetedAt time.Time
	helloAt   time.Time
	// router identifies the run of the router that sent the last message. It is
	// empty until a message was received. earlier are the runs before it.
	router  balance.RouterID
	earlier []balance.RouterID
	// sequences and summarySequences are the numbers of the messages and summaries of
	// that run that were received.
	sequences        replayWindow
	summarySequences replayWindow
	// startedAt is when that run started.
	startedAt time.Time
	// warm is Message.Warm of the last message.
	warm bool
	// summaries is set if the router understands a SummaryMessage. zone is its
	// availability zone then, and group the group that it is in.
	summaries bool
	zone      ident.Zone
	group     group
	// state is what its last Message says of the store.
	state StateItem
	// strikeSends is how many more times all strikes are sent to the router.
	strikeSends int
	// runSince is when the first message of that run came, and versionsRun the run that
	// sent the last VersionMessage.
	runSince    time.Time
	versionsRun balance.RouterID
	// correctedAt is when the router was last sent newer states of evacuations than it had.
	correctedAt time.Time
}

// Gossip exchanges messages with the other routers. Its exported fields have to
// be set before use. Its methods are safe for concurrent use.
type Gossip struct {
	// Router identifies this run of the router.
	Router balance.RouterID
	// Started is when the router started.
	Started time.Time
	// Address is the address of Conn, as IP:port. It identifies this router to
	// the others.
	Address string
	// Zone is the router's availability zone.
	Zone ident.Zone
	// Conn sends and receives the datagrams. Run closes it.
	Conn       net.PacketConn
	Loads      *balance.Loads
	CacheIndex *balance.CacheIndex
	Health     *health.Tracker
	// Strikes are exchanged with the other routers, unless nil.
	Strikes *strike.Guard
	// Quota has the limits of upstreams that are exchanged, unless nil.
	Quota *quota.Tracker
	// Evacuations has the evacuated zones that other routers are told, unless nil.
	// OnEvacuations, if set, is called with those that another router at address knows, and
	// returns the newer states that it lacks.
	Evacuations   *evacuation.Tracker
	OnEvacuations func(states []evacuation.State, address string) []evacuation.State
	// Fill sets the fields of an outgoing message that describe the store and the
	// router's zone. It is called with a lock held and must not call methods of
	// Gossip.
	Fill func(now time.Time, message *Message)
	// OnMessage is called with each message received, after its counts and cache
	// updates are applied. It is also called for each router whose state arrives in a
	// summary, with only the fields that describe the store set.
	OnMessage func(now time.Time, message Message)
	// OnSummary, if set, is called with each summary that has changes of upstreams or
	// outcomes.
	OnSummary func(now time.Time, message SummaryMessage)
	// OnVersions, if set, is called with each VersionMessage received.
	OnVersions func(now time.Time, message VersionMessage)
	// Splits, if set, returns the splits that a router which has just started is sent.
	Splits  func() []split.Split
	Metrics *metrics.Set
	Logger  *slog.Logger

	mu       sync.Mutex
	peers    map[string]*peer
	sequence uint64
	delta    deltaEncoder[ident.UpstreamID]
	sentAt   time.Time
	changes  []registry.Change
	warm     bool

	// topology is whom the router sends what, as of laidOutAt. topologyStale is set if
	// it has to be determined again.
	topology      topology
	laidOutAt     time.Time
	topologyStale bool
	// groups holds what the summaries of other groups said, and left the runs that have
	// announced that they stop, with the time of that.
	groups map[balance.GroupID]*remoteGroup
	left   map[balance.RouterID]time.Time
	relay  relay
	// stateRequests is how many routers were asked for their state.
	stateRequests int
	// evacuationsAt is when the evacuations are repeated.
	evacuationsAt time.Time
	// coldsAt is when the next ColdMessage is sent, zero if that is not determined, and
	// coldsPausedUntil when what the last one took is over.
	coldsAt          time.Time
	coldsPausedUntil time.Time
	// coldsPostponed is set if the next one was postponed since there is much news.
	coldsPostponed bool
}

// Add adds the router at address, an IP:port, to the peers and immediately greets it. It
// ignores the router's own address and an invalid one. The address is one that is registered in
// the store, and takes the place of one that a datagram named.
func (gossip *Gossip) Add(address string) {
	now := time.Now()
	gossip.mu.Lock()
	defer gossip.mu.Unlock()
	if gossip.peers[address] == nil {
		gossip.makeRoom()
	}
	peer := gossip.add(now, address)
	if peer == nil {
		return
	}
	peer.registered = true
	gossip.sendHello(now, peer, hello)
}

// add returns the peer at address, which it adds if necessary. It returns nil
// for the router's own address, for an invalid one, and beyond maxPeers. The caller holds mu.
func (gossip *Gossip) add(now time.Time, address string) *peer {
	if address == gossip.Address {
		return nil
	}
	if existing := gossip.peers[address]; existing != nil {
		return existing
	}
	parsed, err := netip.ParseAddrPort(address)
	if err != nil {
		gossip.Logger.Debug("Invalid address of a router.", "Address", address, "Error", err)
		return nil
	}
	if len(gossip.peers) >= maxPeers {
		gossip.Metrics.CountEvent("gossip.peers.full")
		return nil
	}
	if gossip.peers == nil {
		gossip.peers = make(map[string]*peer)
	}
	added := &peer{name: address, hash: hashAddress(address), address: net.UDPAddrFromAddrPort(parsed), receivedAt: now, addedAt: now}
	gossip.peers[address] = added
	gossip.topologyStale = true
	gossip.Logger.Info("Router added.", "Address", address)
	return added
}

// makeRoom removes a peer if there are maxPeers: the one that was named longest ago of those that
// sent no message and are not registered. The caller holds mu.
func (gossip *Gossip) makeRoom() {
	if len(gossip.peers) < maxPeers {
		return
	}
	var oldest *peer
	for _, peer := range gossip.peers {
		unknown := peer.router == "" && !peer.registered
		if unknown && (oldest == nil || peer.receivedAt.Before(oldest.receivedAt)) {
			oldest = peer
		}
	}
	if oldest != nil {
		delete(gossip.peers, oldest.name)
		gossip.topologyStale = true
	}
}

// Relay adds changes of upstreams to the next message.
func (gossip *Gossip) Relay(changes []registry.Change) {
	gossip.mu.Lock()
	defer gossip.mu.Unlock()
	gossip.changes = append(gossip.changes, changes...)
}

// Run exchanges messages until ctx ends. Then it sends a last message with
// Leaving set and closes Conn.
func (gossip *Gossip) Run(ctx context.Context) {
	receiver := &receiver{gossip: gossip}
	go receiver.run()
	ticker := time.NewTicker(checkInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			gossip.sendIfDue(time.Now(), true)
			// Closing the socket ends the receiver.
			_ = gossip.Conn.Close()
			return
		case <-ticker.C:
			gossip.sendIfDue(time.Now(), false)
		}
	}
}

// AnnounceWarm notifies the other routers at once that this one knows what its
// share of the model engines has cached. Later messages repeat it.
func (gossip *Gossip) AnnounceWarm() {
	gossip.mu.Lock()
	defer gossip.mu.Unlock()
	gossip.warm = true
	gossip.sendPending(time.Now(), false)
}

// MajorityWarm reports whether most of the peers that sent a message have
// announced that they are warm. It doesn't require all of them, so that a router
// that is partitioned from the store or the engines doesn't delay the others.
func (gossip *Gossip) MajorityWarm() bool {
	gossip.mu.Lock()
	defer gossip.mu.Unlock()
	received, warm := 0, 0
	for _, peer := range gossip.peers {
		if peer.router == "" {
			continue
		}
		received++
		if peer.warm {
			warm++
		}
	}
	return float64(warm) >= majorityShare*float64(received)
}

// OldestPeer returns the start time of the peer that has been running longest,
// among those that sent a message. It reports false if there is none.
func (gossip *Gossip) OldestPeer() (time.Time, bool) {
	gossip.mu.Lock()
	defer gossip.mu.Unlock()
	var oldest time.Time
	for _, peer := range gossip.peers {
		if peer.router != "" && (oldest.IsZero() || peer.startedAt.Before(oldest)) {
			oldest = peer.startedAt
		}
	}
	return oldest, !oldest.IsZero()
}

// Live returns the addresses of the peers that were added or are known to have run
// recently, and of the router itself, in no particular order.
func (gossip *Gossip) Live(now time.Time) []string {
	gossip.mu.Lock()
	defer gossip.mu.Unlock()
	live := []string{gossip.Address}
	for address, peer := range gossip.peers {
		if gossip.alive(now, peer) {
			live = append(live, address)
		}
	}
	return live
}

// Heard returns the addresses of the peers of which a message, or one of another router that lists
// them, came recently, and of the router itself, in no particular order.
func (gossip *Gossip) Heard(now time.Time) []string {
	gossip.mu.Lock()
	defer gossip.mu.Unlock()
	heard := []string{gossip.Address}
	for address, peer := range gossip.peers {
		if peer.receivedAt.After(peer.addedAt) && gossip.alive(now, peer) {
			heard = append(heard, address)
		}
	}
	return heard
}

// alive reports whether a peer was added or is known to have run recently. The caller
// holds mu.
func (gossip *Gossip) alive(now time.Time, peer *peer) bool {
	return now.Sub(peer.receivedAt) <= gossip.silence(liveTimeout)
}

// Count returns the number of peers and the router itself.
func (gossip *Gossip) Count() int {
	gossip.mu.Lock()
	defer gossip.mu.Unlock()
	return len(gossip.peers) + 1
}

// Addresses returns the addresses of all peers and of the router itself, in no
// particular order.
func (gossip *Gossip) Addresses() []string {
	gossip.mu.Lock()
	defer gossip.mu.Unlock()
	return append(slices.Collect(maps.Keys(gossip.peers)), gossip.Address)
}
