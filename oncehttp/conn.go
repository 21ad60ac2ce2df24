package oncehttp

import (
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/hickoryhead/hickoryhead/framing"
)

var errWritesBlocked = errors.New("connection no longer used after a failed request")

// conn counts the started writes, and can block further ones. A write that was
// started may have sent bytes even if it returned an error. It checks the form of what it reads.
type conn struct {
	net.Conn
	// openedAt is when the connection was opened.
	openedAt time.Time

	mu            sync.Mutex
	startedWrites uint64
	writesBlocked bool
	responses     framing.Responses
}

// expect sets the method of the request whose response is read next.
func (conn *conn) expect(method string) {
	conn.mu.Lock()
	defer conn.mu.Unlock()
	conn.responses.Expect(method)
}

// Read reads from the connection. It returns framing.ErrMalformed behind bytes that are no response.
func (conn *conn) Read(buffer []byte) (int, error) {
	count, err := conn.Conn.Read(buffer)
	conn.mu.Lock()
	defer conn.mu.Unlock()
	return conn.responses.Check(buffer[:count], err)
}

// Write writes to the connection unless writes are blocked.
func (conn *conn) Write(buffer []byte) (int, error) {
	if err := conn.startWrite(); err != nil {
		return 0, err
	}
	return conn.Conn.Write(buffer)
}

// startWrite counts a write, or returns an error if writes are blocked.
func (conn *conn) startWrite() error {
	conn.mu.Lock()
	defer conn.mu.Unlock()
	if conn.writesBlocked {
		return errWritesBlocked
	}
	conn.startedWrites++
	return nil
}

// writeCount returns the number of started writes.
func (conn *conn) writeCount() uint64 {
	conn.mu.Lock()
	defer conn.mu.Unlock()
	return conn.startedWrites
}

// blockWrites makes all later writes fail and returns the number of started ones.
func (conn *conn) blockWrites() uint64 {
	conn.mu.Lock()
	defer conn.mu.Unlock()
	conn.writesBlocked = true
	return conn.startedWrites
}
