package framing

import (
	"bytes"
	"strconv"
	"strings"
)

// maxLine bounds a line of a head that the scanner keeps, in bytes. The rest of
// a longer one is skipped: no length or encoding is that long.
const maxLine = 512

// state is what the next byte belongs to.
type state int

const (
	inHead state = iota
	inBody
	inChunkSize
	inChunk
	inChunkEnd
	inTrailer
)

// Scanner follows the messages of one direction of a connection. The zero value
// expects the first byte of a message. It is not safe for concurrent use.
type Scanner struct {
	state     state
	line      []byte
	left      int64
	started   bool
	lengths   int
	length    int64
	chunked   bool
	ambiguous bool
}

// Scan takes in the next bytes and reports whether all messages so far were
// unambiguous. Once false, it stays false.
func (scanner *Scanner) Scan(data []byte) bool {
	for len(data) > 0 && !scanner.ambiguous {
		switch scanner.state {
		case inBody, inChunk:
			data = scanner.skip(data)
		default:
			data = scanner.readLine(data)
		}
	}
	return !scanner.ambiguous
}

// skip passes over the bytes of a body or a chunk.
func (scanner *Scanner) skip(data []byte) []byte {
	count := min(scanner.left, int64(len(data)))
	scanner.left -= count
	if scanner.left == 0 {
		scanner.endBytes()
	}
	return data[count:]
}

func (scanner *Scanner) endBytes() {
	if scanner.state == inChunk {
		scanner.state = inChunkEnd
		return
	}
	scanner.reset()
}

// reset expects the head of the next message.
func (scanner *Scanner) reset() {
	*scanner = Scanner{line: scanner.line[:0], ambiguous: scanner.ambiguous}
}

// readLine collects bytes up to the end of a line and takes the line in.
func (scanner *Scanner) readLine(data []byte) []byte {
	end := bytes.IndexByte(data, '\n')
	part, rest := data, []byte(nil)
	if end >= 0 {
		part, rest = data[:end], data[end+1:]
	}
	room := max(maxLine-len(scanner.line), 0)
	scanner.line = append(scanner.line, part[:min(room, len(part))]...)
	if end < 0 {
		return nil
	}
	line := string(bytes.TrimSuffix(scanner.line, []byte("\r")))
	scanner.line = scanner.line[:0]
	scanner.takeLine(line)
	return rest
}

func (scanner *Scanner) takeLine(line string) {
	switch scanner.state {
	case inHead:
		scanner.takeHeadLine(line)
	case inChunkSize:
		scanner.takeChunkSize(line)
	case inChunkEnd:
		scanner.ambiguous = line != ""
		scanner.state = inChunkSize
	case inTrailer:
		if line == "" {
			scanner.reset()
		}
	}
}

func (scanner *Scanner) takeHeadLine(line string) {
	if line == "" {
		if scanner.started {
			scanner.endHead()
		}
		return
	}
	if !scanner.started {
		scanner.started = true
		return
	}
	name, value, _ := strings.Cut(line, ":")
	value = strings.Trim(value, " \t")
	switch strings.ToLower(strings.Trim(name, " \t")) {
	case "content-length":
		scanner.takeLength(value)
	case "transfer-encoding":
		scanner.takeEncoding(value)
	}
}

func (scanner *Scanner) takeLength(value string) {
	length, err := strconv.ParseUint(value, 10, 62)
	if err != nil || scanner.lengths > 0 {
		scanner.ambiguous = true
		return
	}
	scanner.lengths++
	scanner.length = int64(length)
}

func (scanner *Scanner) takeEncoding(value string) {
	if scanner.chunked || !strings.EqualFold(value, "chunked") {
		scanner.ambiguous = true
		return
	}
	scanner.chunked = true
}

func (scanner *Scanner) endHead() {
	switch {
	case scanner.chunked && scanner.lengths > 0:
		scanner.ambiguous = true
	case scanner.chunked:
		scanner.state = inChunkSize
	case scanner.length > 0:
		scanner.state = inBody
		scanner.left = scanner.length
	default:
		scanner.reset()
	}
}

func (scanner *Scanner) takeChunkSize(line string) {
	digits, _, _ := strings.Cut(line, ";")
	size, err := strconv.ParseUint(strings.TrimRight(digits, " \t"), 16, 62)
	switch {
	case err != nil:
		scanner.ambiguous = true
	case size == 0:
		scanner.state = inTrailer
	default:
		scanner.state = inChunk
		scanner.left = int64(size)
	}
}
