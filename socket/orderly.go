package socket

import (
	"io"
	"net"
	"sync"
	"syscall"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

// tcpClose is the state of a connection that has ended in both directions, as TCP_INFO reports it.
const tcpClose = 7

// OrderlyConn is a connection on which io.EOF means that the peer has ended its bytes in order. The
// kernel reports a reset to one call only: if that is a write, a read behind it finds an end of file,
// as behind an orderly close. What ends with its connection would then look whole although it was
// cut. All writes have to go through Write.
type OrderlyConn struct {
	net.Conn

	// writing is held while a write is under way.
	writing sync.Mutex
	// reset is the error by which a write found the connection broken off, or nil.
	reset error
}

// Orderly returns conn as an OrderlyConn, or conn itself if it has no descriptor: the kernel has
// no part in how it ends.
func Orderly(conn net.Conn) net.Conn {
	if _, ok := conn.(syscall.Conn); !ok {
		return conn
	}
	return &OrderlyConn{Conn: conn}
}

// SyscallConn returns the connection for calls to the kernel.
func (orderlyConn *OrderlyConn) SyscallConn() (syscall.RawConn, error) {
	return RawConn(orderlyConn.Conn)
}

// Write writes to the connection.
func (orderlyConn *OrderlyConn) Write(data []byte) (int, error) {
	orderlyConn.writing.Lock()
	defer orderlyConn.writing.Unlock()
	count, err := orderlyConn.Conn.Write(data)
	if err != nil && isReset(err) {
		orderlyConn.reset = err
	}
	return count, err
}

// isReset reports whether a write failed as the connection was broken off. EPIPE says nothing of
// that: it is the answer to each write behind the end, and to the first one behind an orderly close
// that a reset followed, since the peer does not read any more.
func isReset(err error) bool {
	var errno syscall.Errno
	return errors.As(err, &errno) && errno != syscall.EPIPE
}

// Read reads from the connection. It returns the error of the reset, and no io.EOF, if a write has
// found that the connection was broken off.
func (orderlyConn *OrderlyConn) Read(buffer []byte) (int, error) {
	count, err := orderlyConn.Conn.Read(buffer)
	if err != nil && errors.Is(err, io.EOF) {
		if reset := orderlyConn.brokenOff(); reset != nil {
			return count, reset
		}
	}
	return count, err
}

// brokenOff returns the error of a write that found the connection broken off, or nil. It waits for
// a write that is under way only if the connection has ended, so that the write ends at once.
func (orderlyConn *OrderlyConn) brokenOff() error {
	ended := check(orderlyConn.Conn, func(descriptor int) bool {
		info, err := unix.GetsockoptTCPInfo(descriptor, unix.IPPROTO_TCP, unix.TCP_INFO)
		return err == nil && info.State == tcpClose
	})
	if !ended {
		return nil
	}
	orderlyConn.writing.Lock()
	defer orderlyConn.writing.Unlock()
	return orderlyConn.reset
}
