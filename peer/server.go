package peer

import (
	"context"
	"crypto/tls"
	"log/slog"
	"net"
	"net/rpc"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/hickoryhead/hickoryhead/logging"
	"github.com/hickoryhead/hickoryhead/metrics"
)

const (
	// handshakeTimeout bounds the TLS handshake, which proves the shared key.
	handshakeTimeout = 5 * time.Second
	// writeTimeout bounds one write, so that an unresponsive peer does not block
	// a goroutine.
	writeTimeout = 5 * time.Second
	// acceptRetryDelay is the delay after a failed accept, for example when the
	// process is out of file descriptors.
	acceptRetryDelay = 50 * time.Millisecond
	// maxHandshakes bounds the connections that have not proved the shared key yet. All
	// routers of the largest fleet may connect at a time.
	maxHandshakes = 1024
)

var errTooManyHandshakes = errors.New("too many peer handshakes")

// Events that the server counts.
const (
	eventAccepted = "peer.connection.accepted"
	eventRefused  = "peer.connection.refused"
)

// Server serves net/rpc methods to peers that prove the shared key. If Identity
// is nil, it refuses every connection.
type Server struct {
	Identity *Identity
	// Traffic counts the bytes of all connections; nil counts none.
	Traffic *metrics.Traffic
	Metrics *metrics.Set
	Logger  *slog.Logger

	rpc   rpc.Server
	conns connSet
	tasks sync.WaitGroup
	// handshakes counts the connections that are being secured.
	handshakes atomic.Int64
}

// Register makes the exported methods of receiver callable as name.Method.
func (server *Server) Register(name string, receiver any) error {
	return errors.Wrapf(server.rpc.RegisterName(name, receiver), "register %s", name)
}

// Serve accepts connections until ctx ends. It then closes the listener and
// every connection, and returns nil once all of them have ended.
func (server *Server) Serve(ctx context.Context, listener net.Listener) error {
	stop := context.AfterFunc(ctx, func() {
		listener.Close()
		server.conns.closeAll()
	})
	defer stop()
	defer server.tasks.Wait()
	for {
		conn, err := listener.Accept()
		switch {
		case err == nil:
			server.tasks.Add(1)
			go server.run(ctx, conn)
		case ctx.Err() != nil:
			return nil
		case errors.Is(err, net.ErrClosed):
			server.conns.closeAll()
			return errors.Wrap(err, "accept peer connection")
		default:
			time.Sleep(acceptRetryDelay)
		}
	}
}

// run serves one connection until it is closed.
func (server *Server) run(ctx context.Context, conn net.Conn) {
	defer server.tasks.Done()
	defer conn.Close()
	if !server.conns.add(conn) {
		return
	}
	defer server.conns.remove(conn)
	secured, err := server.secureBounded(ctx, conn)
	if errors.Is(err, errTooManyHandshakes) {
		server.Metrics.CountEvent(eventRefused)
		return
	}
	if err != nil {
		server.Metrics.CountEvent(eventRefused)
		server.logger().Warn("Peer connection refused.", "from", conn.RemoteAddr().String(), "error", err)
		return
	}
	server.Metrics.CountEvent(eventAccepted)
	server.rpc.ServeConn(secured)
}

func (server *Server) logger() *slog.Logger {
	return logging.Component(server.Logger, "peer")
}

// secureBounded secures a connection, unless maxHandshakes others are being secured: clients
// that are no peers must not use up the descriptors.
func (server *Server) secureBounded(ctx context.Context, conn net.Conn) (net.Conn, error) {
	defer server.handshakes.Add(-1)
	if server.handshakes.Add(1) > maxHandshakes {
		return nil, errTooManyHandshakes
	}
	return server.secure(ctx, conn)
}

func (server *Server) secure(ctx context.Context, conn net.Conn) (net.Conn, error) {
	if server.Identity == nil {
		return nil, ErrUnauthenticated
	}
	counted := countTraffic(server.Traffic, conn)
	secured := tls.Server(&boundedConn{Conn: counted}, server.Identity.config())
	return secured, handshake(ctx, secured)
}

func countTraffic(traffic *metrics.Traffic, conn net.Conn) net.Conn {
	if traffic == nil {
		return conn
	}
	return traffic.Conn(conn)
}

func handshake(ctx context.Context, secured *tls.Conn) error {
	ctx, cancel := context.WithTimeout(ctx, handshakeTimeout)
	defer cancel()
	return errors.Wrap(secured.HandshakeContext(ctx), "peer handshake")
}

// boundedConn sets a new deadline of writeTimeout for each write.
type boundedConn struct {
	net.Conn
}

// Write writes buffer or fails after writeTimeout.
func (conn *boundedConn) Write(buffer []byte) (int, error) {
	if err := conn.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return 0, err
	}
	return conn.Conn.Write(buffer)
}

// connSet is the set of a server's open connections. The zero value is empty and
// open; once closed it accepts no more connections.
type connSet struct {
	mu     sync.Mutex
	closed bool
	conns  map[net.Conn]struct{}
}

func (set *connSet) add(conn net.Conn) bool {
	set.mu.Lock()
	defer set.mu.Unlock()
	if set.closed {
		return false
	}
	if set.conns == nil {
		set.conns = make(map[net.Conn]struct{})
	}
	set.conns[conn] = struct{}{}
	return true
}

func (set *connSet) remove(conn net.Conn) {
	set.mu.Lock()
	defer set.mu.Unlock()
	delete(set.conns, conn)
}

func (set *connSet) closeAll() {
	set.mu.Lock()
	defer set.mu.Unlock()
	set.closed = true
	for conn := range set.conns {
		conn.Close()
	}
}
