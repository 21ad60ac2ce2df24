// Package directory turns the platform's list of VMs, and what sidecars say of
// themselves, into the pools of upstreams that a daemon may choose from.
//
// It promises that an upstream that said it is leaving is in no pool from then
// on, until another run of its process says otherwise. It does no I/O.
package directory
