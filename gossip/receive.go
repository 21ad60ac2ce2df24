package gossip

import (
	"slices"
	"time"

	"github.com/hickoryhead/hickoryhead/balance"
	"github.com/hickoryhead/hickoryhead/ident"
	"github.com/hickoryhead/hickoryhead/metrics"
)

const (
	// maxEarlierRuns limits the earlier runs of a router that are remembered, and maxLeft
	// the runs that have announced that they stop.
	maxEarlierRuns = 4
	maxLeft        = 4096
	// maxPeers limits the routers that are known: datagrams may name any address.
	maxPeers = 4096
)

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
	now := time.Now()
	switch {
	case isStrikeMessage(datagram):
		return gossip.receiveStrikes(now, datagram)
	case isVersionMessage(datagram):
		return gossip.receiveVersions(datagram)
	case isEvacuationMessage(datagram):
		return gossip.receiveEvacuations(now, datagram)
	case isHelloMessage(datagram):
		return gossip.receiveHello(now, datagram)
	case isSummaryMessage(datagram):
		return gossip.receiveSummary(now, datagram)
	case isColdMessage(datagram):
		return gossip.receiveColds(now, datagram)
	case isLimitMessage(datagram):
		message, err := decodeLimits(datagram)
		if err == nil && message.Router != gossip.Router {
			gossip.Quota.Apply(now, message.limits(now))
		}
		return err
	}
	message, err := Decode(datagram)
	if err == nil {
		gossip.handle(now, message)
	}
	return err
}

// receiveStrikes applies a message about strikes. What is new in it is relayed if it
// comes from a router of the group.
func (gossip *Gossip) receiveStrikes(now time.Time, datagram []byte) error {
	router, report, err := decodeStrikes(now, datagram)
	if err != nil || router == gossip.Router {
		return err
	}
	if !gossip.Strikes.Apply(now, report) {
		return nil
	}
	gossip.relayNews(router, datagram)
	return nil
}

// relayNews sends a datagram with something new to the receivers of this router's
// summaries, at once and with the next summary, if it comes from a router of the group.
func (gossip *Gossip) relayNews(router balance.RouterID, datagram []byte) {
	gossip.mu.Lock()
	defer gossip.mu.Unlock()
	if !slices.Contains(gossip.memberRuns(), router) {
		return
	}
	for _, receiver := range gossip.topology.receivers {
		gossip.send(datagram, receiver)
	}
	gossip.relay.datagrams = append(gossip.relay.datagrams, datagram)
}

// handle applies a message from another router.
func (gossip *Gossip) handle(now time.Time, message Message) {
	if message.Router == gossip.Router {
		return
	}
	origin, current := gossip.observeMessage(now, message)
	if !current {
		return
	}
	if !origin.summed {
		gossip.Loads.ApplyRemote(now, balance.RemoteCounts{
			Router:    message.Router,
			Sequence:  message.Sequence,
			Complete:  message.Complete,
			Counts:    message.InFlight,
			ExpiresAt: origin.expiresAt,
		})
	}
	updates := gossip.CacheIndex.ApplyRemote(now, message.CacheUpdates)
	if origin.inGroup {
		gossip.mu.Lock()
		gossip.relay.add(message, updates)
		gossip.mu.Unlock()
	}
	gossip.OnMessage(now, message)
}

// messageOrigin is what decides how a message of another router is applied.
type messageOrigin struct {
	// summed is set if the loads of the router are part of a sum that this one has, and
	// inGroup if it is in this router's group.
	summed  bool
	inGroup bool
	// expiresAt is when its loads are no longer valid.
	expiresAt time.Time
}

// observeMessage records the sender of a message, whom it adds if necessary, answers one
// that has started or was silent, and removes one that is leaving. It reports false for a
// message that is outdated or was received before.
func (gossip *Gossip) observeMessage(now time.Time, message Message) (messageOrigin, bool) {
	gossip.mu.Lock()
	defer gossip.mu.Unlock()
	peer := gossip.sender(now, message.Address, message.Router)
	if peer == nil || !gossip.isNew(peer, message) {
		return messageOrigin{}, false
	}
	silent := now.Sub(peer.receivedAt) > max(missedAfter, missedPauses*gossip.pause())
	peer.receivedAt, peer.directAt = now, now
	peer.warm = message.Warm
	peer.state = stateOf(message.Address, message)
	if peer.router != message.Router {
		// Until it says hello it may run an earlier program.
		peer.summaries = false
		gossip.startRun(now, peer, message.Router, message.Uptime)
	}
	if silent {
		peer.strikeSends = strikeSends
	}
	if message.Leaving {
		gossip.remove(now, message)
	} else {
		gossip.respond(now, peer)
	}
	gossip.refreshTopology(now)
	return messageOrigin{
		summed:    peer.summaries && gossip.isSummed(now, peer),
		inGroup:   peer.summaries && peer.group == gossip.topology.own,
		expiresAt: now.Add(gossip.silence(liveTimeout)),
	}, true
}

// respond sends a peer what it lacks: a hello if it hasn't answered one, and the strikes
// that it may have missed. The caller holds mu.
func (gossip *Gossip) respond(now time.Time, peer *peer) {
	if !peer.summaries && !now.Before(peer.greetedAt.Add(helloInterval)) {
		peer.greetedAt = now
		gossip.sendHello(now, peer, hello)
	}
	if peer.strikeSends > 0 {
		peer.strikeSends--
		gossip.sendStrikes(now, peer)
	}
}

// sender returns the peer at address, which sent a message of the given run and is added if
// necessary. It returns nil for a run that has ended: it announced that it stops, or
// another one has followed it. The caller holds mu.
func (gossip *Gossip) sender(now time.Time, address string, run balance.RouterID) *peer {
	_, over := gossip.left[run]
	if known := gossip.peers[address]; known != nil {
		over = over || slices.Contains(known.earlier, run)
	}
	if over {
		gossip.Metrics.CountEvent("gossip.outdated")
		return nil
	}
	return gossip.add(now, address)
}

// isNew reports whether a message of a peer was not received before. The caller holds mu.
func (gossip *Gossip) isNew(peer *peer, message Message) bool {
	if peer.summaries && peer.router == message.Router && !peer.sequences.accept(message.Sequence) {
		gossip.Metrics.CountEvent("gossip.replayed")
		return false
	}
	return true
}

// remove removes a peer that announced that it stops. The caller holds mu.
func (gossip *Gossip) remove(now time.Time, message Message) {
	if gossip.left == nil {
		gossip.left = make(map[balance.RouterID]time.Time)
	}
	if len(gossip.left) >= maxLeft {
		clear(gossip.left)
	}
	gossip.left[message.Router] = now
	delete(gossip.peers, message.Address)
	gossip.topologyStale = true
}

// isSummed reports whether a peer is in a group whose sum this router has. The caller
// holds mu.
func (gossip *Gossip) isSummed(now time.Time, peer *peer) bool {
	for _, remote := range gossip.groups {
		if now.Sub(remote.receivedAt) <= gossip.silence(liveTimeout) && remote.has(peer.name) {
			return true
		}
	}
	return false
}

// has reports whether the router at address is a member of the group.
func (remote *remoteGroup) has(address string) bool {
	return slices.ContainsFunc(remote.members, func(member MemberItem) bool { return member.Address == address })
}

// receiveSummary applies the SummaryMessage in a datagram.
func (gossip *Gossip) receiveSummary(now time.Time, datagram []byte) error {
	message, loads, err := decodeSummary(datagram)
	if err != nil || message.Router == gossip.Router {
		return err
	}
	members, expiresAt, current := gossip.observeSummary(now, message)
	if !current {
		return nil
	}
	if members > 0 {
		gossip.Loads.ApplySums(balance.RemoteSums{
			Group:     message.group().id(),
			Sender:    message.Router,
			Sequence:  message.Sequence,
			Routers:   members,
			Complete:  message.Complete,
			Sums:      loads,
			ExpiresAt: expiresAt,
		})
	}
	gossip.CacheIndex.ApplyRemote(now, message.CacheUpdates)
	for _, state := range message.States {
		gossip.OnMessage(now, Message{Address: state.Address, StoreUptime: state.StoreUptime, ReadAge: state.ReadAge, Digest: state.Digest, ConfigVersion: state.ConfigVersion})
	}
	if gossip.OnSummary != nil && len(message.Changes)+len(message.Outcomes) > 0 {
		gossip.OnSummary(now, message)
	}
	return nil
}

// observeSummary records who sent a summary and the routers that it lists. It returns how
// many members its group has, or zero if they are not known or if it is this router's own
// group, and when its loads expire. It reports false for one that is outdated.
func (gossip *Gossip) observeSummary(now time.Time, message SummaryMessage) (members int, expiresAt time.Time, current bool) {
	gossip.mu.Lock()
	defer gossip.mu.Unlock()
	sender := gossip.sender(now, message.Address, message.Router)
	if sender == nil {
		return 0, time.Time{}, false
	}
	if sender.router != message.Router {
		// Its hello was lost, or this message is one of an earlier run.
		gossip.sendHello(now, sender, hello)
		return 0, time.Time{}, false
	}
	if !sender.summarySequences.accept(message.Sequence) {
		gossip.Metrics.CountEvent("gossip.replayed")
		return 0, time.Time{}, false
	}
	sender.receivedAt = now
	if message.group() == gossip.topology.own {
		return 0, time.Time{}, true
	}
	return len(gossip.observeGroup(now, sender, message).members), now.Add(gossip.silence(liveTimeout)), true
}

// observeGroup records what a summary says of another group, and returns it. The caller
// holds mu.
func (gossip *Gossip) observeGroup(now time.Time, sender *peer, message SummaryMessage) *remoteGroup {
	remote := gossip.remoteGroup(message.group())
	remote.receivedAt = now
	remote.states = message.States
	if len(message.Members) > 0 && message.MembersHash != remote.membersHash {
		gossip.setMembers(now, remote, message)
	}
	if message.MembersHash == remote.membersHash {
		gossip.markRunning(now, remote)
	} else {
		// The message with the members was lost: the sender answers with them.
		gossip.sendHello(now, sender, hello)
	}
	return remote
}

// remoteGroup returns what is known of another group. The caller holds mu.
func (gossip *Gossip) remoteGroup(group group) *remoteGroup {
	if gossip.groups == nil {
		gossip.groups = make(map[balance.GroupID]*remoteGroup)
	}
	id := group.id()
	if gossip.groups[id] == nil {
		gossip.groups[id] = &remoteGroup{group: group}
	}
	return gossip.groups[id]
}

// setMembers records the members of a group. It replaces the groups of a division of the
// zone into another number of groups. The caller holds mu.
func (gossip *Gossip) setMembers(now time.Time, remote *remoteGroup, message SummaryMessage) {
	remote.members, remote.membersHash = message.Members, message.MembersHash
	for id, other := range gossip.groups {
		if other.group.zone == remote.group.zone && other.group.of != remote.group.of {
			delete(gossip.groups, id)
			gossip.Loads.ForgetGroup(id)
		}
	}
	for _, member := range remote.members {
		peer := gossip.add(now, member.Address)
		if peer == nil {
			continue
		}
		if peer.router == "" {
			gossip.sendHello(now, peer, hello)
		}
		peer.summaries, peer.zone = true, remote.group.zone
	}
	gossip.topologyStale = true
}

// markRunning records that the members of a group run, and that their loads are those of
// its sums alone. The caller holds mu.
func (gossip *Gossip) markRunning(now time.Time, remote *remoteGroup) {
	for _, member := range remote.members {
		if peer := gossip.peers[member.Address]; peer != nil {
			peer.receivedAt = now
			peer.warm = member.Warm
			gossip.Loads.ForgetPeer(peer.router)
		}
	}
}
