// Package sidecar is the process beside each upstream, and the client by which
// routers reach it.
//
// It promises that every request to the upstream passes its admission, that a
// refusal with outcome NotRun is given only where nothing was forwarded, and
// that a reader whose connection was cut can resume the answer where it broke.
package sidecar
