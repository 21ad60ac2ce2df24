package oncehttp

import (
	"net"
	"sync"

	"github.com/cockroachdb/errors"
)

var errSealed = errors.New("connection sealed after a failed request")

// conn counts the writes that were begun, and can be sealed so that no further
// one begins. A write that was begun may have sent bytes, whatever it returned.
type conn struct {
	net.Conn

	mu     sync.Mutex
	begun  uint64
	sealed bool
}

// Write writes to the connection unless it is sealed.
func (conn *conn) Write(buffer []byte) (int, error) {
	if err := conn.begin(); err != nil {
		return 0, err
	}
	return conn.Conn.Write(buffer)
}

func (conn *conn) begin() error {
	conn.mu.Lock()
	defer conn.mu.Unlock()
	if conn.sealed {
		return errSealed
	}
	conn.begun++
	return nil
}

func (conn *conn) writes() uint64 {
	conn.mu.Lock()
	defer conn.mu.Unlock()
	return conn.begun
}

// seal refuses every later write and returns the number begun before.
func (conn *conn) seal() uint64 {
	conn.mu.Lock()
	defer conn.mu.Unlock()
	conn.sealed = true
	return conn.begun
}
