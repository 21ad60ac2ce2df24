package forward

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/hickoryhead/hickoryhead/http1"
	"github.com/hickoryhead/hickoryhead/ident"
	"github.com/hickoryhead/hickoryhead/registry"
)

const (
	// dialTimeout limits the time to open a connection to an upstream.
	dialTimeout = 400 * time.Millisecond
	// keepAliveIdle and keepAliveInterval are when the kernel sends keep-alive
	// probes on an idle connection, and keepAliveProbes is how many of them may
	// go unanswered.
	keepAliveIdle     = 2 * time.Second
	keepAliveInterval = time.Second
	keepAliveProbes   = 2
	// unackedTimeout is how long sent bytes may stay unacknowledged.
	unackedTimeout = 3 * time.Second
	// tcpUserTimeout is the socket option TCP_USER_TIMEOUT, which package
	// syscall does not define.
	tcpUserTimeout = 18
)

// Dialer returns a dialer whose connections fail within a few seconds of their
// peer's last response.
func Dialer() *net.Dialer {
	return &net.Dialer{
		Timeout:         dialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveProbes},
		Control:         setUnackedTimeout,
	}
}

// setUnackedTimeout sets TCP_USER_TIMEOUT on a new connection.
func setUnackedTimeout(_, _ string, conn syscall.RawConn) error {
	var optionErr error
	err := conn.Control(func(descriptor uintptr) {
		optionErr = syscall.SetsockoptInt(int(descriptor), syscall.IPPROTO_TCP, tcpUserTimeout, int(unackedTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return optionErr
}

// incarnationKey identifies one incarnation of an upstream at one address.
type incarnationKey struct {
	upstream    ident.UpstreamID
	incarnation registry.Incarnation
	address     string
}

// Connections holds a connection pool for each incarnation of an upstream. Set
// Dial before use. It is safe for concurrent use.
type Connections struct {
	// Dial opens a connection.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// OnAllClosed, unless nil, is called when an upstream has closed all its connections,
	// none of which was in use or had been idle for long, with their number. It must not
	// call Connections.
	OnAllClosed func(upstream registry.Upstream, connections int)
	// Max is how many connections may be open before one that is idle is closed for each
	// new one; zero means no bound. It is set before use.
	Max int

	// open counts the open connections of all pools, also of those that were closed and have
	// connections in use.
	open atomic.Int64

	mu    sync.Mutex
	pools map[incarnationKey]*http1.Pool
}

func incarnationKeyOf(upstream registry.Upstream) incarnationKey {
	return incarnationKey{upstream: upstream.ID, incarnation: upstream.Incarnation, address: upstream.Address}
}

// Pool returns the connection pool of upstream and creates it on first use.
func (connections *Connections) Pool(upstream registry.Upstream) *http1.Pool {
	connections.mu.Lock()
	defer connections.mu.Unlock()
	key := incarnationKeyOf(upstream)
	pool := connections.pools[key]
	if pool != nil {
		return pool
	}
	if connections.pools == nil {
		connections.pools = make(map[incarnationKey]*http1.Pool)
	}
	pool = &http1.Pool{Total: &connections.open, Dial: func(ctx context.Context) (net.Conn, error) {
		connections.makeRoom()
		return connections.Dial(ctx, "tcp", upstream.Address)
	}}
	if connections.OnAllClosed != nil {
		pool.OnAllClosed = func(closed int) { connections.OnAllClosed(upstream, closed) }
	}
	connections.pools[key] = pool
	return pool
}

// makeRoom closes the connection that has been idle longest if there are more than Max. Those
// in use are bounded by the requests of callers.
func (connections *Connections) makeRoom() {
	if connections.Max <= 0 || connections.Open() <= connections.Max {
		return
	}
	connections.mu.Lock()
	defer connections.mu.Unlock()
	var oldest *http1.Pool
	var oldestSince time.Time
	for _, pool := range connections.pools {
		since, idle := pool.IdleSince()
		if idle && (oldest == nil || since.Before(oldestSince)) {
			oldest, oldestSince = pool, since
		}
	}
	if oldest != nil {
		oldest.CloseOldest()
	}
}

// Open returns the number of open connections to all upstreams.
func (connections *Connections) Open() int { return int(connections.open.Load()) }

// Retain closes the pools of upstreams that are not in listed, and the unusable
// idle connections of the others. Connections in use close after their request.
func (connections *Connections) Retain(listed []registry.Upstream) {
	present := make(map[incarnationKey]struct{}, len(listed))
	for _, upstream := range listed {
		present[incarnationKeyOf(upstream)] = struct{}{}
	}
	connections.mu.Lock()
	defer connections.mu.Unlock()
	for key, pool := range connections.pools {
		if _, found := present[key]; found {
			pool.CloseUnusable()
			continue
		}
		pool.Close()
		delete(connections.pools, key)
	}
}
