// Package peer carries control messages between daemons as net/rpc over
// long-lived TCP connections that are authenticated by a shared key, and
// replicates the settings over these connections.
//
// It guarantees that no method runs for a connection that has not proved the
// shared key, that every byte sent or received is counted as control traffic,
// and that a daemon never replaces a team's settings with an older revision.
package peer
