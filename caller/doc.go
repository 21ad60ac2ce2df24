// Package caller implements the router's HTTP interface for callers and places
// their requests on upstreams.
//
// It guarantees that a caller receives the complete answer to its own request or
// an explicit error, that a request that is not idempotent is sent to another
// upstream only if it certainly did not run before, and that a request that an
// upstream may have run never ends with a code of outcome NotRun.
package caller
