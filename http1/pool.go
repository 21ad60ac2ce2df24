package http1

import (
	"context"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
)

// ErrFull means that the connection limit of the pool is reached.
var ErrFull = errors.New("connection limit reached")

const (
	// DefaultIdleTimeout limits the idle time of a connection whose peer states
	// no limit.
	DefaultIdleTimeout = 4 * time.Second
	// idleMargin is subtracted from the idle time that the peer states, so that
	// this side closes the connection first.
	idleMargin = 700 * time.Millisecond
	// maxDrainBytes is the most of an unread response body that is read to keep
	// its connection.
	maxDrainBytes = 64 << 10
)

// Pool holds the connections to one upstream. Set Dial before use. It is safe
// for concurrent use.
type Pool struct {
	// Dial opens a connection.
	Dial func(ctx context.Context) (net.Conn, error)
	// Now returns the current time; nil means time.Now.
	Now func() time.Time
	// OnAllClosed, unless nil, is called when the last open connection of the pool is found
	// closed by the peer before its idle timeout, which usually means that the peer's process
	// has ended. connections counts those found closed early together. If it is one, the peer
	// may just use a shorter idle timeout than it states.
	OnAllClosed func(connections int)
	// Total, unless nil, counts the open connections of all pools that share it.
	Total *atomic.Int64

	mu       sync.Mutex
	idle     []*Conn
	open     int
	closed   bool
	identity peerIdentity
}

// recordBreak records that a connection broke.
func (pool *Pool) recordBreak() {
	now := pool.now()
	pool.mu.Lock()
	defer pool.mu.Unlock()
	pool.identity.recordBreak(now)
}

func (pool *Pool) now() time.Time {
	if pool.Now == nil {
		return time.Now()
	}
	return pool.Now()
}

// Get returns an idle connection that was used within maxIdle, or else opens a
// new one. It returns ErrFull if limit connections are open; a limit of zero
// means no limit.
func (pool *Pool) Get(ctx context.Context, limit int, maxIdle time.Duration) (*Conn, error) {
	if conn := pool.takeIdle(maxIdle); conn != nil {
		return conn, nil
	}
	if !pool.reserve(limit) {
		return nil, ErrFull
	}
	opened, err := pool.Dial(ctx)
	if err != nil {
		pool.unreserve()
		pool.recordBreak()
		return nil, err
	}
	return newConn(pool, opened), nil
}

// takeIdle returns the most recently used idle connection, or nil. It closes
// connections that may no longer be used.
func (pool *Pool) takeIdle(maxIdle time.Duration) *Conn {
	closedEarly := 0
	for {
		conn := pool.pop()
		if conn == nil {
			return nil
		}
		now := pool.now()
		open := conn.openAndIdle()
		if now.Before(conn.expiresAt) && now.Sub(conn.idleSince) <= maxIdle && open {
			return conn
		}
		if !open {
			pool.recordBreak()
		}
		early := !open && now.Before(conn.expiresAt)
		if early {
			closedEarly++
		}
		ended := early && pool.isLast()
		conn.Discard()
		if ended {
			pool.reportAllClosed(closedEarly)
		}
	}
}

// isLast reports whether a connection that was taken from the pool is its last one.
func (pool *Pool) isLast() bool {
	pool.mu.Lock()
	defer pool.mu.Unlock()
	return pool.open == 1
}

func (pool *Pool) reportAllClosed(connections int) {
	if pool.OnAllClosed != nil {
		pool.OnAllClosed(connections)
	}
}

func (pool *Pool) pop() *Conn {
	pool.mu.Lock()
	defer pool.mu.Unlock()
	if len(pool.idle) == 0 {
		return nil
	}
	conn := pool.idle[len(pool.idle)-1]
	pool.idle = pool.idle[:len(pool.idle)-1]
	return conn
}

// reserve counts a connection that is about to be opened. It returns false if
// the limit is reached.
func (pool *Pool) reserve(limit int) bool {
	pool.mu.Lock()
	defer pool.mu.Unlock()
	if limit > 0 && pool.open >= limit {
		return false
	}
	pool.add(1)
	return true
}

func (pool *Pool) unreserve() {
	pool.mu.Lock()
	defer pool.mu.Unlock()
	pool.add(-1)
}

// add changes the number of open connections. The caller holds mu.
func (pool *Pool) add(count int) {
	pool.open += count
	if pool.Total != nil {
		pool.Total.Add(int64(count))
	}
}

// Open returns the number of open connections, idle or in use.
func (pool *Pool) Open() int {
	pool.mu.Lock()
	defer pool.mu.Unlock()
	return pool.open
}

// Discard closes the connection and removes it from its pool.
func (conn *Conn) Discard() {
	// The connection is not used again, so the error does not matter.
	_ = conn.Close()
	if conn.pool != nil {
		conn.pool.unreserve()
		conn.pool = nil
	}
}

// Release reads body, the body of the last response, to its end and returns the
// connection to its pool. It stays idle for keepAlive less a margin, or for
// DefaultIdleTimeout if keepAlive is zero. A connection that can't carry
// another request is closed.
func (conn *Conn) Release(body io.Reader, keepAlive time.Duration) {
	if !drain(body, maxDrainBytes) || !conn.reusable() {
		conn.Discard()
		return
	}
	if keepAlive == 0 {
		keepAlive = DefaultIdleTimeout + idleMargin
	}
	conn.pool.put(conn, keepAlive-idleMargin)
}

func (pool *Pool) put(conn *Conn, idleFor time.Duration) {
	now := pool.now()
	conn.idleSince = now
	conn.expiresAt = now.Add(idleFor)
	if conn.SetDeadline(time.Time{}) != nil {
		conn.Discard()
		return
	}
	pool.mu.Lock()
	if pool.closed {
		pool.mu.Unlock()
		conn.Discard()
		return
	}
	pool.idle = append(pool.idle, conn)
	expired := pool.takeIf(func(conn *Conn) bool { return !now.Before(conn.expiresAt) })
	pool.mu.Unlock()
	for _, old := range expired {
		old.Discard()
	}
}

// takeIf removes the idle connections for which remove reports true from the pool
// and returns them. The caller holds mu.
func (pool *Pool) takeIf(remove func(conn *Conn) bool) []*Conn {
	var removed []*Conn
	kept := pool.idle[:0]
	for _, conn := range pool.idle {
		if remove(conn) {
			removed = append(removed, conn)
		} else {
			kept = append(kept, conn)
		}
	}
	pool.idle = kept
	return removed
}

// CloseUnusable closes the idle connections that are expired, that the peer has
// closed or on which it sent bytes that belong to no request.
func (pool *Pool) CloseUnusable() {
	now := pool.now()
	pool.mu.Lock()
	closedEarly := 0
	unusable := pool.takeIf(func(conn *Conn) bool {
		open := conn.openAndIdle()
		if !open {
			pool.identity.recordBreak(now)
		}
		if !open && now.Before(conn.expiresAt) {
			closedEarly++
		}
		return !open || !now.Before(conn.expiresAt)
	})
	ended := closedEarly > 0 && closedEarly == pool.open
	pool.mu.Unlock()
	for _, conn := range unusable {
		conn.Discard()
	}
	if ended {
		pool.reportAllClosed(closedEarly)
	}
}

// closeIdleSince closes the idle connections that have brought no response since the given
// time.
func (pool *Pool) closeIdleSince(since time.Time) {
	pool.mu.Lock()
	silent := pool.takeIf(func(conn *Conn) bool { return conn.idleSince.Before(since) })
	pool.mu.Unlock()
	for _, conn := range silent {
		conn.Discard()
	}
}

// IdleSince returns since when the connection is idle that has been so longest, and whether
// there is one.
func (pool *Pool) IdleSince() (time.Time, bool) {
	pool.mu.Lock()
	defer pool.mu.Unlock()
	if len(pool.idle) == 0 {
		return time.Time{}, false
	}
	// Connections are appended when they become idle.
	return pool.idle[0].idleSince, true
}

// CloseOldest closes the connection that has been idle longest.
func (pool *Pool) CloseOldest() {
	pool.mu.Lock()
	var oldest *Conn
	if len(pool.idle) > 0 {
		oldest = pool.idle[0]
		pool.idle = pool.idle[1:]
	}
	pool.mu.Unlock()
	if oldest != nil {
		oldest.Discard()
	}
}

// Close closes the idle connections. Connections in use are closed when they
// are released.
func (pool *Pool) Close() {
	pool.mu.Lock()
	idle := pool.idle
	pool.idle = nil
	pool.closed = true
	pool.mu.Unlock()
	for _, conn := range idle {
		conn.Discard()
	}
}
