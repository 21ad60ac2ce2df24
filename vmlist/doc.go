// Package vmlist holds a daemon's copy of the platform's list of VMs and records
// the changes between its states, so that daemons can send each other changes
// instead of each reading the whole list from the platform.
//
// A daemon that applies a change from another daemon has the same list as that
// daemon. A state that the platform confirmed earlier never replaces one that it
// confirmed later.
package vmlist
