// Package upstream is the HTTP client of the model engine or plain service that a
// sidecar serves.
//
// Its errors distinguish a request of which no byte was sent from one that the
// upstream may have run.
package upstream
