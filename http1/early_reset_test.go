package http1_test

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/hickoryhead/hickoryhead/http1"
)

// uploadBytes is more than the buffers of the sockets take.
const uploadBytes = 8 << 20

// uploadTo sends a long request on conn.
func uploadTo(t *testing.T, conn *http1.Conn) {
	t.Helper()
	request := &http1.Request{Method: "POST", Target: "/", Host: "h", Header: http.Header{}, Body: [][]byte{bytes.Repeat([]byte("b"), uploadBytes)}}
	if err := conn.Send(request); err != nil {
		t.Fatal(err)
	}
}

// reset breaks off a connection.
func reset(conn net.Conn) {
	_ = conn.(*net.TCPConn).SetLinger(0)
	_ = conn.Close()
}

// TestEarlyAnswerThatIsResetIsNotWhole guards against a part of an answer that is passed on as whole
// (MIXED): the kernel reports a reset once, and the write of the rest of the request, which was still
// under way, took it from the read of the answer.
func TestEarlyAnswerThatIsResetIsNotWhole(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nSignature: s\r\n\r\n"
	for _, unread := range []bool{true, false} {
		for range 8 {
			peer := startPeer(t)
			conn, peerConn := peer.open()
			uploadTo(t, conn)
			if !unread {
				_, _ = io.CopyN(io.Discard, peerConn, 100<<10)
			}
			_, _ = io.WriteString(peerConn, head+"part")
			response, err := conn.Receive("POST")
			if err != nil {
				t.Fatal(err)
			}
			if _, err := io.ReadFull(response.Body, make([]byte, 4)); err != nil {
				t.Fatal(err)
			}
			reset(peerConn)
			// The write finds the reset.
			for end := time.Now().Add(time.Second); conn.Sending() && time.Now().Before(end); {
				time.Sleep(time.Millisecond)
			}
			if rest, err := io.ReadAll(response.Body); err == nil {
				t.Errorf("got %q and no error behind the part, want an error", rest)
			}
			conn.Discard()
		}
	}
}

// TestEarlyAnswerThatEndsInOrderIsWhole guards against a sound answer that is refused, because the
// request could not be written to its end.
func TestEarlyAnswerThatEndsInOrderIsWhole(t *testing.T) {
	tests := []struct {
		name, answer string
		// end ends the answer at the peer.
		end func(peerConn *net.TCPConn)
	}{
		{"closes its half, does not read on", "HTTP/1.1 200 OK\r\n\r\nwhole", func(peerConn *net.TCPConn) { _ = peerConn.CloseWrite() }},
		{"closes its half, then resets", "HTTP/1.1 200 OK\r\n\r\nwhole", func(peerConn *net.TCPConn) {
			_ = peerConn.CloseWrite()
			time.Sleep(5 * time.Millisecond)
			reset(peerConn)
		}},
		{"closes its half, reads to the end", "HTTP/1.1 200 OK\r\n\r\nwhole", func(peerConn *net.TCPConn) {
			_ = peerConn.CloseWrite()
			_, _ = io.CopyN(io.Discard, peerConn, uploadBytes)
			_ = peerConn.Close()
		}},
		{"reads to the end, closes", "HTTP/1.1 200 OK\r\n\r\nwhole", func(peerConn *net.TCPConn) {
			_, _ = io.CopyN(io.Discard, peerConn, uploadBytes)
			time.Sleep(5 * time.Millisecond)
			_ = peerConn.CloseWrite()
		}},
		{"has a length, resets", "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole", func(peerConn *net.TCPConn) { reset(peerConn) }},
		{"has chunks, resets", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n", func(peerConn *net.TCPConn) { reset(peerConn) }},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			peer := startPeer(t)
			conn, peerConn := peer.open()
			defer conn.Discard()
			uploadTo(t, conn)
			_, _ = io.WriteString(peerConn, test.answer)
			response, err := conn.Receive("POST")
			if err != nil {
				t.Fatal(err)
			}
			test.end(peerConn.(*net.TCPConn))
			time.Sleep(20 * time.Millisecond)
			body, err := io.ReadAll(response.Body)
			if err != nil || string(body) != "whole" {
				t.Errorf("got body %q and error %v, want the whole one", body, err)
			}
		})
	}
}
