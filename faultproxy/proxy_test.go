package faultproxy

import (
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
)

// TestProxyKeepsItsPortWhileItRefuses guards against requests that reach another process,
// which was given the port of an upstream that is away.
func TestProxyKeepsItsPortWhileItRefuses(t *testing.T) {
	target, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer target.Close()
	proxy, err := Start(target.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer proxy.Close()
	for range 3 {
		proxy.Refuse()
		if conn, err := net.Dial("tcp", proxy.Address()); err == nil {
			_ = conn.Close()
			t.Error("got a connection to a proxy that refuses them, want none")
		}
		if listener, err := net.Listen("tcp", proxy.Address()); err == nil {
			_ = listener.Close()
			t.Error("got the port of a proxy that refuses connections, want an error")
		}
		if err := proxy.Accept(); err != nil {
			t.Fatal(err)
		}
		conn, err := net.Dial("tcp", proxy.Address())
		if err != nil {
			t.Fatalf("got %v, want a connection to a proxy that accepts them", err)
		}
		_ = conn.Close()
	}
}

// TestSilentConnectionsDeliverNothingMore has a connection that was open before Silence,
// which must neither deliver nor end, and a new one, which must work.
func TestSilentConnectionsDeliverNothingMore(t *testing.T) {
	server := httptest.NewServer(http.NotFoundHandler())
	defer server.Close()
	proxy, err := Start(strings.TrimPrefix(server.URL, "http://"))
	if err != nil {
		t.Fatal(err)
	}
	defer proxy.Close()
	responds := func(conn net.Conn) bool {
		t.Helper()
		if _, err := io.WriteString(conn, "GET / HTTP/1.1\r\nHost: a\r\n\r\n"); err != nil {
			t.Fatal(err)
		}
		if err := conn.SetReadDeadline(time.Now().Add(300 * time.Millisecond)); err != nil {
			t.Fatal(err)
		}
		count, err := conn.Read(make([]byte, 4096))
		if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
			t.Fatalf("got error %v, want a connection that stays open", err)
		}
		return count > 0
	}
	early, err := net.Dial("tcp", proxy.Address())
	if err != nil {
		t.Fatal(err)
	}
	defer early.Close()
	if !responds(early) {
		t.Fatal("got no response before Silence, want one")
	}
	proxy.Silence()
	if responds(early) {
		t.Error("got a response on a silent connection, want none")
	}
	late, err := net.Dial("tcp", proxy.Address())
	if err != nil {
		t.Fatal(err)
	}
	defer late.Close()
	if !responds(late) {
		t.Error("got no response on a new connection, want one")
	}
}
