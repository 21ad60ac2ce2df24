package http1

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/hickoryhead/hickoryhead/framing"
	"github.com/hickoryhead/hickoryhead/oncehttp"
	"github.com/hickoryhead/hickoryhead/socket"
)

const (
	// readBufferBytes is the size of the read buffer of a connection.
	readBufferBytes = 4 << 10
	// maxInlineBytes is how much of a request is written before the response is
	// read. The rest of a longer request is written in the background, because
	// the peer may respond before it has read the request completely.
	maxInlineBytes = 8 << 10
	// maxInformational limits the 1xx responses before the final one.
	maxInformational = 8
	// maxHeadBytes limits the head of a response, together with the heads of the
	// informational ones before it.
	maxHeadBytes = 64 << 10
)

// ErrHeadTooLong means that a peer sent a head of more than maxHeadBytes.
var ErrHeadTooLong = errors.New("response head too long")

// Request is a request with its complete body.
type Request struct {
	Method string
	// Target is the path and query, as the caller sent them.
	Target string
	Host   string
	Header http.Header
	// Body is the complete body in parts. They are not changed.
	Body [][]byte
}

// Conn is a connection to an upstream that carries one request at a time. Only
// Close may be called concurrently with other methods.
type Conn struct {
	net.Conn
	// Requests counts the requests sent on the connection.
	Requests int
	// OpenedAt is when the connection was established.
	OpenedAt time.Time
	// Verified is set by Verify.
	Verified bool

	pool   *Pool
	source *source
	reader *bufio.Reader
	writer *requestWriter
	// expiresAt is when an idle connection may no longer be used.
	expiresAt time.Time
	idleSince time.Time
	// notReusable is set if the connection must not carry another request.
	notReusable bool
}

// source reads from a connection, and checks the form of the responses. While it is
// limited, it fails after a number of bytes.
type source struct {
	conn      net.Conn
	responses framing.Responses
	limited   bool
	left      int
}

// Read reads from the connection. It returns ErrHeadTooLong once the limit is
// reached, and framing.ErrMalformed behind bytes that are no response.
func (source *source) Read(buffer []byte) (int, error) {
	if source.responses.Malformed() {
		return 0, framing.ErrMalformed
	}
	if source.limited {
		if source.left <= 0 {
			return 0, ErrHeadTooLong
		}
		buffer = buffer[:min(len(buffer), source.left)]
	}
	count, err := source.conn.Read(buffer)
	source.left -= count
	return source.responses.Check(buffer[:count], err)
}

// limit makes the source fail after count bytes, until unlimit.
func (source *source) limit(count int) {
	source.limited = true
	source.left = count
}

func (source *source) unlimit() { source.limited = false }

// newConn returns a connection of pool that uses opened.
func newConn(pool *Pool, opened net.Conn) *Conn {
	opened = socket.Orderly(opened)
	source := &source{conn: opened}
	return &Conn{Conn: opened, OpenedAt: pool.now(), pool: pool, source: source, reader: bufio.NewReaderSize(source, readBufferBytes)}
}

// requestWriter writes the rest of a long request while its response is read.
type requestWriter struct {
	conn net.Conn
	rest net.Buffers
	done chan struct{}
	err  error
}

func (requestWriter *requestWriter) run() {
	defer close(requestWriter.done)
	_, requestWriter.err = requestWriter.rest.WriteTo(requestWriter.conn)
}

// Send writes request. A long request may still be being written when Send
// returns. The error is a *oncehttp.SendError.
func (conn *Conn) Send(request *Request) error {
	conn.Requests++
	conn.source.responses.Expect(request.Method)
	first, rest := request.encode()
	count, err := conn.Write(first)
	if err != nil {
		conn.notReusable = true
		return &oncehttp.SendError{Sent: count > 0, Err: err}
	}
	if len(rest) > 0 {
		conn.writer = &requestWriter{conn: conn.Conn, rest: rest, done: make(chan struct{})}
		go conn.writer.run()
	}
	return nil
}

// Sending reports whether the last request is still being written, and its body in use.
func (conn *Conn) Sending() bool {
	if conn.writer == nil {
		return false
	}
	select {
	case <-conn.writer.done:
		return false
	default:
		return true
	}
}

// Await waits for the first byte of the response, at most until the given time,
// and reports whether it arrived. If it did not, the connection remains usable.
// The error is a *oncehttp.SendError.
func (conn *Conn) Await(until time.Time) (bool, error) {
	if err := conn.SetReadDeadline(until); err != nil {
		return false, &oncehttp.SendError{Sent: true, Err: err}
	}
	_, err := conn.reader.Peek(1)
	if errors.Is(err, os.ErrDeadlineExceeded) && socket.HasUnread(conn.Conn) {
		// It has arrived, but the process was too busy to read it in time.
		if err := conn.SetReadDeadline(time.Time{}); err != nil {
			return false, &oncehttp.SendError{Sent: true, Err: err}
		}
		_, err = conn.reader.Peek(1)
	}
	switch {
	case err == nil:
		return true, nil
	case errors.Is(err, os.ErrDeadlineExceeded):
		return false, nil
	}
	conn.notReusable = true
	return false, &oncehttp.SendError{Sent: true, Err: err}
}

// Receive reads the head of the next response and skips informational ones. The
// caller must read the body to its end before the connection can carry another
// request. The error is a *oncehttp.SendError; its cause is ErrHeadTooLong for a
// head without an end, and framing.ErrMalformed for bytes that are no response.
func (conn *Conn) Receive(method string) (*http.Response, error) {
	conn.source.limit(maxHeadBytes)
	defer conn.source.unlimit()
	for range maxInformational {
		response, err := http.ReadResponse(conn.reader, &http.Request{Method: method})
		if err != nil {
			conn.notReusable = true
			return nil, &oncehttp.SendError{Sent: true, Err: err}
		}
		if response.StatusCode >= http.StatusOK {
			conn.notReusable = conn.notReusable || response.Close
			return response, nil
		}
		if response.StatusCode == http.StatusSwitchingProtocols {
			break
		}
	}
	conn.notReusable = true
	return nil, &oncehttp.SendError{Sent: true, Err: errors.New("no final response after informational ones")}
}

// reusable reports whether the connection may carry another request, after the
// body of its last response was read to its end.
func (conn *Conn) reusable() bool {
	if conn.notReusable || conn.reader.Buffered() > 0 || !conn.source.responses.Between() {
		return false
	}
	if conn.writer == nil {
		return true
	}
	select {
	case <-conn.writer.done:
		err := conn.writer.err
		conn.writer = nil
		return err == nil
	default:
		return false
	}
}

// openAndIdle reports whether the connection is open and has nothing to read.
func (conn *Conn) openAndIdle() bool {
	raw, ok := conn.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	control, err := raw.SyscallConn()
	if err != nil {
		return false
	}
	idle := false
	readErr := control.Read(func(descriptor uintptr) bool {
		var buffer [1]byte
		_, err := syscall.Read(int(descriptor), buffer[:])
		idle = errors.Is(err, syscall.EAGAIN)
		return true
	})
	return readErr == nil && idle
}

// encode returns the request in wire format: its beginning, of at most maxInlineBytes unless
// the head is longer, and the rest, which shares the memory of the body. It is framed by
// Content-Length, which GET and HEAD requests without a body omit.
func (request *Request) encode() (first []byte, rest net.Buffers) {
	length := 0
	for _, part := range request.Body {
		length += len(part)
	}
	var raw bytes.Buffer
	raw.Grow(512 + min(length, maxInlineBytes))
	raw.WriteString(request.Method)
	raw.WriteByte(' ')
	raw.WriteString(request.Target)
	raw.WriteString(" HTTP/1.1\r\nHost: ")
	raw.WriteString(request.Host)
	raw.WriteString("\r\n")
	if length > 0 || request.Method != http.MethodGet && request.Method != http.MethodHead {
		raw.WriteString("Content-Length: ")
		raw.WriteString(strconv.Itoa(length))
		raw.WriteString("\r\n")
	}
	// A write to a bytes.Buffer returns no error.
	_ = request.Header.Write(&raw)
	raw.WriteString("\r\n")
	for _, part := range request.Body {
		inline := part[:min(len(part), max(maxInlineBytes-raw.Len(), 0))]
		raw.Write(inline)
		if len(inline) < len(part) {
			rest = append(rest, part[len(inline):])
		}
	}
	return raw.Bytes(), rest
}

// KeepAlive returns the idle timeout in a response's Keep-Alive header, or zero
// if it states none.
func KeepAlive(header http.Header) time.Duration {
	for part := range strings.SplitSeq(header.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		if seconds, err := strconv.Atoi(value); err == nil && seconds > 0 {
			return time.Duration(seconds) * time.Second
		}
	}
	return 0
}

// drain reads the rest of body, up to limit bytes, and reports whether the body
// ended without an error.
func drain(body io.Reader, limit int64) bool {
	count, err := io.CopyN(io.Discard, body, limit)
	return errors.Is(err, io.EOF) && count < limit
}

// Skip reads the body of an unwanted response. It reports whether the body
// ended without an error, so that the next response on the connection can be
// read.
func Skip(response *http.Response) bool { return drain(response.Body, maxDrainBytes) }

// Doubtful reports whether another process than that of the pool may have accepted the
// connection, since another one broke.
func (conn *Conn) Doubtful() bool {
	if conn.pool == nil {
		return false
	}
	conn.pool.mu.Lock()
	defer conn.pool.mu.Unlock()
	return conn.pool.identity.doubts(conn.OpenedAt)
}

// Verify records that the peer is the process that the pool is for.
func (conn *Conn) Verify() {
	conn.Verified = true
	conn.pool.mu.Lock()
	defer conn.pool.mu.Unlock()
	conn.pool.identity.verify(conn.OpenedAt)
}

// Refute records that the peer is not the process that the pool is for.
func (conn *Conn) Refute() {
	now := conn.pool.now()
	conn.pool.mu.Lock()
	defer conn.pool.mu.Unlock()
	conn.pool.identity.refute(now)
}

// RecordSilence records that a request, sent at the given time, got no response on the
// connection. If it had carried earlier ones, it may be silent, and idle connections that
// have brought no response since are not used again.
func (conn *Conn) RecordSilence(sentAt time.Time) {
	if conn.Requests > 1 && conn.pool != nil {
		conn.pool.closeIdleSince(sentAt)
	}
}

// RecordBreak records that the connection broke, before it is discarded.
func (conn *Conn) RecordBreak() { conn.pool.recordBreak() }
