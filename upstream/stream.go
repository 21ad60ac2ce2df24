package upstream

import (
	"bufio"
	"bytes"
	"io"

	"github.com/cockroachdb/errors"

	"github.com/hickoryhead/hickoryhead/ident"
)

// Sizes of the lines of an engine's stream, in bytes.
const (
	streamBufferBytes = 8 << 10
	maxLineBytes      = 1 << 20
)

// stream reads tokens from the body of an engine's answer.
type stream struct {
	body   io.ReadCloser
	reader *bufio.Reader
	last   ident.Tokens
	done   bool
	err    error
}

// newStream returns the stream whose first token follows number last.
func newStream(body io.ReadCloser, last ident.Tokens) *Stream {
	stream := &stream{body: body, reader: bufio.NewReaderSize(body, streamBufferBytes), last: last}
	return &Stream{Next: stream.next, Close: stream.close, Buffered: stream.buffered}
}

func (stream *stream) next() (Token, error) {
	if stream.done {
		return Token{}, io.EOF
	}
	if stream.err != nil {
		return Token{}, stream.err
	}
	token, err := stream.read()
	if err != nil {
		stream.err = err
		return Token{}, err
	}
	stream.last = token.Index
	stream.done = token.Done
	return token, nil
}

func (stream *stream) read() (Token, error) {
	line, err := stream.line()
	if err != nil {
		return Token{}, err
	}
	token, err := decodeToken(line)
	if err != nil {
		return Token{}, errors.Wrapf(io.ErrUnexpectedEOF, "line of the stream: %v", err)
	}
	if !stream.follows(token) {
		return Token{}, errors.Wrapf(io.ErrUnexpectedEOF, "token %d after token %d", token.Index, stream.last)
	}
	return token, nil
}

// follows reports whether token is the next one. A last line without a token of
// its own repeats the number of the last token.
func (stream *stream) follows(token Token) bool {
	if token.Done && token.Text == "" && token.Index == stream.last {
		return true
	}
	return token.Index == stream.last+1
}

// line returns the next line. A stream that ends within a line was cut there.
func (stream *stream) line() ([]byte, error) {
	line, err := stream.reader.ReadSlice('\n')
	if err == nil {
		return line, nil
	}
	long := bytes.Clone(line)
	for errors.Is(err, bufio.ErrBufferFull) {
		line, err = stream.reader.ReadSlice('\n')
		long = append(long, line...)
		if len(long) > maxLineBytes {
			return nil, errors.Wrapf(io.ErrUnexpectedEOF, "line longer than %d bytes", maxLineBytes)
		}
	}
	if err == nil {
		return long, nil
	}
	return nil, errors.Wrapf(io.ErrUnexpectedEOF, "stream cut: %v", err)
}

// buffered reports whether a whole line has been received already.
func (stream *stream) buffered() bool {
	if stream.done || stream.err != nil {
		return false
	}
	held, _ := stream.reader.Peek(stream.reader.Buffered())
	return bytes.IndexByte(held, '\n') >= 0
}

// close gives the connection back for reuse where the answer was read whole.
func (stream *stream) close() error {
	if stream.done {
		_, _ = io.CopyN(io.Discard, stream.reader, streamBufferBytes)
	}
	return stream.body.Close()
}
