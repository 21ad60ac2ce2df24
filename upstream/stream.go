package upstream

import (
	"bufio"
	"bytes"
	"io"

	"github.com/cockroachdb/errors"

	"github.com/hickoryhead/hickoryhead/ident"
)

// streamBufferBytes is the size of the read buffer of a stream, and maxLineBytes
// bounds the length of one line.
const (
	streamBufferBytes = 8 << 10
	maxLineBytes      = 1 << 20
)

// stream reads tokens from the body of an engine's response.
type stream struct {
	body   io.ReadCloser
	reader *bufio.Reader
	// lastIndex is the index of the last token.
	lastIndex ident.Tokens
	done      bool
	// err is the first error; next returns it from then on.
	err error
}

// newStream returns a stream whose first token must have the index lastIndex+1.
func newStream(body io.ReadCloser, lastIndex ident.Tokens) *Stream {
	stream := &stream{body: body, reader: bufio.NewReaderSize(body, streamBufferBytes), lastIndex: lastIndex}
	return &Stream{Next: stream.next, Close: stream.close, Buffered: stream.buffered}
}

func (stream *stream) next() (Token, error) {
	if stream.done {
		return Token{}, io.EOF
	}
	if stream.err != nil {
		return Token{}, stream.err
	}
	token, err := stream.readToken()
	if err != nil {
		stream.err = err
		return Token{}, err
	}
	stream.lastIndex = token.Index
	stream.done = token.Done
	return token, nil
}

func (stream *stream) readToken() (Token, error) {
	line, err := stream.readLine()
	if err != nil {
		return Token{}, err
	}
	token, err := decodeToken(line)
	if err != nil {
		return Token{}, errors.Wrapf(io.ErrUnexpectedEOF, "malformed line of the stream: %v", err)
	}
	if !stream.isNext(token) {
		return Token{}, errors.Wrapf(io.ErrUnexpectedEOF, "token %d after token %d", token.Index, stream.lastIndex)
	}
	return token, nil
}

// isNext reports whether token is the next one. A final line without text repeats
// the index of the last token.
func (stream *stream) isNext(token Token) bool {
	if token.Done && token.Text == "" && token.Index == stream.lastIndex {
		return true
	}
	return token.Index == stream.lastIndex+1
}

// readLine returns the next line, including its newline. The line is valid until
// the next read. A stream that ends within a line is truncated.
func (stream *stream) readLine() ([]byte, error) {
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
	return nil, errors.Wrapf(io.ErrUnexpectedEOF, "stream truncated: %v", err)
}

// buffered reports whether the buffer holds a complete line.
func (stream *stream) buffered() bool {
	if stream.done || stream.err != nil {
		return false
	}
	received, _ := stream.reader.Peek(stream.reader.Buffered())
	return bytes.IndexByte(received, '\n') >= 0
}

// close closes the body. After the last token it first reads the end of the body,
// so that the connection can be reused.
func (stream *stream) close() error {
	if stream.done {
		_, _ = io.CopyN(io.Discard, stream.reader, streamBufferBytes)
	}
	return stream.body.Close()
}
