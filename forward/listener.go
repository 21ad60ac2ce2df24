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
	// used is set once a byte was read.
	used atomic.Bool
}

// Read reads from the connection. After a request with ambiguous framing it
// reads nothing more and returns io.EOF.
func (checkedConn *checkedConn) Read(buffer []byte) (int, error) {
	if checkedConn.ambiguous.Load() {
		return 0, io.EOF
	}
	count, err := checkedConn.Conn.Read(buffer)
	if count > 0 {
		checkedConn.used.Store(true)
	}
	if !checkedConn.scanner.Scan(buffer[:count]) {
		checkedConn.ambiguous.Store(true)
	}
	return count, err
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
	callerConns.closeIf(func(_ net.Conn, state connState) bool {
		return state.state == http.StateIdle && state.since.Before(before)
	})
}

// CloseUnused closes the connections that were opened before the given time and have
// brought no byte.
func (callerConns *CallerConns) CloseUnused(before time.Time) {
	callerConns.closeIf(func(conn net.Conn, state connState) bool {
		checked, ok := conn.(*checkedConn)
		return state.state == http.StateNew && state.since.Before(before) && ok && !checked.used.Load()
	})
}

// closeIf closes the connections for which condition reports true.
func (callerConns *CallerConns) closeIf(condition func(conn net.Conn, state connState) bool) {
	callerConns.mu.Lock()
	tracked := slices.Collect(maps.Keys(callerConns.states))
	callerConns.mu.Unlock()
	for _, conn := range tracked {
		// It may have got a request while others were closed.
		if !callerConns.matches(conn, condition) {
			continue
		}
		// The caller sees the close; an error would change nothing.
		_ = conn.Close()
	}
}

// matches reports whether an open connection meets a condition.
func (callerConns *CallerConns) matches(conn net.Conn, condition func(conn net.Conn, state connState) bool) bool {
	callerConns.mu.Lock()
	defer callerConns.mu.Unlock()
	state, open := callerConns.states[conn]
	return open && condition(conn, state)
}
