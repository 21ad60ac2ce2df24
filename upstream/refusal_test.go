package upstream_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/hickoryhead/hickoryhead/upstream"
)

// repeatingServer refuses the first request of each connection, and writes the refusal once
// more before it answers the second one.
type repeatingServer struct {
	listener net.Listener
}

const (
	refusedReply = "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 7\r\n\r\nrefused"
	servedReply  = "HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nserved"
)

func (server *repeatingServer) run() {
	for first := true; ; first = false {
		conn, err := server.listener.Accept()
		if err != nil {
			return
		}
		serving := &repeatingConn{conn: conn, refuses: first}
		go serving.run()
	}
}

type repeatingConn struct {
	conn    net.Conn
	refuses bool
}

func (conn *repeatingConn) run() {
	defer conn.conn.Close()
	reader := bufio.NewReader(conn.conn)
	for n := 0; ; n++ {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, request.Body)
		reply := servedReply
		if conn.refuses && n == 0 {
			reply = refusedReply
		} else if conn.refuses {
			reply = refusedReply + servedReply
		}
		if _, err := io.WriteString(conn.conn, reply); err != nil {
			return
		}
	}
}

// TestRepeatedRefusalIsNoReplyToTheNextCall guards against a refusal that a faulty service
// writes once more on a kept connection and that is taken for the reply to the next call.
func TestRepeatedRefusalIsNoReplyToTheNextCall(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	server := &repeatingServer{listener: listener}
	go server.run()
	client := upstream.New(listener.Addr().String(), upstream.Options{})
	for n, want := range []string{"refused", "served", "served"} {
		reply, err := client.Call(t.Context(), upstream.Call{Operation: "confirm", Body: []byte("{}")})
		if err != nil || reply.Body != want {
			t.Errorf("got reply %q and error %v to call %d, want %q", reply.Body, err, n, want)
		}
		time.Sleep(10 * time.Millisecond)
	}
}
