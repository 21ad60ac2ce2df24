// Package forward is the transparent front of a router: it takes any HTTP
// request of a caller, chooses an upstream and relays the answer unchanged.
//
// It promises that a request that may not be repeated is sent again only after
// proof that it did not run, that a status which says "not run" is true, that
// an answer is given only to the request whose ID it bears, that an answer
// which ends early never looks complete, and that a caller that leaves stops
// the work at the upstream.
package forward
