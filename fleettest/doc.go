// Package fleettest starts a small fleet as separate processes on loopback, for
// tests that need whole programs: routers, sidecars with their upstreams, and
// the stand-in of the platform.
//
// It promises that every process it started has ended when the test ends.
package fleettest
