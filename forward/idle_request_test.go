package forward_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"runtime"
	"testing"
	"time"

	"github.com/hickoryhead/hickoryhead/forward"
)

// idleConns is a server whose connections are closed as idle, as by the maintenance of a router.
type idleConns struct {
	conns  forward.CallerConns
	server http.Server
	inner  net.Listener
}

// startIdleConns starts a server on the connections that wrap returns for those it accepts; with
// nil on these themselves.
func startIdleConns(t *testing.T, wrap func(net.Conn) net.Conn) *idleConns {
	t.Helper()
	idleConns := &idleConns{inner: &wrappingListener{Listener: listen(t), wrap: wrap}}
	idleConns.server.Handler = http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		_, _ = io.Copy(writer, request.Body)
	})
	idleConns.server.ConnState = idleConns.conns.Track
	go idleConns.run()
	t.Cleanup(func() { idleConns.server.Close() })
	return idleConns
}

func (idleConns *idleConns) run() {
	_ = idleConns.server.Serve(&forward.Listener{Listener: idleConns.inner})
}

// wrappingListener accepts connections as wrap returns them.
type wrappingListener struct {
	net.Listener
	wrap func(net.Conn) net.Conn
}

func (wrappingListener *wrappingListener) Accept() (net.Conn, error) {
	conn, err := wrappingListener.Listener.Accept()
	if err != nil || wrappingListener.wrap == nil {
		return conn, err
	}
	return wrappingListener.wrap(conn), nil
}

// pausedConn is a connection whose reader is paused after each read of several bytes: it reports
// that on read, and continues on a receive from resume.
type pausedConn struct {
	net.Conn
	read, resume chan struct{}
}

func (pausedConn *pausedConn) Read(buffer []byte) (int, error) {
	count, err := pausedConn.Conn.Read(buffer)
	if count > 1 {
		pausedConn.read <- struct{}{}
		<-pausedConn.resume
	}
	return count, err
}

const idleRequest = "POST / HTTP/1.1\r\nHost: router\r\nContent-Length: 2\r\n\r\nhi"

// answered sends a request on a connection, calls meanwhile, and reports whether the answer came
// whole.
func answered(t *testing.T, conn net.Conn, reader *bufio.Reader, meanwhile func()) bool {
	t.Helper()
	if _, err := io.WriteString(conn, idleRequest); err != nil {
		return false
	}
	meanwhile()
	response, err := http.ReadResponse(reader, nil)
	if err != nil {
		return false
	}
	body, err := io.ReadAll(response.Body)
	return err == nil && string(body) == "hi"
}

// dial connects to the server, for 5 seconds at most.
func (idleConns *idleConns) dial(t *testing.T) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", idleConns.inner.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	if err := conn.SetDeadline(time.Now().Add(5 * time.Second)); err != nil {
		t.Fatal(err)
	}
	return conn
}

// closeIdle closes the connections that are idle.
func (idleConns *idleConns) closeIdle() {
	idleConns.conns.CloseIdle(time.Now().Add(time.Second))
}

// countLost sends two requests on each of a number of connections, one after another, and returns
// how many of the second ones got no answer. It calls before ahead of the second request, and
// meanwhile once that is sent.
func (idleConns *idleConns) countLost(t *testing.T, rounds int, before, meanwhile func()) int {
	t.Helper()
	lost := 0
	for range rounds {
		conn, err := net.Dial("tcp", idleConns.inner.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		reader := bufio.NewReader(conn)
		if !answered(t, conn, reader, func() {}) {
			t.Fatal("got no answer to the first request of a connection, want one")
		}
		time.Sleep(time.Millisecond)
		before()
		if !answered(t, conn, reader, meanwhile) {
			lost++
		}
		conn.Close()
	}
	return lost
}

// TestRequestThatArrivedIsNotClosedAsIdle guards against a whole request that gets neither an
// answer nor a refusal: its bytes have arrived, but the goroutine of its connection is not
// scheduled before the connection is closed as idle.
func TestRequestThatArrivedIsNotClosedAsIdle(t *testing.T) {
	// With one processor the goroutine runs only when this one waits.
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	idleConns := startIdleConns(t, nil)
	const rounds = 300
	if lost := idleConns.countLost(t, rounds, func() {}, idleConns.closeIdle); lost > 0 {
		t.Errorf("got no answer to %d of %d requests that arrived before their connection was closed as idle, want 0", lost, rounds)
	}
}

// TestRequestThatWasReadIsNotClosedAsIdle guards against the same behind the read (LOST): the
// goroutine of the connection has the bytes, but has not recorded them when it is closed. A
// pausedConn shows no bytes that wait in the kernel.
func TestRequestThatWasReadIsNotClosedAsIdle(t *testing.T) {
	paused := &pausedConn{read: make(chan struct{}), resume: make(chan struct{})}
	idleConns := startIdleConns(t, func(conn net.Conn) net.Conn {
		paused.Conn = conn
		return paused
	})
	conn := idleConns.dial(t)
	reader := bufio.NewReader(conn)
	for round, meanwhile := range []func(){func() {}, idleConns.closeIdle} {
		time.Sleep(10 * time.Millisecond)
		got := answered(t, conn, reader, func() {
			<-paused.read
			meanwhile()
			paused.resume <- struct{}{}
		})
		if !got {
			t.Fatalf("got no answer to request %d, which was read before its connection was closed as idle, want one", round+1)
		}
	}
}
