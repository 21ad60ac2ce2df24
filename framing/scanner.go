package framing

import (
	"bytes"
	"strconv"
	"strings"
)

// maxLineBytes limits how much of a line the scanner keeps. The rest of a
// longer line is skipped: no valid length or encoding is that long.
const maxLineBytes = 512

// state is the part of a message that the next byte belongs to.
type state int

const (
	inHead state = iota
	inBody
	inChunkSize
	inChunkData
	inChunkEnd
	inTrailer
)

// Scanner tracks the messages of one direction of a connection. The zero value
// expects the first byte of a message. It is not safe for concurrent use.
type Scanner struct {
	state         state
	line          []byte
	remaining     int64
	startLineRead bool
	lengthCount   int
	length        int64
	chunked       bool
	ambiguous     bool
	// headBytes and headFields count the bytes and the header lines of a head that has not ended, and
	// heads those that have.
	headBytes  int
	headFields int
	heads      int
}

// Heads returns how many heads have ended.
func (scanner *Scanner) Heads() int { return scanner.heads }

// HeadBytes returns how many bytes of a head have been scanned that has not ended yet, and
// zero outside of heads.
func (scanner *Scanner) HeadBytes() int { return scanner.headBytes }

// HeadFields returns how many headers of that head have been scanned.
func (scanner *Scanner) HeadFields() int { return scanner.headFields }

// InBody reports whether a head has ended whose body has not.
func (scanner *Scanner) InBody() bool { return scanner.state != inHead }

// Scan processes the next bytes and reports whether all messages so far were
// unambiguous. Once false, it stays false.
func (scanner *Scanner) Scan(data []byte) bool {
	for len(data) > 0 && !scanner.ambiguous {
		switch scanner.state {
		case inBody, inChunkData:
			data = scanner.skip(data)
		default:
			data = scanner.readLine(data)
		}
	}
	return !scanner.ambiguous
}

// skip consumes bytes of a body or a chunk and returns the rest of data.
func (scanner *Scanner) skip(data []byte) []byte {
	count := min(scanner.remaining, int64(len(data)))
	scanner.remaining -= count
	if scanner.remaining == 0 {
		scanner.endData()
	}
	return data[count:]
}

func (scanner *Scanner) endData() {
	if scanner.state == inChunkData {
		scanner.state = inChunkEnd
		return
	}
	scanner.reset()
}

// reset prepares the scanner for the head of the next message.
func (scanner *Scanner) reset() {
	*scanner = Scanner{line: scanner.line[:0], ambiguous: scanner.ambiguous, heads: scanner.heads}
}

// readLine collects bytes up to the end of a line, parses the line and returns
// the rest of data.
func (scanner *Scanner) readLine(data []byte) []byte {
	end := bytes.IndexByte(data, '\n')
	part, rest := data, []byte(nil)
	if end >= 0 {
		part, rest = data[:end], data[end+1:]
	}
	if scanner.state == inHead {
		scanner.headBytes += len(data) - len(rest)
	}
	capacity := max(maxLineBytes-len(scanner.line), 0)
	scanner.line = append(scanner.line, part[:min(capacity, len(part))]...)
	if end < 0 {
		return nil
	}
	line := string(bytes.TrimSuffix(scanner.line, []byte("\r")))
	scanner.line = scanner.line[:0]
	scanner.parseLine(line)
	return rest
}

func (scanner *Scanner) parseLine(line string) {
	switch scanner.state {
	case inHead:
		scanner.parseHeadLine(line)
	case inChunkSize:
		scanner.parseChunkSize(line)
	case inChunkEnd:
		scanner.ambiguous = line != ""
		scanner.state = inChunkSize
	case inTrailer:
		if line == "" {
			scanner.reset()
		}
	}
}

func (scanner *Scanner) parseHeadLine(line string) {
	if line == "" {
		if scanner.startLineRead {
			scanner.startBody()
		}
		return
	}
	if !scanner.startLineRead {
		scanner.startLineRead = true
		return
	}
	scanner.headFields++
	name, value, _ := strings.Cut(line, ":")
	value = strings.Trim(value, " \t")
	switch strings.ToLower(strings.Trim(name, " \t")) {
	case "content-length":
		scanner.parseContentLength(value)
	case "transfer-encoding":
		scanner.parseTransferEncoding(value)
	}
}

func (scanner *Scanner) parseContentLength(value string) {
	length, err := strconv.ParseUint(value, 10, 62)
	if err != nil || scanner.lengthCount > 0 {
		scanner.ambiguous = true
		return
	}
	scanner.lengthCount++
	scanner.length = int64(length)
}

func (scanner *Scanner) parseTransferEncoding(value string) {
	if scanner.chunked || !strings.EqualFold(value, "chunked") {
		scanner.ambiguous = true
		return
	}
	scanner.chunked = true
}

// startBody selects what follows the head: a body, chunks or the next message.
func (scanner *Scanner) startBody() {
	scanner.headBytes, scanner.headFields = 0, 0
	scanner.heads++
	switch {
	case scanner.chunked && scanner.lengthCount > 0:
		scanner.ambiguous = true
	case scanner.chunked:
		scanner.state = inChunkSize
	case scanner.length > 0:
		scanner.state = inBody
		scanner.remaining = scanner.length
	default:
		scanner.reset()
	}
}

func (scanner *Scanner) parseChunkSize(line string) {
	digits, _, _ := strings.Cut(line, ";")
	size, err := strconv.ParseUint(strings.TrimRight(digits, " \t"), 16, 62)
	switch {
	case err != nil:
		scanner.ambiguous = true
	case size == 0:
		scanner.state = inTrailer
	default:
		scanner.state = inChunkData
		scanner.remaining = int64(size)
	}
}
