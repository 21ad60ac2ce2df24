package oncehttp_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/cockroachdb/errors"

	"github.com/hickoryhead/hickoryhead/fleettest"
	"github.com/hickoryhead/hickoryhead/oncehttp"
)

// abortingServer responds to requests for /whole. It reads any other request,
// counts it and closes the connection without a response.
type abortingServer struct {
	runs atomic.Int64
}

func (server *abortingServer) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	_, _ = io.Copy(io.Discard, request.Body)
	if request.URL.Path == "/whole" {
		return
	}
	server.runs.Add(1)
	panic(http.ErrAbortHandler)
}

func post(t *testing.T, client *oncehttp.Client, url, body string) error {
	t.Helper()
	request, err := http.NewRequest(http.MethodPost, url, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	request.Header.Set("Idempotency-Key", "print-run-17")
	response, err := client.Do(request)
	if err != nil {
		return err
	}
	_, _ = io.Copy(io.Discard, response.Body)
	return response.Body.Close()
}

func TestDyingConnectionRunsOnce(t *testing.T) {
	for name, body := range map[string]string{"with a body": "{}", "without a body": ""} {
		t.Run(name, func(t *testing.T) {
			handler := new(abortingServer)
			server := httptest.NewServer(handler)
			defer server.Close()
			client := new(oncehttp.Client)
			for range 3 {
				if err := post(t, client, server.URL+"/whole", body); err != nil {
					t.Fatal(err)
				}
			}
			err := post(t, client, server.URL+"/dies", body)
			if !oncehttp.Sent(err) {
				t.Errorf("got error %v, want one for a request that was sent", err)
			}
			if got := handler.runs.Load(); got != 1 {
				t.Errorf("got %d runs, want 1", got)
			}
		})
	}
}

func TestRefusedDialSentNothing(t *testing.T) {
	listener, err := net.Listen("tcp", fleettest.AnyPort())
	if err != nil {
		t.Fatal(err)
	}
	address := listener.Addr().String()
	listener.Close()
	err = post(t, new(oncehttp.Client), "http://"+address+"/", "{}")
	if err == nil || oncehttp.Sent(err) {
		t.Errorf("got error %v, want one for a request that was not sent", err)
	}
}

func TestExpiredContextSentNothing(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://127.0.0.1:9/", strings.NewReader("{}"))
	if err != nil {
		t.Fatal(err)
	}
	_, err = new(oncehttp.Client).Do(request)
	if err == nil || oncehttp.Sent(err) {
		t.Errorf("got error %v, want one for a request that was not sent", err)
	}
}

// failingConn fails every write without sending anything while broken is set.
type failingConn struct {
	net.Conn
	broken *atomic.Bool
}

func (conn failingConn) Write(buffer []byte) (int, error) {
	if conn.broken.Load() {
		return 0, errors.New("broken")
	}
	return conn.Conn.Write(buffer)
}

func TestFailedWriteCountsAsSent(t *testing.T) {
	server := httptest.NewServer(new(abortingServer))
	defer server.Close()
	broken := new(atomic.Bool)
	client := &oncehttp.Client{Dial: func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := new(net.Dialer).DialContext(ctx, network, address)
		return failingConn{Conn: conn, broken: broken}, err
	}}
	if err := post(t, client, server.URL+"/whole", "{}"); err != nil {
		t.Fatal(err)
	}
	broken.Store(true)
	err := post(t, client, server.URL+"/whole", "{}")
	if !oncehttp.Sent(err) {
		t.Errorf("got error %v, want one for a request that may have been sent", err)
	}
}

func TestUnknownErrorCountsAsSent(t *testing.T) {
	if !oncehttp.Sent(errors.New("not a SendError")) {
		t.Error("got Sent false for an error other than SendError, want true")
	}
	if oncehttp.Sent(nil) {
		t.Error("got Sent true for nil, want false")
	}
}
