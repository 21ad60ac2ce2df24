package oncehttp_test

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/hickoryhead/hickoryhead/oncehttp"
)

// earlyServer answers a request before it has read its body, and ends the connection when end is closed.
type earlyServer struct {
	listener net.Listener
	end      chan struct{}
	endConn  func(conn *net.TCPConn)
	// over is closed when the connection may be closed.
	over chan struct{}
}

func (server *earlyServer) run() {
	conn, err := server.listener.Accept()
	if err != nil {
		return
	}
	defer conn.Close()
	if _, err := http.ReadRequest(bufio.NewReader(conn)); err != nil {
		return
	}
	_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\npart")
	<-server.end
	server.endConn(conn.(*net.TCPConn))
	<-server.over
}

// TestEarlyResponseThatIsReset guards against a part of a response that is taken for whole, since the
// write of the request took the reset from the read of the response, and against a whole one that is
// refused because the request was not read to its end. (net/http closes a connection on which a write
// failed, so that a reset behind the end of a response fails that too.)
func TestEarlyResponseThatIsReset(t *testing.T) {
	tests := map[string]struct {
		endConn   func(conn *net.TCPConn)
		wantWhole bool
	}{
		"reset":       {func(conn *net.TCPConn) { _ = conn.SetLinger(0); _ = conn.Close() }, false},
		"half closed": {func(conn *net.TCPConn) { _ = conn.CloseWrite() }, true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			for range 8 {
				listener, err := net.Listen("tcp", "127.0.0.1:0")
				if err != nil {
					t.Fatal(err)
				}
				server := &earlyServer{listener: listener, end: make(chan struct{}), over: make(chan struct{}), endConn: test.endConn}
				go server.run()
				client := new(oncehttp.Client)
				request, err := http.NewRequest(http.MethodPost, "http://"+listener.Addr().String()+"/x", bytes.NewReader(make([]byte, 8<<20)))
				if err != nil {
					t.Fatal(err)
				}
				response, err := client.Do(request)
				if err != nil {
					t.Fatal(err)
				}
				close(server.end)
				time.Sleep(20 * time.Millisecond)
				body, err := io.ReadAll(response.Body)
				if got := err == nil; got != test.wantWhole {
					t.Errorf("got body %q and error %v, want it whole: %t", body, err, test.wantWhole)
				}
				close(server.over)
				_ = response.Body.Close()
				client.CloseIdle()
				_ = listener.Close()
			}
		})
	}
}
