package metrics

import (
	"context"
	"net"
	"sync/atomic"
	"syscall"

	"github.com/hickoryhead/hickoryhead/ident"
	"github.com/hickoryhead/hickoryhead/socket"
)

// Traffic counts the control bytes exchanged with one kind of peer. The zero
// value counts without reporting to a Set. Its fields are set before use; its
// methods are safe for concurrent use.
type Traffic struct {
	Set  *Set
	Peer Peer

	sent     atomic.Int64
	received atomic.Int64
}

// Sent returns the number of bytes written so far.
func (traffic *Traffic) Sent() ident.Bytes {
	return ident.Bytes(traffic.sent.Load())
}

// Received returns the number of bytes read so far.
func (traffic *Traffic) Received() ident.Bytes {
	return ident.Bytes(traffic.received.Load())
}

// Conn returns a connection that wraps conn and counts its bytes.
func (traffic *Traffic) Conn(conn net.Conn) net.Conn {
	return &countingConn{Conn: conn, traffic: traffic}
}

// DialContext connects to address and returns a connection that counts its
// bytes.
func (traffic *Traffic) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	var dialer net.Dialer
	conn, err := dialer.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return traffic.Conn(conn), nil
}

// countingConn is a connection that counts its bytes in traffic.
type countingConn struct {
	net.Conn
	traffic *Traffic
}

// SyscallConn returns the connection for calls to the kernel.
func (conn *countingConn) SyscallConn() (syscall.RawConn, error) { return socket.RawConn(conn.Conn) }

// Read reads from the connection and counts the bytes received.
func (conn *countingConn) Read(buffer []byte) (int, error) {
	n, err := conn.Conn.Read(buffer)
	conn.traffic.received.Add(int64(n))
	conn.traffic.Set.AddControlBytes(conn.traffic.Peer, Received, ident.Bytes(n))
	return n, err
}

// Write writes to the connection and counts the bytes sent.
func (conn *countingConn) Write(buffer []byte) (int, error) {
	n, err := conn.Conn.Write(buffer)
	conn.traffic.sent.Add(int64(n))
	conn.traffic.Set.AddControlBytes(conn.traffic.Peer, Sent, ident.Bytes(n))
	return n, err
}
