// Package daemon assembles the components of a router and of a sidecar and runs
// them.
//
// It guarantees that a daemon whose context is cancelled accepts no new requests
// and returns only after the requests in flight are finished or the stop timeout
// has passed.
package daemon
