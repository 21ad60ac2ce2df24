package oncehttp

import (
	"net"
	"testing"
)

func TestBlockedConnWritesNothing(t *testing.T) {
	local, remote := net.Pipe()
	defer local.Close()
	defer remote.Close()
	blocked := &conn{Conn: local}
	if got := blocked.blockWrites(); got != 0 {
		t.Errorf("got %d writes before the first, want 0", got)
	}
	n, err := blocked.Write([]byte("late"))
	if n != 0 || err == nil {
		t.Errorf("got %d bytes and error %v for a write after blockWrites, want 0 and an error", n, err)
	}
}
