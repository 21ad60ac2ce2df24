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
	"github.com/hickoryhead/hickoryhead/health"
	"github.com/hickoryhead/hickoryhead/ident"
	"github.com/hickoryhead/hickoryhead/metrics"
	"github.com/hickoryhead/hickoryhead/registry"
)

const (
	// tellEvery is the shortest time between two messages to the same router.
	tellEvery = 100 * time.Millisecond
	// repeatEvery is the time between two messages that say nothing new.
	repeatEvery = 400 * time.Millisecond
	// sendsPerSecond bounds the datagrams that a router sends in a large fleet,
	// by longer times between them.
	sendsPerSecond = 120
	// urgency divides the time between two messages after a broken connection.
	urgency = 3
	// quietAfter is the silence after which a router is told seldom, and
	// forgottenAfter the one after which it is told nothing.
	quietAfter     = 5 * time.Second
	forgottenAfter = 2 * time.Minute
	// mostShare is the part of the other routers that counts as most of them.
	mostShare = 0.7
	// greetingSize bounds the prompts of one message to a new router.
	greetingSize = 512
)

// peer is another router.
type peer struct {
	address *net.UDPAddr
	heardAt time.Time
	toldAt  time.Time
	// run is the run of the router that was heard last.
	run balance.RouterID
	// startedAt is when the router started.
	startedAt time.Time
	// warm says that it has told what its engines have cached.
	warm bool
}

// Gossip exchanges messages with the other routers. Its fields are set before
// Run.
type Gossip struct {
	Router balance.RouterID
	// Started is when the router started.
	Started    time.Time
	Address    string
	Conn       net.PacketConn
	Loads      *balance.Loads
	CacheIndex *balance.CacheIndex
	Health     *health.Tracker
	// Fill completes a message with what the router knows of the store, and
	// OnMessage takes in the message of another one.
	Fill      func(now time.Time, message *Message)
	OnMessage func(now time.Time, message Message)
	Metrics   *metrics.Set
	Logger    *slog.Logger

	mu       sync.Mutex
	peers    map[string]*peer
	sequence uint64
	told     telling
	toldAt   time.Time
	changes  []registry.Change
	warm     bool
}

// Add makes another router known by its address, which is IP:port, and greets
// it at once.
func (gossip *Gossip) Add(address string) {
	now := time.Now()
	gossip.mu.Lock()
	defer gossip.mu.Unlock()
	if added := gossip.add(now, address); added != nil {
		gossip.send(gossip.encode(gossip.greeting(now)), added)
	}
}

// add returns the peer at address, or nil for the router itself and for an
// address that is none. The caller holds mu.
func (gossip *Gossip) add(now time.Time, address string) *peer {
	if address == gossip.Address {
		return nil
	}
	if known := gossip.peers[address]; known != nil {
		return known
	}
	parsed, err := netip.ParseAddrPort(address)
	if err != nil {
		gossip.Logger.Debug("Address of a router not understood.", "Address", address, "Error", err)
		return nil
	}
	if gossip.peers == nil {
		gossip.peers = make(map[string]*peer)
	}
	made := &peer{address: net.UDPAddrFromAddrPort(parsed), heardAt: now}
	gossip.peers[address] = made
	gossip.Logger.Info("Router known.", "Address", address)
	return made
}

// Relay keeps changes of upstreams for the next message.
func (gossip *Gossip) Relay(changes []registry.Change) {
	gossip.mu.Lock()
	defer gossip.mu.Unlock()
	gossip.changes = append(gossip.changes, changes...)
}

// Run exchanges messages until ctx ends.
func (gossip *Gossip) Run(ctx context.Context) {
	receiver := &receiver{gossip: gossip}
	go receiver.run()
	ticker := time.NewTicker(tellEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			gossip.tell(time.Now(), true)
			// The receiver ends with the socket.
			_ = gossip.Conn.Close()
			return
		case <-ticker.C:
			gossip.tell(time.Now(), false)
		}
	}
}

// tell sends what is new, or anything at all if nothing was sent for long.
func (gossip *Gossip) tell(now time.Time, leaving bool) {
	gossip.mu.Lock()
	defer gossip.mu.Unlock()
	pause := time.Duration(len(gossip.peers)) * time.Second / sendsPerSecond
	if gossip.Health.BreakPending() {
		pause /= urgency
	}
	if !leaving && len(gossip.changes) == 0 && now.Before(gossip.toldAt.Add(pause)) {
		return
	}
	gossip.tellNow(now, leaving)
}

// tellNow sends what is new, whenever the last message was. The caller holds mu.
func (gossip *Gossip) tellNow(now time.Time, leaving bool) {
	updates := gossip.CacheIndex.TakePending()
	counts, whole := gossip.told.next(now, gossip.Loads.Local())
	outcomes := gossip.Health.TakePending(whole)
	changed := leaving || whole || len(outcomes) > 0 || len(updates) > 0 || len(gossip.changes) > 0 || len(counts) > 0
	if !changed && now.Before(gossip.toldAt.Add(repeatEvery)) {
		return
	}
	message := gossip.message(now)
	message.Leaving = leaving
	message.CacheUpdates = updates
	message.Changes = gossip.changes
	message.Outcomes = outcomes
	message.InFlight, message.Complete = counts, whole
	gossip.changes = nil
	gossip.toldAt = now
	gossip.broadcast(now, message)
}

// message returns a message that says of what is in flight nothing yet. The
// caller holds mu.
func (gossip *Gossip) message(now time.Time) Message {
	gossip.sequence++
	message := Message{
		Router:   gossip.Router,
		Sequence: gossip.sequence,
		Address:  gossip.Address,
		Uptime:   ident.Milliseconds(now.Sub(gossip.Started).Milliseconds()),
		Warm:     gossip.warm,
	}
	gossip.Fill(now, &message)
	return message
}

// greeting returns a message that says all that is in flight. The caller holds
// mu.
func (gossip *Gossip) greeting(now time.Time) Message {
	message := gossip.message(now)
	message.InFlight, message.Complete = gossip.Loads.Local(), true
	return message
}

// greet tells a router that has just started what this one knows. The caller
// holds mu.
func (gossip *Gossip) greet(now time.Time, fresh *peer) {
	message := gossip.greeting(now)
	gossip.send(gossip.encode(message), fresh)
	message.InFlight, message.Complete = nil, false
	for updates := range slices.Chunk(gossip.CacheIndex.Local(now), greetingSize) {
		message.CacheUpdates = updates
		gossip.send(gossip.encode(message), fresh)
	}
}

// broadcast sends message to the routers that are due. The caller holds mu.
func (gossip *Gossip) broadcast(now time.Time, message Message) {
	datagram := gossip.encode(message)
	for address, peer := range gossip.peers {
		silence := now.Sub(peer.heardAt)
		if silence > forgottenAfter {
			delete(gossip.peers, address)
			continue
		}
		if silence > quietAfter && now.Before(peer.toldAt.Add(repeatEvery)) {
			continue
		}
		peer.toldAt = now
		gossip.send(datagram, peer)
	}
}

// encode returns the datagram of message, or nil where it has none.
func (gossip *Gossip) encode(message Message) []byte {
	datagram, err := encode(message)
	if err != nil {
		gossip.Metrics.CountEvent("gossip.encode.failed")
		gossip.Logger.Warn("Message not encoded.", "Error", err)
		return nil
	}
	return datagram
}

// send sends datagram, if there is one, to one router. The caller holds mu.
func (gossip *Gossip) send(datagram []byte, peer *peer) {
	if datagram == nil {
		return
	}
	gossip.Metrics.AddControlBytes(metrics.PeerRouter, metrics.Sent, ident.Bytes(len(datagram)))
	if _, err := gossip.Conn.WriteTo(datagram, peer.address); err != nil {
		gossip.Metrics.CountEvent("gossip.send.failed")
		gossip.Logger.Debug("Message not sent.", "Address", peer.address.String(), "Error", err)
	}
}

// AnnounceWarm says to the other routers, at once, that this one has learned
// what its part of the engines has cached.
func (gossip *Gossip) AnnounceWarm() {
	gossip.mu.Lock()
	defer gossip.mu.Unlock()
	gossip.warm = true
	gossip.tellNow(time.Now(), false)
}

// MajorityWarm reports whether most other routers that were heard have said the
// same: one that is cut off from the store or the engines does not hold up all.
func (gossip *Gossip) MajorityWarm() bool {
	gossip.mu.Lock()
	defer gossip.mu.Unlock()
	heard, warm := 0, 0
	for _, peer := range gossip.peers {
		if peer.run == "" {
			continue
		}
		heard++
		if peer.warm {
			warm++
		}
	}
	return float64(warm) >= mostShare*float64(heard)
}

// OldestPeer returns when the router started that has run for longest of those
// that were heard, and false where none was.
func (gossip *Gossip) OldestPeer() (time.Time, bool) {
	gossip.mu.Lock()
	defer gossip.mu.Unlock()
	var oldest time.Time
	for _, peer := range gossip.peers {
		if peer.run != "" && (oldest.IsZero() || peer.startedAt.Before(oldest)) {
			oldest = peer.startedAt
		}
	}
	return oldest, !oldest.IsZero()
}

// Addresses returns the addresses of the known routers, its own one among them.
func (gossip *Gossip) Addresses() []string {
	gossip.mu.Lock()
	defer gossip.mu.Unlock()
	return append(slices.Collect(maps.Keys(gossip.peers)), gossip.Address)
}

// receiver reads messages until the socket is closed.
type receiver struct {
	gossip *Gossip
}

func (receiver *receiver) run() {
	buffer := make([]byte, maxDatagram)
	for {
		count, _, err := receiver.gossip.Conn.ReadFrom(buffer)
		if err != nil {
			receiver.gossip.Logger.Info("No more messages are read.", "Error", err)
			return
		}
		receiver.gossip.Metrics.AddControlBytes(metrics.PeerRouter, metrics.Received, ident.Bytes(count))
		message, err := Decode(slices.Clone(buffer[:count]))
		if err != nil {
			receiver.gossip.Metrics.CountEvent("gossip.malformed")
			continue
		}
		receiver.gossip.hear(time.Now(), message)
	}
}

// hear takes in a message.
func (gossip *Gossip) hear(now time.Time, message Message) {
	if message.Router == gossip.Router {
		return
	}
	gossip.mu.Lock()
	if known := gossip.add(now, message.Address); known != nil {
		known.heardAt = now
		fresh := known.run != message.Router
		known.run = message.Router
		known.startedAt = now.Add(-message.Uptime.Duration())
		known.warm = message.Warm
		if fresh && !message.Leaving {
			gossip.greet(now, known)
		}
		if message.Leaving {
			delete(gossip.peers, message.Address)
		}
	}
	gossip.mu.Unlock()
	gossip.Loads.ApplyRemote(now, balance.RemoteCounts{Router: message.Router, Sequence: message.Sequence, Complete: message.Complete, Counts: message.InFlight})
	gossip.CacheIndex.ApplyRemote(now, message.CacheUpdates)
	gossip.OnMessage(now, message)
}
