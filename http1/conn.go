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

	"github.com/hickoryhead/hickoryhead/oncehttp"
)

const (
	// readBufferBytes is the size of the read buffer of a connection.
	readBufferBytes = 4 << 10
	// inlineBytes is the longest request that is written before the response is
	// read. The peer may answer a longer one before it has read it.
	inlineBytes = 8 << 10
	// maxInformational bounds the 1xx responses before the final one.
	maxInformational = 8
)

// Request is a request with its body whole.
type Request struct {
	Method string
	// Target is the path and query, as the caller sent them.
	Target string
	Host   string
	Header http.Header
	Body   []byte
}

// Conn is a connection to an upstream. It carries one request at a time and is
// not safe for concurrent use, but for Close.
type Conn struct {
	net.Conn
	// Requests counts the requests that the connection carried.
	Requests int

	pool   *Pool
	reader *bufio.Reader
	writer *bodyWriter
	// expiresAt is when an idle connection is no longer used.
	expiresAt time.Time
	idleSince time.Time
	// poisoned says that the connection may not carry another request.
	poisoned bool
}

// bodyWriter writes the rest of a request while its response is read.
type bodyWriter struct {
	conn net.Conn
	rest []byte
	done chan struct{}
	err  error
}

func (writer *bodyWriter) run() {
	defer close(writer.done)
	_, writer.err = writer.conn.Write(writer.rest)
}

// Send writes request. A long one is still being written when Send returns.
// Its error is a *oncehttp.SendError.
func (conn *Conn) Send(request *Request) error {
	conn.Requests++
	raw := request.encode()
	first := raw
	if len(raw) > inlineBytes {
		first = raw[:inlineBytes]
	}
	count, err := conn.Write(first)
	if err != nil {
		conn.poisoned = true
		return &oncehttp.SendError{Sent: count > 0, Err: err}
	}
	if len(raw) > len(first) {
		conn.writer = &bodyWriter{conn: conn.Conn, rest: raw[len(first):], done: make(chan struct{})}
		go conn.writer.run()
	}
	return nil
}

// Await waits until the response begins or until passes, and reports whether it
// began. The connection stays usable where it did not. Its error is a
// *oncehttp.SendError.
func (conn *Conn) Await(until time.Time) (bool, error) {
	if err := conn.SetReadDeadline(until); err != nil {
		return false, &oncehttp.SendError{Sent: true, Err: err}
	}
	_, err := conn.reader.Peek(1)
	switch {
	case err == nil:
		return true, nil
	case errors.Is(err, os.ErrDeadlineExceeded):
		return false, nil
	}
	conn.poisoned = true
	return false, &oncehttp.SendError{Sent: true, Err: err}
}

// Receive reads the head of the next response. Its body has to be read to the
// end before the connection can be kept. Its error is a *oncehttp.SendError.
func (conn *Conn) Receive(method string) (*http.Response, error) {
	for range maxInformational {
		response, err := http.ReadResponse(conn.reader, &http.Request{Method: method})
		if err != nil {
			conn.poisoned = true
			return nil, &oncehttp.SendError{Sent: true, Err: err}
		}
		if response.StatusCode >= http.StatusOK {
			conn.poisoned = conn.poisoned || response.Close
			return response, nil
		}
		if response.StatusCode == http.StatusSwitchingProtocols {
			break
		}
	}
	conn.poisoned = true
	return nil, &oncehttp.SendError{Sent: true, Err: errors.New("no final response")}
}

// reusable reports whether the connection may carry another request, once the
// body of its response was read to the end.
func (conn *Conn) reusable() bool {
	if conn.poisoned || conn.reader.Buffered() > 0 {
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

// quiet reports whether the connection is open and has nothing to read.
func (conn *Conn) quiet() bool {
	raw, ok := conn.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	control, err := raw.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	readErr := control.Read(func(descriptor uintptr) bool {
		var one [1]byte
		_, err := syscall.Read(int(descriptor), one[:])
		quiet = errors.Is(err, syscall.EAGAIN)
		return true
	})
	return readErr == nil && quiet
}

// encode returns the bytes of the request, framed by its length.
func (request *Request) encode() []byte {
	var raw bytes.Buffer
	raw.Grow(512 + len(request.Body))
	raw.WriteString(request.Method)
	raw.WriteByte(' ')
	raw.WriteString(request.Target)
	raw.WriteString(" HTTP/1.1\r\nHost: ")
	raw.WriteString(request.Host)
	raw.WriteString("\r\n")
	if len(request.Body) > 0 || request.Method != http.MethodGet && request.Method != http.MethodHead {
		raw.WriteString("Content-Length: ")
		raw.WriteString(strconv.Itoa(len(request.Body)))
		raw.WriteString("\r\n")
	}
	// A write to a bytes.Buffer returns no error.
	_ = request.Header.Write(&raw)
	raw.WriteString("\r\n")
	raw.Write(request.Body)
	return raw.Bytes()
}

// KeepAlive returns the time that a response's Keep-Alive header allows an idle
// connection, or zero.
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

// drain reads what is left of body, up to limit bytes, and reports whether it
// ended well.
func drain(body io.Reader, limit int64) bool {
	count, err := io.CopyN(io.Discard, body, limit)
	return errors.Is(err, io.EOF) && count < limit
}

// Skip reads the body of a response that is not wanted and reports whether it
// ended well, so that the next response on its connection can be read.
func Skip(response *http.Response) bool { return drain(response.Body, drainBytes) }
