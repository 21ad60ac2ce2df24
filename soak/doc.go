// Package soak runs routers as separate processes against stand-ins of the store
// and of upstreams, injects faults from outside the processes, and checks the
// guarantees to callers and upstreams while they run.
//
// The same seed draws the same faults in the same order. A soak ends only
// processes that it started, by their IDs, and all its traffic stays on the
// loopback interface.
package soak
