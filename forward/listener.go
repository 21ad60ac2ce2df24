package forward

import (
	"context"
	"net"

	"github.com/hickoryhead/hickoryhead/memory"
)

// contextKey is the type of the context keys of this package.
type contextKey int

const connContextKey contextKey = 0

// Listener accepts callers' connections and checks the framing of their
// requests.
type Listener struct {
	net.Listener
	// Memory is the account in which long heads are held; with nil they are not bounded
	// here.
	Memory *memory.Account
	// MaxHeadBytes returns the longest head that the configuration allows, or zero. With nil
	// there is no configuration.
	MaxHeadBytes func() int
	// OnNoRoom, if set, is called when a head is refused because there is no room for it.
	OnNoRoom func()
	// OnClose, if set, is called once for each connection that the router closes before its
	// caller does, and OnKeep each time that it does not close one because bytes have arrived.
	// Neither may block, or use the connection.
	OnClose func(reason CloseReason)
	OnKeep  func(reason KeepReason)
	// OnUnhandled, if set, is called when a connection ends whose last heads were read whole, but
	// went to no handler. It must not block.
	OnUnhandled func(heads int)
}

// Accept returns the next connection. Its requests can be checked with
// WellFormed.
func (listener *Listener) Accept() (net.Conn, error) {
	conn, err := listener.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &checkedConn{Conn: conn, listener: listener}, nil
}

// ConnContext is the ConnContext callback of an http.Server. It stores conn in
// the context of its requests, for WellFormed.
func ConnContext(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connContextKey, conn)
}

// WellFormed reports whether all bytes so far on the connection of ctx had the form of requests,
// as package framing checks it. It returns true for a connection that no Listener
// accepted.
func WellFormed(ctx context.Context) bool {
	conn, checked := ctx.Value(connContextKey).(*checkedConn)
	return !checked || !conn.malformed.Load()
}
