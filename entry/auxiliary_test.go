package entry

import (
	"bufio"
	"io"
	"log/slog"
	"net"
	"net/http"
	"runtime"
	"testing"
	"time"
)

// startAuxiliary starts a service with the bounds of the listeners for readiness and metrics.
func startAuxiliary(t *testing.T) *httpService {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	service := &httpService{
		listener: listener,
		logger:   slog.New(slog.DiscardHandler),
		done:     make(chan struct{}),
		server:   &http.Server{Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) {})},
	}
	daemon := &Daemon{Logger: service.logger}
	daemon.boundAuxiliary(service, "readiness")
	go service.run()
	t.Cleanup(func() { service.server.Close() })
	return service
}

// TestAuxiliaryBoundSparesRequestsThatArrived guards against a readiness check that arrived, but
// whose connection is closed as idle to make room for a new one: two such checks take a router out
// of the balancer.
func TestAuxiliaryBoundSparesRequestsThatArrived(t *testing.T) {
	// With one processor the goroutine of the connection runs only when this one waits.
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	service := startAuxiliary(t)
	conn, err := net.Dial("tcp", service.listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for round := range 2 {
		time.Sleep(time.Millisecond)
		if _, err := io.WriteString(conn, "GET / HTTP/1.1\r\nHost: router\r\n\r\n"); err != nil {
			t.Fatal(err)
		}
		for range round * maxAuxiliaryConns {
			added, other := net.Pipe()
			defer other.Close()
			service.server.ConnState(added, http.StateNew)
		}
		if _, err := http.ReadResponse(reader, nil); err != nil {
			t.Fatalf("request %d: got %v, want an answer", round+1, err)
		}
	}
}
