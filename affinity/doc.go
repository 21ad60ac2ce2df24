// Package affinity ranks the upstreams of a pool for a chat.
//
// It promises that every daemon with the same pool gives the same order for
// the same chat, that a change of one upstream moves only the chats that this
// upstream gains or loses, and that ranking allocates nothing.
package affinity
