package forward_test

import (
	"bufio"
	"bytes"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/hickoryhead/hickoryhead/routing"
)

// TestBodyStaysHeldWhileItIsSent guards against a body that is still being written to an upstream
// which has begun its answer, and is not counted any more.
func TestBodyStaysHeldWhileItIsSent(t *testing.T) {
	listener := listen(t)
	end := make(chan struct{})
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		defer conn.Close()
		if err := conn.(*net.TCPConn).SetReadBuffer(4096); err != nil {
			t.Error(err)
		}
		request, err := http.ReadRequest(bufio.NewReader(conn))
		if err != nil {
			t.Error(err)
			return
		}
		write(conn, fmt.Sprintf(streamHead, request.Header.Get("Hickoryhead-Attempt-Id"))+chunk("id: 1\ndata: a\n\n"))
		<-end
	}()
	router := startLargeBodyRouter(t, &fakeUpstream{listener: listener})
	// More than the buffers of the sockets take.
	const bodyBytes = 16 << 20
	config := testConfig()
	config.Version = 9
	config.Limits.BodyBytes = bodyBytes
	for i := range config.Routes {
		config.Routes[i].Timeout = 20_000
	}
	router.handler.Routes.Adopt(routing.New(config))
	caller := router.dial(t)
	caller.send([]byte(fmt.Sprintf("POST /stream/x HTTP/1.1\r\nHost: a.example\r\nHickoryhead-Attempt-Id: a1\r\nHickoryhead-Deadline-Ms: 20000\r\nAuthorization: Token key-1\r\nContent-Length: %d\r\n\r\n", bodyBytes)))
	caller.send(bytes.Repeat([]byte("x"), bodyBytes))
	if err := caller.conn.SetReadDeadline(time.Now().Add(10 * time.Second)); err != nil {
		t.Fatal(err)
	}
	response, err := http.ReadResponse(bufio.NewReader(caller.conn), nil)
	if err != nil || response.StatusCode != http.StatusOK {
		t.Fatalf("got answer %v and error %v, want 200", response, err)
	}
	if _, err := response.Body.Read(make([]byte, 1)); err != nil {
		t.Fatal(err)
	}
	if got := router.handler.Memory.Held(); got < bodyBytes*9/10 {
		t.Errorf("got %d bytes held while the body is sent, want %d", got, bodyBytes)
	}
	close(end)
	router.awaitNothingHeld(t)
}
