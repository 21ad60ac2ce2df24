package http1_test

import (
	"context"
	"errors"
	"net"
	"strings"
	"testing"

	"github.com/hickoryhead/hickoryhead/http1"
)

// TestHeadWithoutEnd guards against a head that is read until memory runs out: it
// is given up after a bounded number of bytes, and a long head before it leaves
// the next one its own bound.
func TestHeadWithoutEnd(t *testing.T) {
	const maxRead = 128 << 10
	long := "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n" + strings.Repeat("X-More: y\r\n", 4000) + "\r\n"
	local, peer := net.Pipe()
	defer peer.Close()
	pool := &http1.Pool{Dial: func(context.Context) (net.Conn, error) { return local, nil }}
	conn, err := pool.Get(t.Context(), 0, 0)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Discard()
	sender := &headSender{conn: peer, first: long, done: make(chan struct{})}
	go sender.run()
	for n := range 2 {
		if _, err := conn.Receive("GET"); err != nil {
			t.Errorf("got error %v for head %d, want none", err, n)
		}
	}
	if _, err := conn.Receive("GET"); !errors.Is(err, http1.ErrHeadTooLong) {
		t.Errorf("got error %v, want ErrHeadTooLong", err)
	}
	_ = local.Close()
	<-sender.done
	if sender.endless > maxRead {
		t.Errorf("got %d bytes read of a head without an end, want at most %d", sender.endless, maxRead)
	}
}

// headSender sends a head twice, and then header lines without end.
type headSender struct {
	conn    net.Conn
	first   string
	endless int
	done    chan struct{}
}

func (sender *headSender) run() {
	defer close(sender.done)
	_, err := sender.conn.Write([]byte(sender.first + sender.first + "HTTP/1.1 200 OK\r\n"))
	for err == nil {
		var count int
		count, err = sender.conn.Write([]byte("X-More: y\r\n"))
		sender.endless += count
	}
}
