package daemon

import (
	"bufio"
	"context"
	"io"
	"log/slog"
	"net"
	"net/http"
	"runtime"
	"strings"
	"testing"
	"time"
)

const serviceRequest = "POST / HTTP/1.1\r\nHost: daemon\r\nContent-Length: 2\r\n\r\nhi"

// pausedListener accepts connections whose reader is paused after each read of several bytes: it
// reports that on read, and continues on a receive from resume.
type pausedListener struct {
	net.Listener
	read, resume chan struct{}
}

func (pausedListener *pausedListener) Accept() (net.Conn, error) {
	conn, err := pausedListener.Listener.Accept()
	return &pausedConn{Conn: conn, listener: pausedListener}, err
}

type pausedConn struct {
	net.Conn
	listener *pausedListener
}

func (pausedConn *pausedConn) Read(buffer []byte) (int, error) {
	count, err := pausedConn.Conn.Read(buffer)
	if count > 1 {
		pausedConn.listener.read <- struct{}{}
		<-pausedConn.listener.resume
	}
	return count, err
}

// stopping is a service that is being stopped.
type stopping struct {
	service *httpService
	err     chan error
}

func (stopping *stopping) run(ctx context.Context) { stopping.err <- stopping.service.stop(ctx) }

// startStop stops a service in the background.
func startStop(ctx context.Context, service *httpService) *stopping {
	stopping := &stopping{service: service, err: make(chan error, 1)}
	go stopping.run(ctx)
	return stopping
}

// startService starts a service that echoes bodies on a listener.
func startService(t *testing.T, listener net.Listener) *httpService {
	t.Helper()
	return startBoundedService(t, listener, 0)
}

// startBoundedService starts such a service with a bound on its connections.
func startBoundedService(t *testing.T, listener net.Listener, maxConns int) *httpService {
	t.Helper()
	echo := http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		_, _ = io.Copy(writer, request.Body)
	})
	service := newListenerService(listener, echo, slog.New(slog.DiscardHandler), 0)
	service.conns.Max = maxConns
	go service.run()
	t.Cleanup(func() { service.server.Close() })
	return service
}

func listenLocal(t *testing.T) net.Listener {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return listener
}

// client is a connection to a service.
type client struct {
	net.Conn
	reader *bufio.Reader
}

func dialService(t *testing.T, address string) *client {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	if err := conn.SetDeadline(time.Now().Add(10 * time.Second)); err != nil {
		t.Fatal(err)
	}
	return &client{Conn: conn, reader: bufio.NewReader(conn)}
}

func (client *client) send(t *testing.T, text string) {
	t.Helper()
	if _, err := io.WriteString(client, text); err != nil {
		t.Fatal(err)
	}
}

// receive returns the next answer with its whole body, and the error that prevented that.
func (client *client) receive() (*http.Response, string, error) {
	response, err := http.ReadResponse(client.reader, nil)
	if err != nil {
		return nil, "", err
	}
	body, err := io.ReadAll(response.Body)
	return response, string(body), err
}

// requireEcho fails the test unless the next answer is the echo of serviceRequest.
func (client *client) requireEcho(t *testing.T, what string) *http.Response {
	t.Helper()
	response, body, err := client.receive()
	if err != nil || body != "hi" {
		t.Fatalf("%s: got %q, %v, want the answer hi", what, body, err)
	}
	return response
}

// TestStopAnswersRequestsThatArrived guards against a stop that closes a connection as idle
// although a request has arrived there, whose goroutine has not been scheduled.
func TestStopAnswersRequestsThatArrived(t *testing.T) {
	// With one processor the goroutine runs only when this one waits.
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	const rounds = 50
	lost := 0
	for range rounds {
		service := startService(t, listenLocal(t))
		client := dialService(t, service.address())
		client.send(t, serviceRequest)
		client.requireEcho(t, "first request")
		time.Sleep(time.Millisecond)
		client.send(t, serviceRequest)
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		if err := service.stop(ctx); err != nil {
			t.Errorf("got %v from stop, want nil", err)
		}
		if _, body, err := client.receive(); err != nil || body != "hi" {
			lost++
		}
		cancel()
	}
	if lost > 0 {
		t.Errorf("got no answer to %d of %d requests that arrived before the stop, want 0", lost, rounds)
	}
}

// TestStopAnswersRequestsThatWereRead guards against a stop that closes a connection as idle
// although its goroutine has read a request, which may run without its client seeing an answer.
func TestStopAnswersRequestsThatWereRead(t *testing.T) {
	paused := &pausedListener{Listener: listenLocal(t), read: make(chan struct{}), resume: make(chan struct{})}
	service := startService(t, paused)
	client := dialService(t, service.address())
	client.send(t, serviceRequest)
	<-paused.read
	paused.resume <- struct{}{}
	client.requireEcho(t, "first request")
	client.send(t, serviceRequest)
	<-paused.read
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	stopping := startStop(ctx, service)
	time.Sleep(300 * time.Millisecond)
	paused.resume <- struct{}{}
	response := client.requireEcho(t, "request that was read before the stop")
	if !response.Close {
		t.Error("got an answer during the stop that keeps its connection, want Connection: close")
	}
	if err := <-stopping.err; err != nil {
		t.Errorf("got %v from stop, want nil", err)
	}
}

// TestStopClosesIdleAndUnusedConnections guards against a stop that lasts until its timeout because
// of clients that keep connections without a request.
func TestStopClosesIdleAndUnusedConnections(t *testing.T) {
	service := startService(t, listenLocal(t))
	idle, unused := dialService(t, service.address()), dialService(t, service.address())
	idle.send(t, serviceRequest)
	idle.requireEcho(t, "first request")
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	if err := service.stop(ctx); err != nil {
		t.Errorf("got %v from stop, want nil", err)
	}
	for name, client := range map[string]*client{"idle": idle, "unused": unused} {
		if _, err := client.reader.ReadByte(); err != io.EOF {
			t.Errorf("%s connection: got %v, want %v", name, err, io.EOF)
		}
	}
}

// TestStopTimeoutIsAnError guards against a stop that is reported as clean while requests are
// in flight.
func TestStopTimeoutIsAnError(t *testing.T) {
	service := startService(t, listenLocal(t))
	client := dialService(t, service.address())
	client.send(t, strings.TrimSuffix(serviceRequest, "i"))
	time.Sleep(50 * time.Millisecond)
	ctx, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
	defer cancel()
	if err := service.stop(ctx); err == nil {
		t.Error("got nil from a stop with a request in flight, want an error")
	}
	client.send(t, "i")
	client.requireEcho(t, "request in flight")
}

// TestLeavingServiceAcceptsAndCloses guards against a leaving service that refuses new connections,
// or that keeps connections open after an answer.
func TestLeavingServiceAcceptsAndCloses(t *testing.T) {
	service := startService(t, listenLocal(t))
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	idle := dialService(t, service.address())
	idle.send(t, serviceRequest)
	idle.requireEcho(t, "request before")
	service.leave(ctx)
	if _, err := idle.reader.ReadByte(); err != io.EOF {
		t.Errorf("idle connection: got %v, want %v", err, io.EOF)
	}
	late := dialService(t, service.address())
	late.send(t, serviceRequest)
	if response := late.requireEcho(t, "late request"); !response.Close {
		t.Error("got an answer that keeps its connection, want Connection: close")
	}
}

// TestBoundSparesRequestsThatArrived guards against a request that arrived, but whose connection is
// closed as idle to make room for a new one.
func TestBoundSparesRequestsThatArrived(t *testing.T) {
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	service := startBoundedService(t, listenLocal(t), 1)
	client := dialService(t, service.address())
	client.send(t, serviceRequest)
	client.requireEcho(t, "first request")
	time.Sleep(time.Millisecond)
	client.send(t, serviceRequest)
	added, other := net.Pipe()
	defer other.Close()
	service.conns.Track(added, http.StateNew)
	client.requireEcho(t, "request that arrived before the bound was reached")
}

// TestAmbiguousRequestIsRefused guards against a request with two lengths that ends without an
// answer, as nothing more is read from its connection.
func TestAmbiguousRequestIsRefused(t *testing.T) {
	service := startService(t, listenLocal(t))
	client := dialService(t, service.address())
	client.send(t, "POST / HTTP/1.1\r\nHost: daemon\r\nContent-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n")
	response, _, err := client.receive()
	if err != nil {
		t.Fatal(err)
	}
	if got, want := response.StatusCode, http.StatusBadRequest; got != want {
		t.Errorf("got status %d, want %d", got, want)
	}
	if !response.Close {
		t.Error("got an answer that keeps its connection, want Connection: close")
	}
}
