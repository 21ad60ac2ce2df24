package configrpc

import (
	"net"

	"github.com/cockroachdb/errors"
)

const (
	// maxReplyBytes bounds what a client reads on a connection, and maxArgsBytes what a
	// server does: net/rpc accepts messages of up to a gigabyte.
	maxReplyBytes = 32 << 20
	maxArgsBytes  = 64 << 10
)

// ErrTooLong means that the other router sent more than a row or a request takes.
var ErrTooLong = errors.New("message of another router too long")

// limitedConn is a connection that brings a bounded number of bytes.
type limitedConn struct {
	net.Conn
	left int
}

// Read reads from the connection. It returns ErrTooLong once the bound is reached.
func (limitedConn *limitedConn) Read(buffer []byte) (int, error) {
	if limitedConn.left <= 0 {
		return 0, ErrTooLong
	}
	count, err := limitedConn.Conn.Read(buffer[:min(len(buffer), limitedConn.left)])
	limitedConn.left -= count
	return count, err
}
