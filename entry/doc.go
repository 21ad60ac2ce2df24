// Package entry assembles the router process of an entry VM.
//
// It guarantees that the process reports itself ready only while it has a
// configuration and upstreams and is not stopping. A planned stop answers every
// request that was read before the process ends, as far as the time that the
// platform allows for the stop is long enough.
package entry
