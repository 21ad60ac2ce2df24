package changetest_test

import (
	"io"
	"net"
	"testing"
)

// TestWasReadWhole guards against a loss that counts as a request that crossed the close, and the
// other way round.
func TestWasReadWhole(t *testing.T) {
	const text = "request"
	tests := []struct {
		name string
		// beforeClose and afterClose are what is written before and after the close, of which
		// read bytes are read.
		beforeClose, afterClose string
		read                    int
		want                    bool
	}{
		{"read whole", text, "", len(text), true},
		{"read in part", text, "", len(text) - 1, false},
		{"not read", text, "", 0, false},
		{"rest after the close", text[:3], text[3:], 3, false},
		{"all after the close", "", text, 0, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			conn, accepted := connPair(t)
			mustWrite(t, conn, test.beforeClose)
			if _, err := io.ReadFull(accepted, make([]byte, test.read)); err != nil {
				t.Fatal(err)
			}
			if err := accepted.Close(); err != nil {
				t.Fatal(err)
			}
			mustWrite(t, conn, test.afterClose)
			if count, err := conn.Read(make([]byte, 1)); err == nil {
				t.Fatalf("got %d bytes, want the close", count)
			}
			got, err := conn.wasReadWhole()
			if err != nil || got != test.want {
				t.Errorf("got %v and error %v, want %v", got, err, test.want)
			}
		})
	}
}

// connPair returns both ends of a connection.
func connPair(t *testing.T) (*conn, net.Conn) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	conn, err := dial(listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	accepted, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { accepted.Close() })
	return conn, accepted
}

// mustWrite writes text, unless there is none: also an empty write fails after a reset.
func mustWrite(t *testing.T, conn *conn, text string) {
	t.Helper()
	if text == "" {
		return
	}
	if _, err := io.WriteString(conn, text); err != nil {
		t.Fatal(err)
	}
}
