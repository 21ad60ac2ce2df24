package framing

import (
	"strconv"
	"strings"
)

const (
	// maxNameBytes and maxValueBytes limit how much of a header the scanner keeps: all of those
	// that state the length of a body. A longer value of those is refused.
	maxNameBytes  = len(transferEncoding) + 1
	maxValueBytes = 64
	// maxChunkDigits limits the digits of the size of a chunk, and bits its value and that of a
	// Content-Length.
	maxChunkDigits = 15
	sizeBits       = 62
)

// transferEncoding is the longest name of a header that states the length of a body.
const transferEncoding = "transfer-encoding"

// Scanner tracks the messages of one direction of a connection. The zero value expects the first
// byte of a request. It is not safe for concurrent use.
type Scanner struct {
	// responses is set if the messages are responses, and bodiless if the next one answers a HEAD
	// request.
	responses, bodiless bool

	// next processes the next byte, and returns false if it breaks the form of a message; nil
	// stands for the first byte of a message.
	next    step
	invalid bool
	// run is the class of the bytes that may follow without a change of next, unless it is zero.
	run byteClass
	// afterLine is the step behind the line feed that is expected.
	afterLine step
	// remaining counts the bytes of a body or chunk that are still to come.
	remaining int64
	inBody    bool
	head      head
	// headBytes and headFields count the bytes and the header lines of a head that has not ended, and
	// heads those that have.
	headBytes  int
	headFields int
	heads      int
}

// step processes one byte. It sets the step for the next one, and returns false if the byte breaks
// the form of a message.
type step func(scanner *Scanner, b byte) bool

// head is what the scanner keeps of the head that it is in, or of the line that it is in.
type head struct {
	// matched counts the bytes of protocol that were read.
	matched int
	// minorVersion is the last digit of the version.
	minorVersion byte
	// status is the status code of a response, and statusDigits how many of its digits were read.
	status, statusDigits int
	// name and value are the beginnings of those of a header, in lower case, size is that of a chunk.
	name, value []byte
	size        []byte
	// valueTooLong is set if value is not the whole value.
	valueTooLong bool
	lengthCount  int
	length       int64
	chunked      bool
}

// Heads returns how many heads have ended.
func (scanner *Scanner) Heads() int { return scanner.heads }

// HeadBytes returns how many bytes of a head have been scanned that has not ended yet, and
// zero outside of heads.
func (scanner *Scanner) HeadBytes() int { return scanner.headBytes }

// HeadFields returns how many headers of that head have been scanned.
func (scanner *Scanner) HeadFields() int { return scanner.headFields }

// InBody reports whether a head has ended whose body has not.
func (scanner *Scanner) InBody() bool { return scanner.inBody }

// Scan processes the next bytes and reports whether all messages so far have the form of a
// message. Once false, it stays false.
func (scanner *Scanner) Scan(data []byte) bool { return scanner.scan(data) == len(data) }

// scan processes the next bytes and returns how many of them have the form of messages.
func (scanner *Scanner) scan(data []byte) int {
	for at := 0; at < len(data); {
		if scanner.invalid {
			return at
		}
		if scanner.remaining > 0 {
			count := min(scanner.remaining, int64(len(data)-at))
			scanner.skip(count)
			at += int(count)
			continue
		}
		if scanner.next == nil {
			scanner.beginMessage()
		}
		if !scanner.inBody {
			scanner.headBytes++
		}
		if b := data[at]; !scanner.run.has(b) && !scanner.next(scanner, b) {
			scanner.invalid = true
			return at
		}
		at++
	}
	return len(data)
}

// beginMessage expects the first byte of a message.
func (scanner *Scanner) beginMessage() {
	scanner.next = beginRequest
	if scanner.responses {
		scanner.next = inVersion
	}
}

// skip consumes bytes of a body or a chunk.
func (scanner *Scanner) skip(count int64) {
	scanner.remaining -= count
	if scanner.remaining == 0 && scanner.next == nil {
		scanner.endMessage()
	}
}

// expect sets the step for the next byte that is not in the class run.
func (scanner *Scanner) expect(next step, run byteClass) bool {
	scanner.next, scanner.run = next, run
	return true
}

// endMessage prepares the scanner for the head of the next message.
func (scanner *Scanner) endMessage() {
	*scanner = Scanner{
		responses: scanner.responses,
		bodiless:  scanner.bodiless,
		heads:     scanner.heads,
		head:      head{name: scanner.head.name[:0], value: scanner.head.value[:0], size: scanner.head.size[:0]},
	}
}

// beginRequest expects a method, or an empty line before it.
func beginRequest(scanner *Scanner, b byte) bool {
	if b == '\r' {
		return scanner.expectLineFeed(beginRequest)
	}
	return tokenByte.has(b) && scanner.expect(afterMethod, tokenByte)
}

func afterMethod(scanner *Scanner, b byte) bool {
	return b == ' ' && scanner.expect(beginTarget, 0)
}

func beginTarget(scanner *Scanner, b byte) bool {
	return targetByte.has(b) && scanner.expect(afterTarget, targetByte)
}

func afterTarget(scanner *Scanner, b byte) bool {
	return b == ' ' && scanner.expect(inVersion, 0)
}

// protocol begins the version of all messages that are taken.
const protocol = "HTTP/1."

// inVersion expects protocol and a digit.
func inVersion(scanner *Scanner, b byte) bool {
	if scanner.head.matched < len(protocol) {
		scanner.head.matched++
		return b == protocol[scanner.head.matched-1]
	}
	scanner.head.minorVersion = b
	if scanner.responses {
		return isDigit(b) && scanner.expect(beforeStatus, 0)
	}
	return isDigit(b) && scanner.expect(endStartLine, 0)
}

func endStartLine(scanner *Scanner, b byte) bool {
	return b == '\r' && scanner.expectLineFeed(beginField)
}

// expectLineFeed expects the end of a line, and then next.
func (scanner *Scanner) expectLineFeed(next step) bool {
	scanner.afterLine = next
	return scanner.expect(endLine, 0)
}

func endLine(scanner *Scanner, b byte) bool {
	return b == '\n' && scanner.expect(scanner.afterLine, 0)
}

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

// beginBody selects what follows the head: a body, chunks or the next message. It returns false if
// the head states two lengths.
func (scanner *Scanner) beginBody() bool {
	if scanner.head.chunked && scanner.head.lengthCount > 0 {
		return false
	}
	scanner.headBytes, scanner.headFields = 0, 0
	scanner.heads++
	switch {
	case scanner.endsWithHead():
	case scanner.head.chunked:
		scanner.inBody = true
		return scanner.expect(beginChunk, 0)
	case scanner.head.length > 0:
		scanner.inBody = true
		scanner.remaining = scanner.head.length
		return scanner.expect(nil, 0)
	case scanner.responses && scanner.head.lengthCount == 0:
		scanner.inBody = true
		scanner.remaining = endOfConnection
		return scanner.expect(nil, 0)
	}
	scanner.endMessage()
	return true
}

// beginChunk expects the first digit of the size of a chunk.
func beginChunk(scanner *Scanner, b byte) bool {
	scanner.head.size = scanner.head.size[:0]
	return hexByte.has(b) && scanner.expect(inChunkSize, 0) && inChunkSize(scanner, b)
}

// inChunkSize expects the rest of the size of a chunk, and what may stand behind it.
func inChunkSize(scanner *Scanner, b byte) bool {
	if hexByte.has(b) {
		scanner.head.size = append(scanner.head.size, b)
		return len(scanner.head.size) <= maxChunkDigits
	}
	return beforeExtension(scanner, b)
}

// beforeExtension expects the extension of a chunk, with blanks before it, or the end of the line.
func beforeExtension(scanner *Scanner, b byte) bool {
	switch {
	case isBlank(b):
		return scanner.expect(beforeSemicolon, 0)
	case b == ';':
		return scanner.expect(endChunkLine, textByte)
	}
	return endChunkLine(scanner, b)
}

// beforeSemicolon expects the extension of a chunk behind a blank.
func beforeSemicolon(scanner *Scanner, b byte) bool {
	return isBlank(b) || b == ';' && scanner.expect(endChunkLine, textByte)
}

func endChunkLine(scanner *Scanner, b byte) bool {
	return b == '\r' && scanner.expect(beginChunkData, 0)
}

// beginChunkData expects the end of the line with the size of a chunk.
func beginChunkData(scanner *Scanner, b byte) bool {
	size, err := strconv.ParseUint(string(scanner.head.size), 16, sizeBits)
	switch {
	case b != '\n' || err != nil:
		return false
	case size == 0:
		return scanner.expect(beginField, 0)
	}
	scanner.remaining = int64(size)
	return scanner.expect(endChunk, 0)
}

// endChunk expects the end of the line behind the data of a chunk.
func endChunk(scanner *Scanner, b byte) bool {
	return b == '\r' && scanner.expectLineFeed(beginChunk)
}
