package changetest_test

import (
	"bufio"
	"errors"
	"net"
	"time"

	"golang.org/x/sys/unix"

	"github.com/hickoryhead/hickoryhead/fleettest"
)

const (
	// States of a TCP connection, as in the kernel's tcp_states.h.
	tcpEstablished = 1
	tcpCloseWait   = 8
	// ackTimeout bounds the wait for the last acknowledgement or a reset.
	ackTimeout = 5 * time.Second
)

// conn is a kept connection of a caller.
type conn struct {
	*net.TCPConn
	reader *bufio.Reader
}

// dialer opens the connections of callers, which have a host of their own.
var dialer = net.Dialer{Timeout: callerTimeout, LocalAddr: &net.TCPAddr{IP: net.ParseIP(fleettest.Host())}}

func dial(address string) (*conn, error) {
	dialed, err := dialer.Dial("tcp", address)
	if err != nil {
		return nil, err
	}
	return &conn{TCPConn: dialed.(*net.TCPConn), reader: bufio.NewReader(dialed)}, nil
}

// info returns the state of the connection in the kernel.
func (conn *conn) info() (*unix.TCPInfo, error) {
	raw, err := conn.SyscallConn()
	if err != nil {
		return nil, err
	}
	var info *unix.TCPInfo
	var infoErr error
	err = raw.Control(func(descriptor uintptr) {
		info, infoErr = unix.GetsockoptTCPInfo(int(descriptor), unix.IPPROTO_TCP, unix.TCP_INFO)
	})
	return info, errors.Join(err, infoErr)
}

// isOpen reports whether the router has not closed the connection.
func (conn *conn) isOpen() bool {
	info, err := conn.info()
	return err == nil && info.State == tcpEstablished
}

// wasReadWhole reports whether the router's process has read all bytes that were written to a
// connection that it has closed: they are acknowledged and the close is orderly. For bytes that
// are unread at the close, or arrive after it, its kernel sends a reset.
func (conn *conn) wasReadWhole() (bool, error) {
	for end := time.Now().Add(ackTimeout); ; time.Sleep(time.Millisecond) {
		info, err := conn.info()
		switch {
		case err != nil:
			return false, err
		case info.State != tcpCloseWait:
			return false, nil
		case info.Unacked == 0 && info.Notsent_bytes == 0:
			return true, nil
		case time.Now().After(end):
			return false, errors.New("neither an acknowledgement nor a reset")
		}
	}
}
