// Package sidecar implements the process that runs beside each upstream and the
// HTTP client that routers use to call it.
//
// It guarantees that every request to the upstream goes through admission
// control, that a refusal with outcome NotRun is given only if nothing was
// forwarded to the upstream, and that a reader whose connection broke can resume
// the answer at the frame where it stopped, as long as the answer is kept.
package sidecar
