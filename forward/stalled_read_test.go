package forward

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"
)

// heldConn is a connection whose reader is paused after it has read the last bytes of a body.
type heldConn struct {
	net.Conn
	last         string
	read, resume chan struct{}
}

func (heldConn *heldConn) Read(buffer []byte) (int, error) {
	count, err := heldConn.Conn.Read(buffer)
	if string(buffer[:count]) == heldConn.last {
		close(heldConn.read)
		<-heldConn.resume
	}
	return count, err
}

// heldListener accepts the first connection as a heldConn.
type heldListener struct {
	net.Listener
	held *heldConn
}

func (heldListener *heldListener) Accept() (net.Conn, error) {
	conn, err := heldListener.Listener.Accept()
	if err != nil || heldListener.held.Conn != nil {
		return conn, err
	}
	heldListener.held.Conn = conn
	return heldListener.held, nil
}

// TestRequestThatWasReadIsNotClosedAsStalled guards against a whole request that gets no answer:
// the goroutine of the connection has the last bytes of its body, but has not recorded them when
// the connection is closed because its caller stalls.
func TestRequestThatWasReadIsNotClosedAsStalled(t *testing.T) {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	held := &heldConn{last: "end", read: make(chan struct{}), resume: make(chan struct{})}
	bound := make(chan BoundReason, 1)
	conns := &CallerConns{Max: 1, OnBound: func(reason BoundReason) { bound <- reason }}
	began := make(chan struct{})
	server := &http.Server{ConnState: conns.Track, ConnContext: ConnContext}
	server.Handler = http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		conn, _ := request.Context().Value(connContextKey).(*checkedConn)
		conn.waitForSender(time.Now().Add(-2 * minStall))
		close(began)
		_, _ = io.Copy(io.Discard, request.Body)
		conn.endWait()
		writer.WriteHeader(http.StatusNoContent)
	})
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = server.Serve(&Listener{Listener: &heldListener{Listener: inner, held: held}})
	}()
	defer func() { server.Close(); <-done }()
	conn, err := net.Dial("tcp", inner.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	if _, err := io.WriteString(conn, "POST / HTTP/1.1\r\nHost: router\r\nContent-Length: 3\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	<-began
	if _, err := io.WriteString(conn, "end"); err != nil {
		t.Fatal(err)
	}
	<-held.read
	added, err := net.Dial("tcp", inner.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer added.Close()
	t.Logf("closed at the bound: %v", <-bound)
	close(held.resume)
	if err := conn.SetReadDeadline(time.Now().Add(5 * time.Second)); err != nil {
		t.Fatal(err)
	}
	if _, err := http.ReadResponse(bufio.NewReader(conn), nil); err != nil {
		t.Errorf("got %v for a request that was read whole, want its answer", err)
	}
}
