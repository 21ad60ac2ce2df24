// Package health ejects upstreams that fail more requests than others.
//
// An upstream is ejected only if it could not be reached or if its outcomes are
// worse than those of the other upstreams of its service. An ejection ends after
// a while and is followed by probation, in which the upstream should get
// retryable requests only. An upstream that fails again is ejected for longer.
// The package does no I/O and reads no clock.
package health
