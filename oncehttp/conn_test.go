package oncehttp

import (
	"net"
	"testing"
)

func TestSealedConnWritesNothing(t *testing.T) {
	near, far := net.Pipe()
	defer near.Close()
	defer far.Close()
	sealed := &conn{Conn: near}
	if got := sealed.seal(); got != 0 {
		t.Errorf("got %d writes before any, want 0", got)
	}
	n, err := sealed.Write([]byte("late"))
	if n != 0 || err == nil {
		t.Errorf("got %d, %v for a write after the seal, want 0 and an error", n, err)
	}
}
