// Package daemon puts the parts of a router and of a sidecar together and runs
// them.
//
// It promises that a daemon whose context ends takes no new work, finishes what
// is in flight, and only then returns.
package daemon
