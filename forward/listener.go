package forward

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hickoryhead/hickoryhead/framing"
)

// contextKey is the type of the keys of values in a connection's context.
type contextKey int

const connKey contextKey = 0

// checkedConn is a caller's connection whose bytes are followed, so that a
// request with an ambiguous end is noticed.
type checkedConn struct {
	net.Conn
	scanner   framing.Scanner
	ambiguous atomic.Bool
}

// Read reads from the connection. Nothing more is read behind a request with an
// ambiguous end.
func (conn *checkedConn) Read(buffer []byte) (int, error) {
	if conn.ambiguous.Load() {
		return 0, io.EOF
	}
	count, err := conn.Conn.Read(buffer)
	if !conn.scanner.Scan(buffer[:count]) {
		conn.ambiguous.Store(true)
	}
	return count, err
}

// Listener accepts callers' connections whose framing is checked.
type Listener struct {
	net.Listener
}

// Accept returns the next connection.
func (listener Listener) Accept() (net.Conn, error) {
	conn, err := listener.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &checkedConn{Conn: conn}, nil
}

// ConnContext is for http.Server: it lets a request find its connection.
func ConnContext(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connKey, conn)
}

// Unambiguous reports whether all requests so far on the connection of ctx had
// one end. A connection that is not checked has.
func Unambiguous(ctx context.Context) bool {
	conn, checked := ctx.Value(connKey).(*checkedConn)
	return !checked || !conn.ambiguous.Load()
}

// IdleConns follows the callers' connections that carry no request. The zero
// value is ready; its method Track is for http.Server. It is safe for
// concurrent use.
type IdleConns struct {
	mu    sync.Mutex
	since map[net.Conn]time.Time
}

// Track takes in the new state of a connection.
func (idle *IdleConns) Track(conn net.Conn, state http.ConnState) {
	idle.mu.Lock()
	defer idle.mu.Unlock()
	if state != http.StateIdle {
		delete(idle.since, conn)
		return
	}
	if idle.since == nil {
		idle.since = make(map[net.Conn]time.Time)
	}
	idle.since[conn] = time.Now()
}

// CloseOlder closes the connections that are idle since before the time before.
func (idle *IdleConns) CloseOlder(before time.Time) {
	idle.mu.Lock()
	var old []net.Conn
	for conn, since := range idle.since {
		if since.Before(before) {
			old = append(old, conn)
		}
	}
	idle.mu.Unlock()
	for _, conn := range old {
		// The caller sees the end; there is nobody else to tell.
		_ = conn.Close()
	}
}
