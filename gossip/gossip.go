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
	"github.com/hickoryhead/hickoryhead/quota"
	"github.com/hickoryhead/hickoryhead/registry"
	"github.com/hickoryhead/hickoryhead/split"
	"github.com/hickoryhead/hickoryhead/strike"
)

const (
	// sendInterval is the minimum time between two messages to the same router.
	sendInterval = 100 * time.Millisecond
	// keepaliveInterval is the time between two messages without new content.
	keepaliveInterval = 400 * time.Millisecond
	// maxSendsPerSecond limits the datagrams that a router sends per second: with
	// many peers the time between two messages is longer.
	maxSendsPerSecond = 120
	// brokenPauseDivisor shortens the time between two messages after a broken
	// connection or a strike, so that other routers learn of it sooner.
	brokenPauseDivisor = 3
	// A router that sent nothing for unresponsiveAfter gets messages only every
	// keepaliveInterval. One that sent nothing for removeAfter is removed.
	unresponsiveAfter = 5 * time.Second
	removeAfter       = 2 * time.Minute
	// A router that was silent for missedAfter, and for missedPauses times the
	// time between two messages, may have missed some.
	missedAfter  = 1500 * time.Millisecond
	missedPauses = 3
	// liveTimeout is how long after its last message a router is assumed to take its
	// share of the limits of upstreams.
	liveTimeout = 3 * time.Second
	// strikeSends is how many times all strikes are sent to a router that has
	// started or may have missed some, each time after a message of it.
	strikeSends = 3
	// majorityShare is the share of the other routers that MajorityWarm requires.
	majorityShare = 0.7
	// maxCacheUpdates and maxChanges limit the cache updates and the changes of
	// upstreams in one message; more of them are sent in several messages.
	maxCacheUpdates = 512
	maxChanges      = 128
)

// peer is another router.
type peer struct {
	address    *net.UDPAddr
	receivedAt time.Time
	sentAt     time.Time
	// router identifies the run of the router that sent the last message. It is
	// empty until a message was received.
	router balance.RouterID
	// startedAt is when that run started.
	startedAt time.Time
	// warm is Message.Warm of the last message.
	warm bool
	// strikeSends is how many more times all strikes are sent to the router.
	strikeSends int
	// runSince is when the first message of that run came, and versionsRun the run that
	// sent the last VersionMessage.
	runSince    time.Time
	versionsRun balance.RouterID
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
	// Conn sends and receives the datagrams. Run closes it.
	Conn       net.PacketConn
	Loads      *balance.Loads
	CacheIndex *balance.CacheIndex
	Health     *health.Tracker
	// Strikes are exchanged with the other routers, unless nil.
	Strikes *strike.Guard
	// Quota has the limits of upstreams that are exchanged, unless nil.
	Quota *quota.Tracker
	// Fill sets the fields of an outgoing message that describe the store and the
	// router's zone. It is called with a lock held and must not call methods of
	// Gossip.
	Fill func(now time.Time, message *Message)
	// OnMessage is called with each message received, after its counts and cache
	// updates are applied.
	OnMessage func(now time.Time, message Message)
	// OnVersions, if set, is called with each VersionMessage received.
	OnVersions func(now time.Time, message VersionMessage)
	// Splits, if set, returns the splits that a router which has just started is sent.
	Splits  func() []split.Split
	Metrics *metrics.Set
	Logger  *slog.Logger

	mu       sync.Mutex
	peers    map[string]*peer
	sequence uint64
	delta    deltaEncoder
	sentAt   time.Time
	changes  []registry.Change
	warm     bool
}

// Add adds the router at address, an IP:port, to the peers and immediately sends
// it a message with all requests in flight. It ignores the router's own address
// and an invalid one.
func (gossip *Gossip) Add(address string) {
	now := time.Now()
	gossip.mu.Lock()
	defer gossip.mu.Unlock()
	if peer := gossip.add(now, address); peer != nil {
		gossip.send(gossip.encode(gossip.completeMessage(now)), peer)
	}
}

// add returns the peer at address, which it adds if necessary. It returns nil
// for the router's own address and for an invalid one. The caller holds mu.
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
	if gossip.peers == nil {
		gossip.peers = make(map[string]*peer)
	}
	added := &peer{address: net.UDPAddrFromAddrPort(parsed), receivedAt: now}
	gossip.peers[address] = added
	gossip.Logger.Info("Router added.", "Address", address)
	return added
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
	ticker := time.NewTicker(sendInterval)
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

// sendIfDue sends a message if changes of upstreams are pending, if the router is
// leaving or if the last message is long enough ago for the number of peers.
func (gossip *Gossip) sendIfDue(now time.Time, leaving bool) {
	gossip.mu.Lock()
	defer gossip.mu.Unlock()
	pause := gossip.pause()
	if gossip.Health.BreakPending() || gossip.Strikes.Pending() || gossip.Quota.Pending() {
		pause /= brokenPauseDivisor
	}
	if !leaving && len(gossip.changes) == 0 && now.Before(gossip.sentAt.Add(pause)) {
		return
	}
	gossip.sendPending(now, leaving)
}

// pause returns the mean time between two messages to the same router, which grows
// with the number of peers. The caller holds mu.
func (gossip *Gossip) pause() time.Duration {
	return time.Duration(len(gossip.peers)) * time.Second / maxSendsPerSecond
}

// sendPending sends a message with all that changed since the last one. Without
// changes it sends one only after keepaliveInterval. The caller holds mu.
func (gossip *Gossip) sendPending(now time.Time, leaving bool) {
	updates := gossip.CacheIndex.TakePending()
	counts, complete := gossip.delta.next(now, gossip.Loads.Local())
	outcomes := gossip.Health.TakePending(complete)
	extra := strikeMessages(now, gossip.Router, gossip.Strikes.TakeReport(now, complete))
	if limits := gossip.Quota.TakeReport(now, complete); len(limits) > 0 {
		extra = append(extra, newLimitMessage(now, gossip.Router, limits))
	}
	changed := leaving || complete || len(extra) > 0 || len(outcomes) > 0 || len(updates) > 0 || len(gossip.changes) > 0 || len(counts) > 0
	if !changed && now.Before(gossip.sentAt.Add(keepaliveInterval)) {
		return
	}
	message := gossip.newMessage(now)
	message.Leaving = leaving
	message.CacheUpdates = updates
	message.Changes = gossip.takeChanges()
	message.Outcomes = outcomes
	message.InFlight, message.Complete = counts, complete
	gossip.sentAt = now
	gossip.broadcast(now, message, extra)
}

// takeChanges removes and returns the first changes of upstreams that were not sent
// yet. The caller holds mu.
func (gossip *Gossip) takeChanges() []registry.Change {
	count := min(len(gossip.changes), maxChanges)
	taken := gossip.changes[:count:count]
	gossip.changes = gossip.changes[count:]
	return taken
}

// newMessage returns a message without counts, updates, changes and outcomes.
// The caller holds mu.
func (gossip *Gossip) newMessage(now time.Time) Message {
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

// completeMessage returns a message with all requests in flight. The caller
// holds mu.
func (gossip *Gossip) completeMessage(now time.Time) Message {
	message := gossip.newMessage(now)
	message.InFlight, message.Complete = gossip.Loads.Local(), true
	return message
}

// sendFullState sends all limits, all requests in flight and all cached prefixes that
// this router knows directly to a peer that has just started. The caller holds mu.
func (gossip *Gossip) sendFullState(now time.Time, peer *peer) {
	if limits := gossip.Quota.All(now); len(limits) > 0 {
		gossip.send(gossip.encode(newLimitMessage(now, gossip.Router, limits)), peer)
	}
	if gossip.Splits != nil {
		// Without splits the message says that this router knows of them.
		gossip.sendSplits(gossip.Splits(), peer)
	}
	message := gossip.completeMessage(now)
	gossip.send(gossip.encode(message), peer)
	message.InFlight, message.Complete = nil, false
	for updates := range slices.Chunk(gossip.CacheIndex.Local(now), maxCacheUpdates) {
		message.CacheUpdates = updates
		gossip.send(gossip.encode(message), peer)
	}
}

// sendStrikes sends all strikes that this router knows to a peer that has just
// started or could not be reached for a while. The caller holds mu.
func (gossip *Gossip) sendStrikes(now time.Time, peer *peer) {
	for _, report := range gossip.Strikes.All(now) {
		for _, message := range strikeMessages(now, gossip.Router, report) {
			gossip.send(gossip.encode(message), peer)
		}
	}
}

// broadcast sends message and the extra messages on strikes and limits to all peers,
// except unresponsive ones that are not due yet, and removes the peers that sent
// nothing for removeAfter. The caller holds mu.
func (gossip *Gossip) broadcast(now time.Time, message Message, extra []any) {
	datagram := gossip.encode(message)
	if datagram == nil {
		// The counts are sent again; all else is sent only once.
		message.InFlight, message.Complete = nil, false
		datagram = gossip.encode(message)
	}
	datagrams := [][]byte{datagram}
	for _, message := range extra {
		datagrams = append(datagrams, gossip.encode(message))
	}
	for address, peer := range gossip.peers {
		sinceReceived := now.Sub(peer.receivedAt)
		if sinceReceived > removeAfter {
			delete(gossip.peers, address)
			continue
		}
		if sinceReceived > unresponsiveAfter && now.Before(peer.sentAt.Add(keepaliveInterval)) {
			continue
		}
		peer.sentAt = now
		for _, datagram := range datagrams {
			gossip.send(datagram, peer)
		}
	}
}

// encode returns the datagram of message, or nil if it can't be encoded.
func (gossip *Gossip) encode(message any) []byte {
	datagram, err := encode(message)
	if err != nil {
		gossip.Metrics.CountEvent("gossip.encode.failed")
		gossip.Logger.Warn("Could not encode a message.", "Error", err)
		return nil
	}
	return datagram
}

// send sends datagram to one router, unless it is nil. The caller holds mu.
func (gossip *Gossip) send(datagram []byte, peer *peer) {
	if datagram == nil {
		return
	}
	gossip.Metrics.AddControlBytes(metrics.PeerRouter, metrics.Sent, ident.Bytes(len(datagram)))
	if _, err := gossip.Conn.WriteTo(datagram, peer.address); err != nil {
		gossip.Metrics.CountEvent("gossip.send.failed")
		gossip.Logger.Debug("Could not send a message.", "Address", peer.address.String(), "Error", err)
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

// Live returns the addresses of the peers that were added or sent a message within
// liveTimeout, and of the router itself, in no particular order.
func (gossip *Gossip) Live(now time.Time) []string {
	gossip.mu.Lock()
	defer gossip.mu.Unlock()
	live := []string{gossip.Address}
	for address, peer := range gossip.peers {
		if now.Sub(peer.receivedAt) <= max(liveTimeout, missedPauses*gossip.pause()) {
			live = append(live, address)
		}
	}
	return live
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

// receiver reads messages until the socket is closed.
type receiver struct {
	gossip *Gossip
}

func (receiver *receiver) run() {
	buffer := make([]byte, maxDatagramBytes)
	for {
		count, _, err := receiver.gossip.Conn.ReadFrom(buffer)
		if err != nil {
			receiver.gossip.Logger.Info("Stopped receiving messages.", "Error", err)
			return
		}
		receiver.gossip.Metrics.AddControlBytes(metrics.PeerRouter, metrics.Received, ident.Bytes(count))
		if err := receiver.gossip.receive(slices.Clone(buffer[:count])); err != nil {
			receiver.gossip.Metrics.CountEvent("gossip.malformed")
		}
	}
}

// receive applies the message in a datagram.
func (gossip *Gossip) receive(datagram []byte) error {
	if isStrikeMessage(datagram) {
		now := time.Now()
		router, report, err := decodeStrikes(now, datagram)
		if err == nil && router != gossip.Router {
			gossip.Strikes.Apply(now, report)
		}
		return err
	}
	if isVersionMessage(datagram) {
		return gossip.receiveVersions(datagram)
	}
	if isLimitMessage(datagram) {
		message, err := decodeLimits(datagram)
		if err == nil && message.Router != gossip.Router {
			now := time.Now()
			gossip.Quota.Apply(now, message.limits(now))
		}
		return err
	}
	message, err := Decode(datagram)
	if err == nil {
		gossip.handle(time.Now(), message)
	}
	return err
}

// handle applies a message from another router. It adds a sender that is not a
// peer yet, sends the full state to one that has just started and removes one
// that is leaving.
func (gossip *Gossip) handle(now time.Time, message Message) {
	if message.Router == gossip.Router {
		return
	}
	gossip.mu.Lock()
	if peer := gossip.add(now, message.Address); peer != nil {
		silent := now.Sub(peer.receivedAt) > max(missedAfter, missedPauses*gossip.pause())
		peer.receivedAt = now
		newRun := peer.router != message.Router
		if newRun {
			peer.runSince = now
		}
		peer.router = message.Router
		peer.startedAt = now.Add(-message.Uptime.Duration())
		peer.warm = message.Warm
		if newRun && !message.Leaving {
			gossip.sendFullState(now, peer)
		}
		if newRun || silent {
			peer.strikeSends = strikeSends
		}
		if message.Leaving {
			delete(gossip.peers, message.Address)
		} else if peer.strikeSends > 0 {
			peer.strikeSends--
			gossip.sendStrikes(now, peer)
		}
	}
	gossip.mu.Unlock()
	gossip.Loads.ApplyRemote(now, balance.RemoteCounts{Router: message.Router, Sequence: message.Sequence, Complete: message.Complete, Counts: message.InFlight})
	gossip.CacheIndex.ApplyRemote(now, message.CacheUpdates)
	gossip.OnMessage(now, message)
}
