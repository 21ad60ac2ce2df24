package soak

import (
	"net"
	"testing"
)

// TestProxyKeepsItsPortWhileItRefuses guards against requests that reach another process,
// which was given the port of an upstream that is away.
func TestProxyKeepsItsPortWhileItRefuses(t *testing.T) {
	target, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer target.Close()
	proxy, err := startProxy(target.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer proxy.close()
	for range 3 {
		proxy.refuse()
		if conn, err := net.Dial("tcp", proxy.address()); err == nil {
			_ = conn.Close()
			t.Error("got a connection to a proxy that refuses them, want none")
		}
		if listener, err := net.Listen("tcp", proxy.address()); err == nil {
			_ = listener.Close()
			t.Error("got the port of a proxy that refuses connections, want an error")
		}
		if err := proxy.accept(); err != nil {
			t.Fatal(err)
		}
		conn, err := net.Dial("tcp", proxy.address())
		if err != nil {
			t.Fatalf("got %v, want a connection to a proxy that accepts them", err)
		}
		_ = conn.Close()
	}
}
