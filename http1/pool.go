package http1

import (
	"bufio"
	"context"
	"io"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// ErrFull means that the pool has as many connections as it may have.
var ErrFull = errors.New("connection limit reached")

const (
	// DefaultIdleTimeout bounds the idle time of a connection whose peer states
	// none.
	DefaultIdleTimeout = 4 * time.Second
	// idleMargin is taken off the idle time that the peer states, so that this
	// side closes first.
	idleMargin = 700 * time.Millisecond
	// drainBytes is the most of an unread response that is read to keep its
	// connection.
	drainBytes = 64 << 10
)

// Pool holds the connections to one upstream. Set Dial before use. It is safe
// for concurrent use.
type Pool struct {
	// Dial opens a connection.
	Dial func(ctx context.Context) (net.Conn, error)
	// Now reads the clock; nil means time.Now.
	Now func() time.Time

	mu     sync.Mutex
	idle   []*Conn
	open   int
	closed bool
}

func (pool *Pool) now() time.Time {
	if pool.Now == nil {
		return time.Now()
	}
	return pool.Now()
}

// Get returns a connection: an idle one that was used within maxIdle, or a new
// one while fewer than limit are open. A limit of zero is none.
func (pool *Pool) Get(ctx context.Context, limit int, maxIdle time.Duration) (*Conn, error) {
	if conn := pool.takeIdle(maxIdle); conn != nil {
		return conn, nil
	}
	if !pool.reserve(limit) {
		return nil, ErrFull
	}
	opened, err := pool.Dial(ctx)
	if err != nil {
		pool.release()
		return nil, err
	}
	return &Conn{Conn: opened, pool: pool, reader: bufio.NewReaderSize(opened, readBufferBytes)}, nil
}

// takeIdle returns the idle connection that was used last, if it is usable.
func (pool *Pool) takeIdle(maxIdle time.Duration) *Conn {
	for {
		conn := pool.pop()
		if conn == nil {
			return nil
		}
		now := pool.now()
		if now.Before(conn.expiresAt) && now.Sub(conn.idleSince) <= maxIdle && conn.quiet() {
			return conn
		}
		conn.Discard()
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

func (pool *Pool) reserve(limit int) bool {
	pool.mu.Lock()
	defer pool.mu.Unlock()
	if limit > 0 && pool.open >= limit {
		return false
	}
	pool.open++
	return true
}

func (pool *Pool) release() {
	pool.mu.Lock()
	defer pool.mu.Unlock()
	pool.open--
}

// Open returns the number of connections, idle or not.
func (pool *Pool) Open() int {
	pool.mu.Lock()
	defer pool.mu.Unlock()
	return pool.open
}

// Discard closes the connection for good.
func (conn *Conn) Discard() {
	// The connection is given up, so its error tells nothing.
	_ = conn.Close()
	if conn.pool != nil {
		conn.pool.release()
		conn.pool = nil
	}
}

// Release gives the connection back after the body of its response, which is
// kept idle for keepAlive, or for DefaultIdleTimeout if that is zero. One that
// can't carry another request is closed.
func (conn *Conn) Release(body io.Reader, keepAlive time.Duration) {
	if !drain(body, drainBytes) || !conn.reusable() {
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
	expired := pool.takeExpired(now)
	pool.mu.Unlock()
	for _, old := range expired {
		old.Discard()
	}
}

// takeExpired removes the idle connections that are no longer used. The
// caller holds mu.
func (pool *Pool) takeExpired(now time.Time) []*Conn {
	var expired []*Conn
	kept := pool.idle[:0]
	for _, conn := range pool.idle {
		if now.Before(conn.expiresAt) {
			kept = append(kept, conn)
		} else {
			expired = append(expired, conn)
		}
	}
	pool.idle = kept
	return expired
}

// CloseExpired closes the idle connections that are no longer used.
func (pool *Pool) CloseExpired() {
	pool.mu.Lock()
	expired := pool.takeExpired(pool.now())
	pool.mu.Unlock()
	for _, conn := range expired {
		conn.Discard()
	}
}

// Close closes the idle connections, and each other one once it is given back.
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
