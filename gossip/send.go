package gossip

import (
	"slices"
	"time"

	"github.com/hickoryhead/hickoryhead/ident"
	"github.com/hickoryhead/hickoryhead/metrics"
	"github.com/hickoryhead/hickoryhead/registry"
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
	// A router that was silent for missedAfter, and for missedPauses times the
	// time between two messages, may have missed some.
	missedAfter  = 1500 * time.Millisecond
	missedPauses = 3
	// strikeSends is how many times all strikes are sent to a router that has
	// started or may have missed some, each time after a message of it.
	strikeSends = 3
	// maxCacheUpdates and maxChanges limit the cache updates and the changes of
	// upstreams in one message; more of them are sent in several messages.
	maxCacheUpdates = 512
	maxChanges      = 128
)

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
