package gossip

import (
	"slices"
	"time"

	"github.com/hickoryhead/hickoryhead/balance"
	"github.com/hickoryhead/hickoryhead/ident"
	"github.com/hickoryhead/hickoryhead/metrics"
)

const (
	// strikeSends is how many times all strikes are sent to a router that has
	// started or may have missed some, each time after a message of it.
	strikeSends = 3
	// maxCacheUpdates and maxChanges limit the cache updates and the changes of
	// upstreams in one message; more of them are sent in several messages.
	maxCacheUpdates = 512
	maxChanges      = 128
	// stateSenders is how many routers send the full state to one that has started, so
	// that lost datagrams do no harm.
	stateSenders = 3
	// minHeadStart is how much earlier a router must have started for its state to be of
	// use.
	minHeadStart = 2 * time.Second
)

// sendIfDue sends what is due: messages about this router, and summaries of its group.
func (gossip *Gossip) sendIfDue(now time.Time, leaving bool) {
	gossip.mu.Lock()
	defer gossip.mu.Unlock()
	gossip.refreshTopology(now)
	if leaving || gossip.messageDue(now) {
		gossip.sendPending(now, leaving)
	}
	if !leaving && gossip.summaryDue(now) {
		gossip.sendSummary(now)
	}
	if !leaving && gossip.evacuationsDue(now) {
		gossip.sendEvacuations(now)
	}
	if !leaving && gossip.coldsDue(now) {
		gossip.sendColds(now)
	}
}

// messageDue reports whether changes of upstreams are pending or the last message is long
// enough ago for the number of partners. The caller holds mu.
func (gossip *Gossip) messageDue(now time.Time) bool {
	pause := max(gossip.pause(), sendInterval)
	if gossip.Health.BreakPending() || gossip.Strikes.Pending() || gossip.Quota.PendingLimits() {
		pause = gossip.pause() / brokenPauseDivisor
	}
	return len(gossip.changes) > 0 || !now.Before(gossip.sentAt.Add(pause))
}

// sendPending sends a message with all that changed since the last one. Without
// changes it sends one only after the keepalive interval. The caller holds mu.
func (gossip *Gossip) sendPending(now time.Time, leaving bool) {
	updates := gossip.CacheIndex.TakePending()
	gossip.delta.interval = max(completeInterval, gossip.keepalive())
	counts, complete := gossip.delta.next(now, gossip.Loads.Local())
	outcomes := gossip.Health.TakePending(complete)
	extra := strikeMessages(now, gossip.Router, gossip.Strikes.TakeReport(now, complete))
	if limits := gossip.Quota.TakeReport(now, complete); len(limits) > 0 {
		extra = append(extra, newLimitMessage(now, gossip.Router, limits))
	}
	changed := leaving || complete || len(extra) > 0 || len(outcomes) > 0 || len(updates) > 0 || len(gossip.changes) > 0 || len(counts) > 0
	if !changed && now.Before(gossip.sentAt.Add(gossip.idlePause(now))) {
		return
	}
	message := gossip.newMessage(now)
	message.Leaving = leaving
	message.CacheUpdates = updates
	message.Changes = takeFirst(&gossip.changes, maxChanges)
	message.Outcomes = outcomes
	message.InFlight, message.Complete = counts, complete
	gossip.sentAt = now
	gossip.relay.add(message, message.CacheUpdates)
	gossip.broadcast(now, message, extra)
}

// idlePause returns the time between two messages without new content. The caller holds
// mu.
func (gossip *Gossip) idlePause(now time.Time) time.Duration {
	states := gossip.memberStates(now)
	if states[0].reaches() && states[0].rank() <= gossip.lastReliedOn(now, states) {
		return gossip.statePause()
	}
	return gossip.keepalive()
}

// newMessage returns a message without counts, updates, changes and outcomes.
// The caller holds mu.
func (gossip *Gossip) newMessage(now time.Time) Message {
	gossip.sequence++
	message := Message{
		Router:   gossip.Router,
		Sequence: gossip.sequence,
		Address:  gossip.Address,
		Uptime:   gossip.uptime(now),
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

// uptime returns the time since the router started.
func (gossip *Gossip) uptime(now time.Time) ident.Milliseconds {
	return ident.Milliseconds(now.Sub(gossip.Started).Milliseconds())
}

// startRun records that a message of a run of peer came, whose uptime is given, and
// reports whether it is a new run. A few routers send all that they know to one of an
// earlier program; others ask for it. The caller holds mu.
func (gossip *Gossip) startRun(now time.Time, peer *peer, run balance.RouterID, uptime ident.Milliseconds) bool {
	peer.startedAt = now.Add(-uptime.Duration())
	if peer.router == run {
		return false
	}
	if peer.router != "" {
		// Its requests ended with it.
		gossip.Loads.ForgetPeer(peer.router)
		peer.earlier = append(peer.earlier[max(len(peer.earlier)-maxEarlierRuns+1, 0):], peer.router)
	}
	peer.router, peer.runSince = run, now
	peer.sequences, peer.summarySequences = replayWindow{}, replayWindow{}
	peer.strikeSends = strikeSends
	if !peer.summaries && gossip.sendsStateTo(now, peer) {
		gossip.sendFullState(now, peer)
	}
	return true
}

// sendsStateTo reports whether this router is one of those that send all that they know
// to a peer that has just started: the first in rendezvous order among those that have
// run for some time. The caller holds mu.
func (gossip *Gossip) sendsStateTo(now time.Time, started *peer) bool {
	own := partnerScore(gossip.Address, started.name)
	before := 0
	for _, peer := range gossip.peers {
		ran := peer != started && peer.router != "" && gossip.alive(now, peer) && now.Sub(peer.startedAt) > minHeadStart
		if ran && partnerScore(peer.name, started.name) > own {
			before++
		}
	}
	return before < stateSenders
}

// sendFullState sends all evacuations, limits, cold upstreams, splits, requests in flight and
// cached prefixes that this router knows directly to a peer that has just started. The caller
// holds mu.
func (gossip *Gossip) sendFullState(now time.Time, peer *peer) {
	if states := gossip.Evacuations.Report(now); len(states) > 0 {
		gossip.send(gossip.encode(newEvacuationMessage(gossip.Router, gossip.Address, states)), peer)
	}
	if limits := gossip.Quota.All(now); len(limits) > 0 {
		gossip.send(gossip.encode(newLimitMessage(now, gossip.Router, limits)), peer)
	}
	if colds := gossip.Quota.AllColds(now); len(colds) > 0 {
		for part := range slices.Chunk(colds, maxColdsPerMessage) {
			gossip.send(gossip.encode(newColdMessage(now, gossip.Router, part)), peer)
		}
	}
	if gossip.Splits != nil {
		// Without splits the message says that this router knows of them.
		gossip.sendSplits(gossip.Splits(), peer)
	}
	gossip.send(gossip.encode(gossip.completeMessage(now)), peer)
	for updates := range slices.Chunk(gossip.CacheIndex.All(now), maxCacheUpdates) {
		message := gossip.newMessage(now)
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

// broadcast sends message to the peers that receive this router's messages, and the extra
// messages on strikes and limits also to the receivers of its summaries. One that is leaving
// goes to all peers. Unresponsive ones that are not due yet are left out, and those
// removed that sent nothing for removeAfter. The caller holds mu.
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
	gossip.removeSilent(now)
	if message.Leaving {
		for _, peer := range gossip.peers {
			gossip.send(datagram, peer)
		}
		return
	}
	for _, peer := range gossip.topology.direct {
		gossip.sendAll(now, peer, datagrams)
	}
	for _, peer := range gossip.topology.receivers {
		gossip.sendAll(now, peer, datagrams[1:])
	}
}

// removeSilent removes the peers that sent nothing for removeAfter. The caller holds mu.
func (gossip *Gossip) removeSilent(now time.Time) {
	for address, peer := range gossip.peers {
		if now.Sub(peer.receivedAt) > removeAfter {
			delete(gossip.peers, address)
		}
	}
	for run, leftAt := range gossip.left {
		if now.Sub(leftAt) > removeAfter {
			delete(gossip.left, run)
		}
	}
}

// unresponsive reports whether nothing was received from a peer for so long that it gets few
// messages. The caller holds mu.
func (gossip *Gossip) unresponsive(now time.Time, peer *peer) bool {
	return now.Sub(peer.receivedAt) > gossip.silence(unresponsiveAfter)
}

// sendAll sends datagrams to one router, unless it is unresponsive and not due yet. The
// caller holds mu.
func (gossip *Gossip) sendAll(now time.Time, peer *peer, datagrams [][]byte) {
	if gossip.unresponsive(now, peer) && now.Before(peer.sentAt.Add(gossip.keepalive())) {
		return
	}
	peer.sentAt = now
	for _, datagram := range datagrams {
		gossip.send(datagram, peer)
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
		gossip.Logger.Debug("Could not send a message.", "Address", peer.name, "Error", err)
	}
}
