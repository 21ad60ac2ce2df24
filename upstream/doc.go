// Package upstream speaks to the model engine or plain service that a sidecar
// stands beside.
//
// It promises to tell apart a request of which no byte was sent from one that
// the upstream may have run.
package upstream
