// Package follow keeps what a router believes up to date with the platform's
// store: the operators' configuration and the rows of the upstreams.
//
// It promises that every call has a deadline, that calls to a store which fails
// are spread out, that a lost history is replaced by a whole read, and that a
// row which can't be understood changes nothing but itself.
package follow
