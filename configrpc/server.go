package configrpc

import (
	"net"
	"net/rpc"
	"time"

	"github.com/cockroachdb/errors"
)

// Server serves a Service to other routers. Set all fields before Run.
type Server struct {
	Service  *Service
	Listener net.Listener
}

// Run accepts connections until the listener is closed, and then returns nil.
func (server *Server) Run() error {
	rpcServer := rpc.NewServer()
	if err := rpcServer.RegisterName(serviceName, server.Service); err != nil {
		return err
	}
	slots := make(chan struct{}, maxConnections)
	for {
		conn, err := server.Listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			return errors.Wrap(err, "accept connection for configuration")
		}
		connection := &connection{rpcServer: rpcServer, conn: conn, slots: slots}
		select {
		case slots <- struct{}{}:
			go connection.run()
		default:
			// The other router reads from the store instead.
			_ = conn.Close()
		}
	}
}

// connection is the connection of one other router.
type connection struct {
	rpcServer *rpc.Server
	conn      net.Conn
	// slots has one element for each connection that is being served.
	slots chan struct{}
}

func (connection *connection) run() {
	defer func() { <-connection.slots }()
	if connection.conn.SetDeadline(time.Now().Add(connectionTimeout)) != nil {
		_ = connection.conn.Close()
		return
	}
	connection.rpcServer.ServeConn(&limitedConn{Conn: connection.conn, left: maxArgsBytes})
}
