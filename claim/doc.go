// Package claim implements the state machine that runs a request that is not
// idempotent at most once.
//
// It guarantees that an upstream runs at most one attempt for a service,
// workspace and idempotency key, whichever answers are lost, late or repeated,
// and that an attempt is reported as not run only if it cannot run any more.
// The package does no I/O; package claimtable drives the state machine.
package claim
