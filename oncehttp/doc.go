// Package oncehttp is an HTTP client that sends a request at most once.
//
// A request with a method other than GET and HEAD is written to at most one
// connection, and an error reports whether any byte of the request may have left
// this process. net/http guarantees neither: when a kept-alive connection breaks,
// it resends a request that has an Idempotency-Key header.
//
// Responses are checked for the form of the protocol as they are read (package framing), and one
// that ends with its connection is whole only if the peer closed that in order.
//
// A connection may stay open and deliver nothing more. After a request that got no response
// before its deadline, connections that are as old carry no further request. DoHedged sends
// a read again on a new connection, which distinguishes a silent connection
// from a server that is slow or away.
package oncehttp
