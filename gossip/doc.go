// Package gossip tells routers what the others have in flight and which
// upstreams have which shared prompts cached, in datagrams.
//
// It promises that a datagram which is lost, late, repeated or malformed costs
// no more than an older view, and that a router which another one can't be
// found by is found by sending to it. Nothing that must be true depends on it.
package gossip
