// Package framing follows the HTTP/1.1 messages in the bytes of a connection
// and finds those whose end two parsers could see in different places.
//
// It promises that a message with both a length and an encoding, with
// differing lengths, or with an encoding other than chunked is reported before
// a byte behind its head is taken for another message. It does no I/O.
package framing
