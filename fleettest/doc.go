// Package fleettest starts a small fleet as separate processes on loopback, for
// tests that need complete programs: routers, sidecars with their upstreams, and
// the stand-in for the platform.
//
// It guarantees that every process it started has exited when the test ends, and
// fails the test if one of them reported a data race.
package fleettest
