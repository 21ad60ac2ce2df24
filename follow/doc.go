// Package follow keeps a router's configuration, the evacuated zones and its list of
// upstreams up to date with the platform's store.
//
// It guarantees that every call has a deadline, that calls to a failing store
// are spread out, that a table is read in full when the store no longer has the
// history of its changes, and that a row which can't be decoded affects no other
// row.
package follow
