// Package affinity ranks the upstreams of a pool for a chat and plans the order
// in which a router tries them.
//
// It guarantees that every daemon with the same pool computes the same order
// for the same chat, whatever the order of its candidate list; that adding,
// removing or reweighting one upstream moves only the chats that this upstream
// gains or loses; that chats are spread over the upstreams in proportion to the
// weights; and that ranking does not allocate.
package affinity
