// Package caller serves callers over HTTP and places their requests on
// upstreams.
//
// It promises that a caller gets its own whole answer or an explicit error,
// that a request that is not idempotent is offered to another upstream only
// after a confirmed "not run", and that no code with outcome NotRun is given
// for a request that an upstream may have run.
package caller
