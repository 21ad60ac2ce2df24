package gossip

import (
	"fmt"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/hickoryhead/hickoryhead/balance"
	"github.com/hickoryhead/hickoryhead/ident"
)

const (
	// directRouters is the number of routers up to which all are in one group and so
	// exchange messages directly.
	directRouters = 12
	// minGroupSize is the least number of routers that a group is meant to have.
	minGroupSize = 8
	// splitFactor is how many times its intended size a group may have before its
	// availability zone gets twice as many groups.
	splitFactor = 1.5
)

// group is a set of routers that exchange messages directly. All other routers receive
// the sum of its state. The routers of a group are in the same availability zone, unless
// the fleet is small. The zero value is the group of all routers of a small fleet.
type group struct {
	zone ident.Zone
	// of is the number of groups in the zone, or zero in a small fleet, and index the
	// position of this one among them.
	of    int
	index int
}

// id returns the identity of the group in messages and sums.
func (group group) id() balance.GroupID {
	return balance.GroupID(fmt.Sprintf("%s/%d/%d", group.zone, group.of, group.index))
}

// groupOf returns the group of the router whose address has the given hash, if its zone has
// so many groups. It depends on no other router, so that routers which disagree on who runs
// agree on the groups.
func groupOf(zone ident.Zone, addressHash uint64, groups int) group {
	if groups == 0 {
		return group{}
	}
	return group{zone: zone, of: groups, index: int(addressHash % uint64(groups))}
}

// hashAddress returns the hash of a router's address.
func hashAddress(address string) uint64 { return xxhash.Sum64String(address) }

// groupsOf returns how many groups a zone has, given its routers and those of the fleet.
// A group has about the square root of the fleet as members, so that a router has as
// many partners within its group as outside of it.
func groupsOf(inZone, fleet int) int {
	if fleet <= directRouters {
		return 0
	}
	size := max(minGroupSize, math.Sqrt(float64(fleet)))
	groups := 1
	for float64(inZone)/float64(groups) > splitFactor*size {
		groups *= 2
	}
	return groups
}

// partnerScore ranks the routers of a group as senders of its sum to a receiver, by
// rendezvous hashing.
func partnerScore(sender, receiver string) uint64 { return xxhash.Sum64String(sender + " " + receiver) }

// topology says whom the router sends what. It changes with the routers that run.
type topology struct {
	own group
	// direct are the peers that receive its messages, members the other routers of its
	// group that run, and receivers the peers of other groups to which it sends the sum
	// of its group.
	direct    []*peer
	members   []*peer
	receivers []*peer
	// sends is the number of datagrams that one round of messages takes: unresponsive
	// peers get few.
	sends int
}

// divide returns the number of groups in each zone. It counts all routers that are known,
// also silent ones, so that a router which is cut off or starts again changes no groups. The
// caller holds mu.
func (gossip *Gossip) divide() map[ident.Zone]int {
	inZone, fleet := map[ident.Zone]int{gossip.Zone: 1}, 1
	for _, peer := range gossip.peers {
		if peer.summaries {
			inZone[peer.zone]++
			fleet++
		}
	}
	groups := make(map[ident.Zone]int, len(inZone))
	for zone, count := range inZone {
		groups[zone] = groupsOf(count, fleet)
	}
	return groups
}

// refreshTopology determines the topology again if it may have changed, but not for each of
// many routers that start at once. The caller holds mu.
func (gossip *Gossip) refreshTopology(now time.Time) {
	age := now.Sub(gossip.laidOutAt)
	if age < checkInterval || !gossip.topologyStale && age < layoutInterval {
		return
	}
	gossip.topology = gossip.layout(now)
	gossip.laidOutAt, gossip.topologyStale = now, false
}

// layout returns the topology for the known peers. The caller holds mu.
func (gossip *Gossip) layout(now time.Time) topology {
	groups := gossip.divide()
	result := topology{own: groupOf(gossip.Zone, hashAddress(gossip.Address), groups[gossip.Zone])}
	var others []*peer
	for _, peer := range gossip.peers {
		if !peer.summaries {
			result.direct = append(result.direct, peer)
			continue
		}
		peer.group = groupOf(peer.zone, peer.hash, groups[peer.zone])
		switch peer.group {
		case result.own:
			result.direct = append(result.direct, peer)
			if now.Sub(peer.directAt) <= gossip.silence(minMemberTimeout) {
				result.members = append(result.members, peer)
			}
		default:
			others = append(others, peer)
		}
	}
	result.receivers = slices.DeleteFunc(others, func(receiver *peer) bool {
		return !gossip.isPartner(result.members, receiver)
	})
	for _, peer := range slices.Concat(result.direct, result.receivers) {
		if !gossip.unresponsive(now, peer) {
			result.sends++
		}
	}
	return result
}

// isPartner reports whether this router, among the members of its group, is the one that
// sends the sum of the group to receiver. The caller holds mu.
func (gossip *Gossip) isPartner(members []*peer, receiver *peer) bool {
	own := partnerScore(gossip.Address, receiver.name)
	return !slices.ContainsFunc(members, func(member *peer) bool {
		return partnerScore(member.name, receiver.name) > own
	})
}
