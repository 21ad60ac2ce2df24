package forward

import (
	"context"
	"io"
	"maps"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hickoryhead/hickoryhead/framing"
)

// contextKey is the type of the context keys of this package.
type contextKey int

const connContextKey contextKey = 0

// checkedConn is a caller's connection whose bytes are scanned for requests
// with ambiguous framing.
type checkedConn struct {
	net.Conn
	scanner   framing.Scanner
	ambiguous atomic.Bool

	mu sync.Mutex
	// readAt is when bytes were last read, and closing is set once the connection is closed
	// because there were none.
	readAt  time.Time
	closing bool
}

// Read reads from the connection. After a request with ambiguous framing it
// reads nothing more and returns io.EOF.
func (checkedConn *checkedConn) Read(buffer []byte) (int, error) {
	if checkedConn.ambiguous.Load() {
		return 0, io.EOF
	}
	count, err := checkedConn.Conn.Read(buffer)
	if count > 0 && !checkedConn.recordRead() {
		return 0, io.EOF
	}
	if !checkedConn.scanner.Scan(buffer[:count]) {
		checkedConn.ambiguous.Store(true)
	}
	return count, err
}

// recordRead records that bytes were read. It returns false if the connection is being
// closed as unused, so that what they belong to is not served.
func (checkedConn *checkedConn) recordRead() bool {
	checkedConn.mu.Lock()
	defer checkedConn.mu.Unlock()
	if checkedConn.closing {
		return false
	}
	checkedConn.readAt = time.Now()
	return true
}

// closeUnlessRead closes the connection unless bytes were read since a time. A request is
// either served or never read.
func (checkedConn *checkedConn) closeUnlessRead(since time.Time) {
	checkedConn.mu.Lock()
	unread := !checkedConn.readAt.After(since)
	checkedConn.closing = checkedConn.closing || unread
	checkedConn.mu.Unlock()
	if unread {
		// The caller sees the close; an error would change nothing.
		_ = checkedConn.Close()
	}
}

// Listener accepts callers' connections and checks the framing of their
// requests.
type Listener struct {
	net.Listener
}

// Accept returns the next connection. Its requests can be checked with
// Unambiguous.
func (listener Listener) Accept() (net.Conn, error) {
	conn, err := listener.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &checkedConn{Conn: conn}, nil
}

// ConnContext is the ConnContext callback of an http.Server. It stores conn in
// the context of its requests, for Unambiguous.
func ConnContext(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connContextKey, conn)
}

// Unambiguous reports whether all requests so far on the connection of ctx had
// unambiguous framing. It returns true for a connection that no Listener
// accepted.
func Unambiguous(ctx context.Context) bool {
	conn, checked := ctx.Value(connContextKey).(*checkedConn)
	return !checked || !conn.ambiguous.Load()
}

// CallerConns tracks callers' open connections. The zero value is ready to use; Track is the
// ConnState callback of an http.Server. It is safe for concurrent use.
type CallerConns struct {
	mu sync.Mutex
	// states holds the state of each open connection.
	states map[net.Conn]connState
}

// connState is the state of a connection, and since when it has it.
type connState struct {
	state http.ConnState
	since time.Time
}

// Track records the new state of a connection.
func (callerConns *CallerConns) Track(conn net.Conn, state http.ConnState) {
	callerConns.mu.Lock()
	defer callerConns.mu.Unlock()
	if state == http.StateClosed || state == http.StateHijacked {
		delete(callerConns.states, conn)
		return
	}
	if callerConns.states == nil {
		callerConns.states = make(map[net.Conn]connState)
	}
	callerConns.states[conn] = connState{state: state, since: time.Now()}
}

// Open returns the number of open connections.
func (callerConns *CallerConns) Open() int {
	callerConns.mu.Lock()
	defer callerConns.mu.Unlock()
	return len(callerConns.states)
}

// CloseIdle closes the connections that have been without a request in progress since
// before the given time.
func (callerConns *CallerConns) CloseIdle(before time.Time) {
	callerConns.closeIf(http.StateIdle, before)
}

// CloseUnused closes the connections that were opened before the given time and have
// brought no byte.
func (callerConns *CallerConns) CloseUnused(before time.Time) {
	callerConns.closeIf(http.StateNew, before)
}

// closeIf closes the connections that have had a state since before a time, unless bytes
// have come since.
func (callerConns *CallerConns) closeIf(state http.ConnState, before time.Time) {
	callerConns.mu.Lock()
	tracked := slices.Collect(maps.Keys(callerConns.states))
	callerConns.mu.Unlock()
	for _, conn := range tracked {
		// It may have got a request while others were closed.
		since, matches := callerConns.since(conn, state)
		if !matches || !since.Before(before) {
			continue
		}
		if checked, ok := conn.(*checkedConn); ok {
			checked.closeUnlessRead(since)
			continue
		}
		// The caller sees the close; an error would change nothing.
		_ = conn.Close()
	}
}

// since returns since when an open connection has a state, and whether it has it. A new one
// has it since before it could bring a byte.
func (callerConns *CallerConns) since(conn net.Conn, state http.ConnState) (time.Time, bool) {
	callerConns.mu.Lock()
	defer callerConns.mu.Unlock()
	current, open := callerConns.states[conn]
	return current.since, open && current.state == state
}
