package forward

import (
	"context"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/hickoryhead/hickoryhead/http1"
	"github.com/hickoryhead/hickoryhead/ident"
	"github.com/hickoryhead/hickoryhead/registry"
)

const (
	// dialTimeout bounds the opening of a connection to an upstream.
	dialTimeout = 400 * time.Millisecond
	// probeAfter and probeEvery make the kernel ask a quiet peer whether it
	// still answers, and probes is how many questions may stay unanswered.
	probeAfter = 2 * time.Second
	probeEvery = time.Second
	probes     = 2
	// unackedTimeout is how long sent bytes may stay unacknowledged.
	unackedTimeout = 3 * time.Second
	// tcpUserTimeout is the number of the socket option TCP_USER_TIMEOUT, which
	// package syscall does not name.
	tcpUserTimeout = 18
)

// Dialer returns a dialer whose connections notice a silent peer.
func Dialer() *net.Dialer {
	return &net.Dialer{
		Timeout:         dialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: probeAfter, Interval: probeEvery, Count: probes},
		Control:         boundUnacked,
	}
}

func boundUnacked(_, _ string, conn syscall.RawConn) error {
	var failure error
	err := conn.Control(func(descriptor uintptr) {
		failure = syscall.SetsockoptInt(int(descriptor), syscall.IPPROTO_TCP, tcpUserTimeout, int(unackedTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return failure
}

// runKey names one run of an upstream at one address.
type runKey struct {
	upstream    ident.UpstreamID
	incarnation registry.Incarnation
	address     string
}

// Connections holds a pool of connections for each run of an upstream. Set Dial
// before use. It is safe for concurrent use.
type Connections struct {
	// Dial opens a connection.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)

	mu    sync.Mutex
	pools map[runKey]*http1.Pool
}

func keyOf(upstream registry.Upstream) runKey {
	return runKey{upstream: upstream.ID, incarnation: upstream.Incarnation, address: upstream.Address}
}

// Pool returns the connections to upstream.
func (connections *Connections) Pool(upstream registry.Upstream) *http1.Pool {
	connections.mu.Lock()
	defer connections.mu.Unlock()
	key := keyOf(upstream)
	pool := connections.pools[key]
	if pool != nil {
		return pool
	}
	if connections.pools == nil {
		connections.pools = make(map[runKey]*http1.Pool)
	}
	pool = &http1.Pool{Dial: func(ctx context.Context) (net.Conn, error) {
		return connections.Dial(ctx, "tcp", upstream.Address)
	}}
	connections.pools[key] = pool
	return pool
}

// Retain closes the connections to upstreams that are not among listed, and the
// idle ones that are no longer used.
func (connections *Connections) Retain(listed []registry.Upstream) {
	present := make(map[runKey]struct{}, len(listed))
	for _, upstream := range listed {
		present[keyOf(upstream)] = struct{}{}
	}
	connections.mu.Lock()
	defer connections.mu.Unlock()
	for key, pool := range connections.pools {
		if _, found := present[key]; found {
			pool.CloseExpired()
			continue
		}
		pool.Close()
		delete(connections.pools, key)
	}
}
