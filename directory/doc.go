// Package directory groups the upstreams of the platform's list of VMs into the
// pools from which a daemon selects. It also uses what sidecars report about
// themselves, which is often newer than the list.
//
// Once an upstream has reported that it is leaving, it is in no pool until its
// sidecar has restarted and reports otherwise. The package does no I/O.
package directory
