// Package health judges upstreams by the outcomes of the requests they were
// sent.
//
// It promises that an upstream is set aside only for outcomes that are worse
// than those of the other upstreams of its service, that it is tried again
// after a while, at first with requests that may be repeated, and that one that
// fails again is set aside for longer. It does no I/O and reads no clock.
package health
