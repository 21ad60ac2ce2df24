package configrpc

import (
	"net"
	"net/rpc"
	"time"

	"github.com/cockroachdb/errors"
)

// Server serves a Service to other routers. Its fields are set before Run.
type Server struct {
	Service  *Service
	Listener net.Listener
}

// Run serves until the listener is closed, which is no error.
func (server *Server) Run() error {
	calls := rpc.NewServer()
	if err := calls.RegisterName(serviceName, server.Service); err != nil {
		return err
	}
	free := make(chan struct{}, maxCallers)
	for {
		conn, err := server.Listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			return errors.Wrap(err, "configuration for routers")
		}
		served := &served{calls: calls, conn: conn, free: free}
		select {
		case free <- struct{}{}:
			go served.run()
		default:
			// The caller reads from the store instead.
			_ = conn.Close()
		}
	}
}

// served is one caller.
type served struct {
	calls *rpc.Server
	conn  net.Conn
	free  chan struct{}
}

func (served *served) run() {
	defer func() { <-served.free }()
	if served.conn.SetDeadline(time.Now().Add(callTimeout)) != nil {
		_ = served.conn.Close()
		return
	}
	served.calls.ServeConn(served.conn)
}
