package gossip

import (
	"slices"
	"strings"
	"time"

	"github.com/hickoryhead/hickoryhead/balance"
	"github.com/hickoryhead/hickoryhead/follow"
	"github.com/hickoryhead/hickoryhead/health"
	"github.com/hickoryhead/hickoryhead/ident"
	"github.com/hickoryhead/hickoryhead/routing"
)

const (
	// reliedOnRouters is how many routers that reach the store others rely on: the first
	// in a fixed order, since package follow has those read it for all.
	reliedOnRouters = 3
	// memberSends is how many summaries list the members of the group after a change, and
	// memberKeepalives how many keepalive intervals later they are listed again.
	memberSends      = 2
	memberKeepalives = 4
)

// remoteGroup is what the summaries of another group said.
type remoteGroup struct {
	group       group
	members     []MemberItem
	membersHash uint64
	// states are those of its routers on which others rely.
	states     []StateItem
	receivedAt time.Time
}

// summaryDue reports whether a summary has to be sent now. The caller holds mu.
func (gossip *Gossip) summaryDue(now time.Time) bool {
	if gossip.topology.own == (group{}) {
		// The sequence continues, or the next summaries would be taken for old ones.
		gossip.relay = relay{sequence: gossip.relay.sequence}
		return false
	}
	return gossip.relay.urgent() || !now.Before(gossip.relay.sentAt.Add(max(gossip.pause(), sendInterval)))
}

// sendSummary sends to the receivers what changed in the group since the last summary.
// Without changes it sends one only after the keepalive interval. The caller holds mu.
func (gossip *Gossip) sendSummary(now time.Time) {
	relay := &gossip.relay
	relay.delta.sends = 1
	relay.delta.interval = max(completeInterval, gossip.keepalive())
	loads, complete := relay.delta.next(now, gossip.Loads.SumOf(gossip.memberRuns()))
	states := gossip.groupStates(now)
	members, hash := gossip.groupMembers()
	listed := gossip.listsMembers(now, hash)
	content := complete || listed || len(loads)+len(relay.cacheUpdates)+len(relay.changes)+len(relay.outcomes)+len(relay.datagrams) > 0
	idle := gossip.keepalive()
	if len(states) > 0 {
		idle = gossip.statePause()
	}
	if !content && now.Before(relay.sentAt.Add(idle)) {
		return
	}
	relay.sentAt = now
	relay.sequence++
	own := gossip.topology.own
	message := SummaryMessage{
		Router:       gossip.Router,
		Sequence:     relay.sequence,
		Address:      gossip.Address,
		Zone:         own.zone,
		Groups:       own.of,
		Index:        own.index,
		MembersHash:  hash,
		Loads:        encodeLoads(loads),
		Complete:     complete,
		CacheUpdates: takeFirst(&relay.cacheUpdates, maxCacheUpdates),
		Changes:      takeFirst(&relay.changes, maxChanges),
		States:       states,
	}
	if listed {
		message.Members = members
	}
	outcomes := relay.outcomes
	relay.outcomes = nil
	gossip.broadcastSummary(now, message, outcomes)
}

// broadcastSummary sends a summary to all receivers, with the outcomes to those in the
// same availability zone, and the relayed datagrams. The caller holds mu.
func (gossip *Gossip) broadcastSummary(now time.Time, message SummaryMessage, outcomes []health.Tally) {
	datagrams := [][]byte{gossip.encode(message)}
	message.Outcomes = outcomes
	inZone := [][]byte{datagrams[0]}
	if len(outcomes) > 0 {
		inZone[0] = gossip.encode(message)
	}
	datagrams, inZone = append(datagrams, gossip.relay.datagrams...), append(inZone, gossip.relay.datagrams...)
	gossip.relay.datagrams = nil
	for _, receiver := range gossip.topology.receivers {
		if receiver.zone == gossip.Zone {
			gossip.sendAll(now, receiver, inZone)
			continue
		}
		gossip.sendAll(now, receiver, datagrams)
	}
}

// memberRuns returns the runs of the other routers of the group. The caller holds mu.
func (gossip *Gossip) memberRuns() []balance.RouterID {
	runs := make([]balance.RouterID, 0, len(gossip.topology.members))
	for _, member := range gossip.topology.members {
		runs = append(runs, member.router)
	}
	return runs
}

// groupMembers returns the routers of the group, sorted by address, and a hash of them.
// The caller holds mu.
func (gossip *Gossip) groupMembers() ([]MemberItem, uint64) {
	members := []MemberItem{{Address: gossip.Address, Warm: gossip.warm}}
	for _, member := range gossip.topology.members {
		members = append(members, MemberItem{Address: member.name, Warm: member.warm})
	}
	slices.SortFunc(members, func(a, b MemberItem) int { return strings.Compare(a.Address, b.Address) })
	return members, hashOf(members)
}

// listsMembers reports whether the next summary lists the members of the group, which
// have the given hash. The caller holds mu.
func (gossip *Gossip) listsMembers(now time.Time, hash uint64) bool {
	relay := &gossip.relay
	if hash != relay.membersHash {
		relay.membersHash, relay.membersSent = hash, 0
	}
	if relay.membersSent >= memberSends && now.Before(relay.repeatAt) {
		return false
	}
	relay.membersSent++
	relay.repeatAt = now.Add(memberKeepalives * gossip.keepalive())
	return true
}

// ownState returns what this router says of the store.
func (gossip *Gossip) ownState(now time.Time) StateItem {
	var message Message
	gossip.Fill(now, &message)
	return stateOf(gossip.Address, message)
}

// stateOf returns what a message of the router at address says of the store.
func stateOf(address string, message Message) StateItem {
	return StateItem{
		Address:       address,
		StoreUptime:   message.StoreUptime,
		ReadAge:       message.ReadAge,
		Digest:        message.Digest,
		ConfigVersion: message.ConfigVersion,
	}
}

// aged returns the state of a router as of a later time.
func (state StateItem) aged(by time.Duration) StateItem {
	age := ident.Milliseconds(by.Milliseconds())
	if state.ReadAge > 0 {
		state.ReadAge += age
	}
	if state.StoreUptime > 0 {
		state.StoreUptime += age
	}
	return state
}

// reaches reports whether the store answers the router.
func (state StateItem) reaches() bool { return state.StoreUptime > 0 && state.ReadAge > 0 }

// rank returns the router's place among those that read the store for others.
func (state StateItem) rank() uint64 { return follow.Rank(state.Address) }

// groupStates returns the states of the routers of the group on which others rely: those
// among the first that reach the store, and one with a configuration that is newer than
// any that other groups have sent. The caller holds mu.
func (gossip *Gossip) groupStates(now time.Time) []StateItem {
	members := gossip.memberStates(now)
	last := gossip.lastReliedOn(now, members)
	var states []StateItem
	newest := StateItem{ConfigVersion: gossip.knownConfig()}
	for _, state := range members {
		if state.reaches() && state.rank() <= last {
			states = append(states, state)
		}
		if state.ConfigVersion > newest.ConfigVersion {
			newest = state
		}
	}
	listed := slices.ContainsFunc(states, func(state StateItem) bool { return state.ConfigVersion >= newest.ConfigVersion })
	if newest.Address != "" && !listed {
		states = append(states, newest)
	}
	return states
}

// memberStates returns the states of the routers of the group, that of this one first. The
// caller holds mu.
func (gossip *Gossip) memberStates(now time.Time) []StateItem {
	states := []StateItem{gossip.ownState(now)}
	for _, member := range gossip.topology.members {
		states = append(states, member.state.aged(now.Sub(member.directAt)))
	}
	return states
}

// knownConfig returns the version of the newest configuration that other groups have
// sent. The caller holds mu.
func (gossip *Gossip) knownConfig() routing.Version {
	var newest routing.Version
	for _, remote := range gossip.groups {
		for _, state := range remote.states {
			newest = max(newest, state.ConfigVersion)
		}
	}
	return newest
}

// lastReliedOn returns the rank of the last of the routers on which others rely: the first
// that reach the store, as far as this router knows. members are the states of its own group.
// The caller holds mu.
func (gossip *Gossip) lastReliedOn(now time.Time, members []StateItem) uint64 {
	var ranks []uint64
	add := func(states []StateItem) {
		for _, state := range states {
			if state.reaches() {
				ranks = append(ranks, state.rank())
			}
		}
	}
	add(members)
	for _, remote := range gossip.groups {
		if now.Sub(remote.receivedAt) <= gossip.silence(minMemberTimeout) {
			add(remote.states)
		}
	}
	if len(ranks) == 0 {
		return 0
	}
	slices.Sort(ranks)
	return ranks[min(len(ranks), reliedOnRouters)-1]
}
