package socket

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// HasUnread reports whether bytes wait in the kernel to be read from a connection. It returns false
// for a connection without a descriptor.
func HasUnread(conn net.Conn) bool {
	return check(conn, func(descriptor int) bool {
		count, _, err := unix.Recvfrom(descriptor, make([]byte, 1), unix.MSG_PEEK|unix.MSG_DONTWAIT)
		return err == nil && count > 0
	})
}

// HasSentAll reports whether the peer of a connection has acknowledged all bytes that were written.
// It returns false for a connection without a descriptor.
func HasSentAll(conn net.Conn) bool {
	return check(conn, func(descriptor int) bool {
		count, err := unix.IoctlGetInt(descriptor, unix.SIOCOUTQ)
		return err == nil && count == 0
	})
}

// RawConn returns a connection for calls to the kernel, or an error if it has no descriptor.
func RawConn(conn net.Conn) (syscall.RawConn, error) {
	source, ok := conn.(syscall.Conn)
	if !ok {
		return nil, syscall.EINVAL
	}
	return source.SyscallConn()
}

// check returns what holds returns for the descriptor of a connection.
func check(conn net.Conn, holds func(descriptor int) bool) bool {
	raw, err := RawConn(conn)
	if err != nil {
		return false
	}
	held := false
	err = raw.Control(func(descriptor uintptr) { held = holds(int(descriptor)) })
	return err == nil && held
}
