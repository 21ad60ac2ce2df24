// Package http1 implements the client side of HTTP/1.1 connections that carry
// one request at a time.
//
// It guarantees that an error says whether any byte of the request may have
// left this process, that the package never sends a request a second time by
// itself, and that it never keeps a connection on which bytes could arrive that
// belong to no request.
package http1
