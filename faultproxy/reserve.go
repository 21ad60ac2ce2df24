package faultproxy

import (
	"context"
	"net"
	"syscall"

	"github.com/cockroachdb/errors"
)

// reusePort is the socket option SO_REUSEPORT, which package syscall does not define.
const reusePort = 15

// listenShared listens at an address whose port reservePort may hold, too.
func listenShared(address string) (net.Listener, error) {
	config := net.ListenConfig{Control: func(_, _ string, conn syscall.RawConn) error {
		var optionErr error
		err := conn.Control(func(descriptor uintptr) {
			optionErr = syscall.SetsockoptInt(int(descriptor), syscall.SOL_SOCKET, reusePort, 1)
		})
		return errors.CombineErrors(err, optionErr)
	}}
	return config.Listen(context.Background(), "tcp", address)
}

// reservePort returns a socket that is bound to a port and doesn't listen: connections to
// the port are refused while nothing else listens there, and no other process gets it.
func reservePort(port int) (int, error) {
	descriptor, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		return 0, errors.Wrap(err, "reserve a port")
	}
	err = syscall.SetsockoptInt(descriptor, syscall.SOL_SOCKET, reusePort, 1)
	if err == nil {
		err = syscall.Bind(descriptor, &syscall.SockaddrInet4{Port: port, Addr: [4]byte{127, 0, 0, 1}})
	}
	if err != nil {
		return 0, errors.CombineErrors(errors.Wrap(err, "reserve a port"), syscall.Close(descriptor))
	}
	return descriptor, nil
}
