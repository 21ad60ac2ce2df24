package framing

// sizeBits limits the length of a body and the size of a chunk.
const sizeBits = 62

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

// expectLineFeed expects the end of a line, and then next.
func (scanner *Scanner) expectLineFeed(next step) bool {
	scanner.afterLine = next
	return scanner.expect(endLine, 0)
}

func endLine(scanner *Scanner, b byte) bool {
	return b == '\n' && scanner.expect(scanner.afterLine, 0)
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
