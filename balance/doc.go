// Package balance chooses the upstream of a request.
//
// Requests with the same shared prompt prefix go to the same upstream while it
// is healthy, below the load bound and not so busy with prefill that the request
// would miss its target. No upstream at the bound is chosen while an eligible
// one is below it. Routers with the same pool, loads and cache index make the
// same choice, except that ties between equally loaded upstreams are broken at
// random. The package does no I/O and reads no clock.
//
// With Chooser.FirstEvent, the time to the first event is predicted instead of assumed
// from the pending prefill at one rate. Among the upstreams that have the prefix cached
// and are expected to answer equally soon, the less loaded of two random ones is taken.
// Predictions change none of the bounds: a wrong one costs time only.
//
// The load of an upstream is the sum of the requests that all routers report to
// have in flight there. A router that receives no messages from other routers
// uses the upstream's own last report instead, adjusted by the requests that the
// router itself has started and finished since.
package balance
