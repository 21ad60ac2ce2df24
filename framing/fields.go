package framing

import (
	"strconv"
	"strings"
)

const (
	// transferEncoding is the longest name of a header that states the length of a body.
	transferEncoding = "transfer-encoding"
	// maxNameBytes and maxValueBytes limit how much of a header the scanner keeps: all of those
	// that state the length of a body. A longer value of those is refused.
	maxNameBytes  = len(transferEncoding) + 1
	maxValueBytes = 64
)

// beginField expects a header or a trailer, or the empty line behind them. A line that begins with
// a blank continued the one before it in an older form of the protocol.
func beginField(scanner *Scanner, b byte) bool {
	if b == '\r' {
		return scanner.expect(endFields, 0)
	}
	scanner.head.name, scanner.head.value, scanner.head.valueTooLong = scanner.head.name[:0], scanner.head.value[:0], false
	return tokenByte.has(b) && scanner.expect(inName, 0) && inName(scanner, b)
}

// inName expects the rest of a name, and the colon directly behind it.
func inName(scanner *Scanner, b byte) bool {
	head := &scanner.head
	switch {
	case b == ':' && head.statesLength() && !scanner.inBody:
		return scanner.expect(inLengthValue, 0)
	case b == ':':
		return scanner.expect(endField, textByte)
	case len(head.name) < maxNameBytes:
		head.name = append(head.name, lower(b))
	}
	return tokenByte.has(b)
}

// statesLength reports whether the header is one of those that state the length of a body.
func (head *head) statesLength() bool {
	return string(head.name) == "content-length" || string(head.name) == transferEncoding
}

// inLengthValue expects the value of a header that states the length of the body.
func inLengthValue(scanner *Scanner, b byte) bool {
	head := &scanner.head
	switch {
	case !textByte.has(b):
		return head.parseLength() && endField(scanner, b)
	case isBlank(b) && len(head.value) == 0:
	case len(head.value) < maxValueBytes:
		head.value = append(head.value, lower(b))
	default:
		head.valueTooLong = true
	}
	return true
}

// parseLength parses a whole Content-Length or Transfer-Encoding, and reports whether the body has
// one length.
func (head *head) parseLength() bool {
	if head.valueTooLong {
		return false
	}
	value := strings.TrimRight(string(head.value), " \t")
	if string(head.name) == transferEncoding {
		again := head.chunked
		head.chunked = true
		// A recipient of the older version does not know of encodings.
		return !again && head.minorVersion != '0' && value == "chunked"
	}
	length, err := strconv.ParseUint(value, 10, sizeBits)
	head.lengthCount++
	head.length = int64(length)
	return err == nil && head.lengthCount == 1
}

// endField expects the end of a header line.
func endField(scanner *Scanner, b byte) bool {
	if !scanner.inBody {
		scanner.headFields++
	}
	return b == '\r' && scanner.expectLineFeed(beginField)
}

// endFields expects the end of the empty line behind headers or trailers.
func endFields(scanner *Scanner, b byte) bool {
	if b != '\n' {
		return false
	}
	if scanner.inBody {
		scanner.endMessage()
		return true
	}
	return scanner.beginBody()
}
