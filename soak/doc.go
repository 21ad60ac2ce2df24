// Package soak runs routers as separate processes before stand-ins of the store
// and of upstreams, injects faults from outside them, and checks the promises to
// callers and upstreams while it runs.
//
// It promises that a seed gives the same faults in the same order, that it ends
// only processes that it started, by their IDs, and that all its traffic stays
// on loopback.
package soak
