// Package http1 is the client side of HTTP/1.1 connections that carry one
// request at a time.
//
// It promises to tell whether a byte of a request may have left this process,
// never to send a request a second time by itself, and never to keep a
// connection on which bytes could arrive that belong to no request.
package http1
