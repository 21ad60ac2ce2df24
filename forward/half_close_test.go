package forward_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"
)

// beginEmpty sends a request without a body to a path.
func (router *router) beginEmpty(t *testing.T, path string) *rawCaller {
	t.Helper()
	caller := router.dial(t)
	caller.send([]byte("POST " + path + " HTTP/1.1\r\nHost: a.example\r\nHickoryhead-Attempt-Id: a1\r\nHickoryhead-Deadline-Ms: 1500\r\nAuthorization: Token key-1\r\nContent-Length: 0\r\n\r\n"))
	return caller
}

// closeWrite closes the caller's sending half. What it reads then has to come within some seconds.
func (rawCaller *rawCaller) closeWrite() {
	rawCaller.t.Helper()
	if err := rawCaller.conn.(*net.TCPConn).CloseWrite(); err != nil {
		rawCaller.t.Fatal(err)
	}
	if err := rawCaller.conn.SetReadDeadline(time.Now().Add(5 * time.Second)); err != nil {
		rawCaller.t.Fatal(err)
	}
}

// TestHalfClosedCallerGetsNoFalseSuccess guards against an empty answer with status 200, as
// net/http writes it for a handler that returns without one, to a caller that has closed its
// sending half behind the request: the request is not answered then.
func TestHalfClosedCallerGetsNoFalseSuccess(t *testing.T) {
	for _, path := range []string{"/once/x", "/again/x", "/stream/x", "/resume/x"} {
		t.Run(path, func(t *testing.T) {
			begun := make(chan struct{}, 4)
			router := startRouter(t, startUpstream(t, func(ctx context.Context, _ net.Conn, _ int, _ receivedRequest) bool {
				begun <- struct{}{}
				<-ctx.Done()
				return false
			}))
			caller := router.beginEmpty(t, path)
			<-begun
			caller.closeWrite()
			response, err := http.ReadResponse(bufio.NewReader(caller.conn), nil)
			if err == nil {
				t.Errorf("got status %d after the caller has closed its sending half, want no answer", response.StatusCode)
			}
			if timeout, ok := err.(net.Error); ok && timeout.Timeout() {
				t.Errorf("got error %v, want the connection closed", err)
			}
		})
	}
}

// TestHalfClosedCallerGetsNoCompleteStream guards against a stream that is cut because its caller
// has closed its sending half, and looks complete.
func TestHalfClosedCallerGetsNoCompleteStream(t *testing.T) {
	for _, path := range []string{"/stream/x", "/resume/x"} {
		t.Run(path, func(t *testing.T) {
			router := startRouter(t, startUpstream(t, func(ctx context.Context, conn net.Conn, _ int, request receivedRequest) bool {
				write(conn, fmt.Sprintf(streamHead, request.header.Get("Hickoryhead-Attempt-Id"))+chunk("id: 1\ndata: a\n\n"))
				<-ctx.Done()
				return false
			}))
			caller := router.beginEmpty(t, path)
			reader := bufio.NewReader(caller.conn)
			response, err := http.ReadResponse(reader, nil)
			if err != nil {
				t.Fatal(err)
			}
			caller.closeWrite()
			if body, err := io.ReadAll(response.Body); err != io.ErrUnexpectedEOF {
				t.Errorf("got body %q and error %v for a stream that is cut, want io.ErrUnexpectedEOF", body, err)
			}
		})
	}
}
