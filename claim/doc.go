// Package claim holds the state machine of a request that is not idempotent.
//
// It promises that for one service, workspace and idempotency key at most one
// attempt is ever told to forward, whatever answers are lost, late or repeated,
// and that "not run" is concluded only where no attempt can have forwarded.
package claim
