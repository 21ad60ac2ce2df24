// Package vmlist keeps the platform's list of VMs at a daemon and works out
// what changed in it, so that daemons can pass changes on to each other instead
// of each reading the whole list again.
//
// It promises that a daemon that takes in a change has the same list as the
// daemon that gave it, and that a list which the platform confirmed earlier
// never replaces one that it confirmed later.
package vmlist
