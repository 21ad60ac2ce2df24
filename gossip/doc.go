// Package gossip exchanges state between routers in datagrams: the requests in
// flight at each upstream, the prompt prefixes that upstreams have cached, the
// outcomes of requests and changes of upstreams.
//
// The routers of a large fleet are divided into groups. A router sends each Message to
// the others of its group, and a SummaryMessage about the group to some routers of other
// groups, so that the number of its partners grows with the square root of the fleet.
// docs/design/state.md has the reasons.
//
// It guarantees that a datagram which is lost, late, duplicated or malformed does
// no harm beyond an older view of the other routers, and that a router adds each
// router it receives a message from, so it is enough if one of the two knows the
// other's address. The correctness of a router never depends on these messages.
package gossip
