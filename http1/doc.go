// Package http1 implements the client side of HTTP/1.1 connections that carry
// one request at a time.
//
// It guarantees that an error says whether any byte of the request may have
// left this process, that the package never sends a request a second time by
// itself, that it never uses a connection again on which bytes arrived that belong
// to no request, that it holds a bounded part of what a peer sends, and that a
// response which ends with its connection is whole only if the peer closed that in
// order, also while the request was still being written. Responses are checked for
// the form of the protocol as they are read (package framing); one that is out of form
// is an error.
package http1
