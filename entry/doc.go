// Package entry puts together the router of an entry VM of the platform.
//
// It promises that the process reports itself ready only while it has a
// configuration and upstreams and is not stopping, and that a planned stop
// answers every request that was read before the process ends, as far as the
// platform's time for it allows.
package entry
