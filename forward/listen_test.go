package forward_test

import (
	"net"
	"net/http"
	"testing"
)

// listen returns a listener on loopback, which is closed at the end of the test.
func listen(t testing.TB) net.Listener {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	return listener
}

// connect opens a connection to a listener and returns both of its ends, which are closed at the
// end of the test.
func connect(t testing.TB, listener net.Listener) (caller, accepted net.Conn) {
	t.Helper()
	caller, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { caller.Close() })
	accepted, err = listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { accepted.Close() })
	return caller, accepted
}

// routerServer serves a router's listener in the background.
type routerServer struct {
	server   *http.Server
	listener net.Listener
}

func (routerServer *routerServer) run() { _ = routerServer.server.Serve(routerServer.listener) }

// serve serves HTTP on a listener until the end of the test.
func serve(t testing.TB, server *http.Server, listener net.Listener) {
	routerServer := &routerServer{server: server, listener: listener}
	go routerServer.run()
	t.Cleanup(func() { _ = server.Close() })
}
