// Package peer carries control messages between daemons, net/rpc over
// long-lived TCP connections authenticated by a shared key, and replicates the
// settings over them.
//
// It promises that no method runs for a connection that has not proved the key,
// that every byte of it is counted as control traffic, and that a daemon never
// puts an older revision of a team's settings in force.
package peer
