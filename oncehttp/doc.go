// Package oncehttp sends an HTTP request at most once.
//
// It promises that a request with a method other than GET and HEAD is written to
// at most one connection, and that an error tells whether any byte of it can
// have left this process. net/http alone promises neither: it sends a request
// again that carries an Idempotency-Key header when a kept-alive connection
// breaks.
package oncehttp
