package soak

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"net/http"
	"os"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

const (
	// dialTimeout is how long a router may take to accept a connection.
	dialTimeout = time.Second
	// crossingTime is how long a request can be on its way on loopback: one whose connection is
	// open for longer has arrived before the close.
	crossingTime = 50 * time.Millisecond
)

// ending is how a kept connection stands after a request.
type ending int

// The endings of kept connections.
const (
	// stillOpen connections serve more requests.
	stillOpen ending = iota
	// closedAfterAnswer connections are closed because the answer asks for that.
	closedAfterAnswer
	// crossed says that the router had closed the connection before it had received the request,
	// or closed it without reading the request.
	crossed
	// lost says that the router closed the connection after it had read the whole request, or later
	// than crossingTime after that was sent.
	lost
	// abandoned connections had no answer within the time of the caller, or a truncated one.
	abandoned
)

// String returns what the report calls an ending.
func (ending ending) String() string {
	return [...]string{"open", "closed after the answer", "crossed", "lost", "abandoned"}[ending]
}

// keptConn is a caller's connection that is used for one request after the other. Unlike
// http.Transport it sends no request again by itself.
type keptConn struct {
	conn   *net.TCPConn
	reader *bufio.Reader
	// written is the number of bytes that were written.
	written uint64
	ending  ending
	// crossedBy returns until when a request that was sent at a time may be on its way.
	crossedBy func(sentAt time.Time) time.Time
}

func dialKept(address string) (*keptConn, error) {
	conn, err := net.DialTimeout("tcp", address, dialTimeout)
	if err != nil {
		return nil, err
	}
	crossedBy := func(sentAt time.Time) time.Time { return sentAt.Add(crossingTime) }
	return &keptConn{conn: conn.(*net.TCPConn), reader: bufio.NewReader(conn), crossedBy: crossedBy}, nil
}

func (keptConn *keptConn) close() {
	// The caller is done with the connection.
	_ = keptConn.conn.Close()
}

// open reports whether the router has not closed the connection yet.
func (keptConn *keptConn) open() bool { return keptConn.info().State == unix.BPF_TCP_ESTABLISHED }

// info returns the state of the socket; a closed one has none.
func (keptConn *keptConn) info() unix.TCPInfo {
	var info unix.TCPInfo
	raw, err := keptConn.conn.SyscallConn()
	if err != nil {
		return info
	}
	// An error means that the socket is closed.
	_ = raw.Control(func(descriptor uintptr) {
		if got, err := unix.GetsockoptTCPInfo(int(descriptor), unix.IPPROTO_TCP, unix.TCP_INFO); err == nil {
			info = *got
		}
	})
	return info
}

// RoundTrip sends a request and reads the head of its answer.
func (keptConn *keptConn) RoundTrip(request *http.Request) (*http.Response, error) {
	deadline, _ := request.Context().Deadline()
	if err := keptConn.conn.SetDeadline(deadline); err != nil {
		return nil, err
	}
	keptConn.ending = crossed
	if !keptConn.open() {
		return nil, errors.New("closed before the request was sent")
	}
	if err := keptConn.write(request); err != nil {
		return nil, err
	}
	stayedOpen, err := keptConn.awaitCrossing(deadline)
	if err != nil {
		return nil, err
	}
	response, err := http.ReadResponse(keptConn.reader, request)
	if err != nil {
		keptConn.ending = keptConn.judge(err, stayedOpen)
		return nil, err
	}
	keptConn.ending = abandoned
	response.Body = &keptBody{ReadCloser: response.Body, conn: keptConn, closes: response.Close}
	return response, nil
}

// write writes a request at once.
func (keptConn *keptConn) write(request *http.Request) error {
	var message bytes.Buffer
	if err := request.Write(&message); err != nil {
		return err
	}
	keptConn.written += uint64(message.Len())
	_, err := keptConn.conn.Write(message.Bytes())
	return err
}

// awaitCrossing waits for the answer to a request that was just sent, or for the end of the
// connection, while the request may be on its way, and reports whether the connection was still open
// then.
func (keptConn *keptConn) awaitCrossing(deadline time.Time) (bool, error) {
	if err := keptConn.conn.SetReadDeadline(keptConn.crossedBy(time.Now())); err != nil {
		return false, err
	}
	_, err := keptConn.reader.Peek(1)
	stayedOpen := errors.Is(err, os.ErrDeadlineExceeded) && keptConn.open()
	return stayedOpen, keptConn.conn.SetReadDeadline(deadline)
}

// judge returns how the connection ended that failed after a whole request was sent; stayedOpen
// says that it was open when that had arrived. A kernel resets a connection that is closed while bytes of
// it are unread, or that receives bytes afterwards; and it acknowledges all bytes that it has
// received when it ends one in order.
func (keptConn *keptConn) judge(err error, stayedOpen bool) ending {
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return abandoned
	}
	info := keptConn.info()
	// The acknowledged bytes include the SYN. Unacked drops to zero at a reset, too.
	allRead := info.State == unix.BPF_TCP_CLOSE_WAIT && info.Bytes_acked > keptConn.written
	if allRead || stayedOpen {
		return lost
	}
	return crossed
}

// keptBody is the body of an answer on a kept connection.
type keptBody struct {
	io.ReadCloser
	conn   *keptConn
	closes bool
}

// Read reads from the body, and records that the connection is free at its end.
func (keptBody *keptBody) Read(buffer []byte) (int, error) {
	count, err := keptBody.ReadCloser.Read(buffer)
	switch {
	case !errors.Is(err, io.EOF):
	case keptBody.closes:
		keptBody.conn.ending = closedAfterAnswer
	default:
		keptBody.conn.ending = stillOpen
	}
	return count, err
}
