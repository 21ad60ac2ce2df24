// Package changetest tests a router process whose configuration, settings and life change while
// many callers use kept connections: each request that the router has read gets an answer or a
// refusal.
//
// The process gets a small share of a core, as on a small VM, so that requests wait in the
// kernel or behind a read while the router closes idle connections. The package has tests only.
package changetest
