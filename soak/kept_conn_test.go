package soak

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// closingServer reads requests from one connection, and closes it as a case says.
type closingServer struct {
	listener net.Listener
	serve    func(conn net.Conn)
	done     chan struct{}
}

func (server *closingServer) run() {
	defer close(server.done)
	conn, err := server.listener.Accept()
	if err != nil {
		return
	}
	server.serve(conn)
}

// listen returns a listener on loopback, which is closed at the end of the test.
func listen(t *testing.T) net.Listener {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	return listener
}

// startClosingServer accepts the next connection of listener, and returns the caller's end of it.
func startClosingServer(t *testing.T, listener net.Listener, serve func(conn net.Conn)) (*closingServer, *keptConn) {
	t.Helper()
	server := &closingServer{listener: listener, serve: serve, done: make(chan struct{})}
	go server.run()
	conn, err := dialKept(listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	return server, conn
}

// sendHi sends a request on conn and reads the answer, if there is one.
func sendHi(ctx context.Context, t *testing.T, conn *keptConn, listener net.Listener) {
	t.Helper()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+listener.Addr().String()+"/", strings.NewReader("hi"))
	if err != nil {
		t.Fatal(err)
	}
	if response, err := (&http.Client{Transport: conn}).Do(request); err == nil {
		_, _ = io.ReadAll(response.Body)
		response.Body.Close()
	}
}

// closeConn closes a connection without reading from it.
func closeConn(conn net.Conn) { conn.Close() }

// readRequest reads a request from conn, and answers it if answers is set.
func readRequest(conn net.Conn, answers bool) {
	request, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return
	}
	_, _ = io.Copy(io.Discard, request.Body)
	if answers {
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi")
	}
}

// TestKeptConnTellsLostFromCrossed guards against a soak that takes a request which was read for one
// that crossed the close of its connection, or the other way round.
func TestKeptConnTellsLostFromCrossed(t *testing.T) {
	for _, test := range []struct {
		name  string
		serve func(conn net.Conn)
		want  ending
	}{
		{"answered", func(conn net.Conn) {
			readRequest(conn, true)
			time.Sleep(100 * time.Millisecond)
			conn.Close()
		}, stillOpen},
		{"read and closed", func(conn net.Conn) {
			readRequest(conn, false)
			conn.Close()
		}, lost},
		{"read and closed later", func(conn net.Conn) {
			readRequest(conn, false)
			time.Sleep(2 * crossingTime)
			conn.Close()
		}, lost},
		{"unread and closed", func(conn net.Conn) {
			time.Sleep(crossingTime / 2)
			conn.Close()
		}, crossed},
		{"left unread and closed later", func(conn net.Conn) {
			time.Sleep(2 * crossingTime)
			conn.Close()
		}, lost},
		{"never answered", func(conn net.Conn) {
			readRequest(conn, false)
			time.Sleep(time.Second)
			conn.Close()
		}, abandoned},
	} {
		t.Run(test.name, func(t *testing.T) {
			listener := listen(t)
			server, conn := startClosingServer(t, listener, test.serve)
			defer conn.close()
			ctx, cancel := context.WithTimeout(t.Context(), 3*crossingTime)
			defer cancel()
			sendHi(ctx, t, conn, listener)
			if conn.ending != test.want {
				t.Errorf("got ending %q, want %q", conn.ending, test.want)
			}
			<-server.done
		})
	}
}

// TestKeptConnSendsNothingAfterItsClose guards against a request that is counted as lost although the
// router had closed its connection before.
func TestKeptConnSendsNothingAfterItsClose(t *testing.T) {
	server, conn := startClosingServer(t, listen(t), closeConn)
	defer conn.close()
	<-server.done
	time.Sleep(10 * time.Millisecond)
	if conn.open() {
		t.Error("got a connection that counts as open after its close, want one that does not")
	}
}

// TestRequestThatCrossesTheCloseIsNotLost guards against the same for closes at the moment at which the
// request is sent.
func TestRequestThatCrossesTheCloseIsNotLost(t *testing.T) {
	listener := listen(t)
	const rounds = 2000
	endings := make(map[ending]int)
	for range rounds {
		server, conn := startClosingServer(t, listener, closeConn)
		sendHi(t.Context(), t, conn, listener)
		endings[conn.ending]++
		<-server.done
		conn.close()
	}
	if endings[crossed] != rounds {
		t.Errorf("got endings %v, want %d times %v", endings, rounds, crossed)
	}
}
