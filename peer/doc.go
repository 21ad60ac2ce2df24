// Package peer carries control messages between daemons: net/rpc over
// long-lived TCP connections, authenticated by a shared key.
//
// It promises that no method runs for a connection that has not proved the key,
// and that every byte of it is counted as control traffic.
package peer
