// Package framing scans the bytes of an HTTP/1.1 connection, so that two parsers can't see the end
// of a message in different places, as in request smuggling.
//
// It accepts a message only if each line of its head, of its chunks and of its trailers has the
// form that RFC 9112 defines, and only if the head states the length of the body in one way. It
// repairs nothing: a folded line, a blank before a colon, a control byte, a bare line feed and
// anything else that another parser might read differently is reported, before any byte after it
// is taken for another message. The same holds for the responses of a connection: one that is out of
// form is none, from its first byte on that breaks the form. It does no I/O.
package framing
