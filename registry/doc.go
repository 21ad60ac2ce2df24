// Package registry holds the upstreams that the platform's table lists and the
// pools that a router may choose from.
//
// It promises that an upstream that is leaving or gone is in no pool from the
// change on that says so, and that an upstream whose row lapsed while the store
// was away stays in its pool until the store has been back for RejoinWait. It
// does no I/O and reads no clock.
package registry
