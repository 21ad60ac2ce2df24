package socket_test

import (
	"io"
	"net"
	"testing"
	"time"

	"github.com/hickoryhead/hickoryhead/socket"
)

// connect returns both ends of a connection over loopback.
func connect(t *testing.T) (caller, accepted net.Conn) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	caller, err = net.Dial("tcp", listener.Addr().String())
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

// await waits until holds returns want, and fails the test if it does not within a second.
func await(t *testing.T, name string, want bool, holds func() bool) {
	t.Helper()
	for end := time.Now().Add(time.Second); holds() != want; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("got %s %t, want %t", name, !want, want)
		}
	}
}

// TestHasUnread guards against bytes that have arrived and are not seen, against a closed sending
// half that counts as bytes, and against bytes that are lost by the check.
func TestHasUnread(t *testing.T) {
	caller, accepted := connect(t)
	unread := func() bool { return socket.HasUnread(accepted) }
	if unread() {
		t.Error("got unread bytes on a new connection, want none")
	}
	if _, err := io.WriteString(caller, "hi"); err != nil {
		t.Fatal(err)
	}
	await(t, "unread bytes", true, unread)
	buffer := make([]byte, 2)
	if _, err := io.ReadFull(accepted, buffer); err != nil || string(buffer) != "hi" {
		t.Errorf("got %q and %v after the check, want both bytes", buffer, err)
	}
	if err := caller.Close(); err != nil {
		t.Fatal(err)
	}
	time.Sleep(20 * time.Millisecond)
	if unread() {
		t.Error("got unread bytes on a connection whose peer has closed it, want none")
	}
}

// TestHasSentAll guards against bytes that the peer has not taken and that count as sent.
func TestHasSentAll(t *testing.T) {
	caller, accepted := connect(t)
	sentAll := func() bool { return socket.HasSentAll(accepted) }
	if _, err := io.WriteString(accepted, "hi"); err != nil {
		t.Fatal(err)
	}
	await(t, "all bytes sent", true, sentAll)
	if err := accepted.SetWriteDeadline(time.Now().Add(200 * time.Millisecond)); err != nil {
		t.Fatal(err)
	}
	if _, err := accepted.Write(make([]byte, 32<<20)); err == nil {
		t.Fatal("got 32 MiB written to a peer that does not read, want an error")
	}
	if sentAll() {
		t.Error("got all bytes sent to a peer that does not read, want some left")
	}
	go (&reader{conn: caller}).run()
	await(t, "all bytes sent", true, sentAll)
}

// reader reads a connection to its end.
type reader struct {
	conn net.Conn
}

func (reader *reader) run() { _, _ = io.Copy(io.Discard, reader.conn) }

// TestConnectionWithoutDescriptor guards against a check that fails on other connections.
func TestConnectionWithoutDescriptor(t *testing.T) {
	left, right := net.Pipe()
	defer left.Close()
	defer right.Close()
	if socket.HasUnread(left) || socket.HasSentAll(left) {
		t.Error("got an answer for a connection without a descriptor, want false")
	}
}
