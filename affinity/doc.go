// Package affinity ranks the upstreams of a pool for a chat and plans the order
// in which a router tries them.
//
// It promises that every daemon with the same pool gives the same order for
// the same chat, whatever the order of its candidate list; that a change of one
// upstream moves only the chats that this upstream gains or loses; that chats
// spread over the upstreams in proportion to the weights; and that ranking
// allocates nothing.
package affinity
