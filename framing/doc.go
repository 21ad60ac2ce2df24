// Package framing scans the bytes of an HTTP/1.1 connection for messages whose
// end two parsers could see in different places, as in request smuggling.
//
// It guarantees that a message with both a Content-Length and a
// Transfer-Encoding, with more than one Content-Length, or with a
// Transfer-Encoding other than chunked is reported before any byte after its
// head is taken for another message. It does no I/O.
package framing
