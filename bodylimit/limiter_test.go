package bodylimit_test

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/hickoryhead/hickoryhead/bodylimit"
)

const bodyBytes = 1 << 20

// startServer returns the address of a server that answers with the length of each body, or
// with 503 if there is no room for it.
func startServer(t *testing.T, limiter *bodylimit.Limiter) string {
	t.Helper()
	handler := http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		content, err := io.ReadAll(request.Body)
		if errors.Is(err, bodylimit.ErrNoRoom) {
			writer.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		_, _ = fmt.Fprint(writer, len(content))
	})
	server := httptest.NewServer(limiter.Handler(handler))
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

func post(t *testing.T, address string) string {
	t.Helper()
	response, err := http.Post("http://"+address, "text/plain", bytes.NewReader(make([]byte, bodyBytes)))
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	content, err := io.ReadAll(response.Body)
	if err != nil {
		t.Fatal(err)
	}
	return fmt.Sprint(response.StatusCode, " ", string(content))
}

// TestStalledBodiesGiveWay guards against clients that stop short of the end of their bodies
// and so use up the memory of a daemon.
func TestStalledBodiesGiveWay(t *testing.T) {
	limiter := new(bodylimit.Limiter)
	limiter.Account.Limit = 6 * bodyBytes
	address := startServer(t, limiter)
	for range 8 {
		conn, err := net.Dial("tcp", address)
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
		// A connection that is refused meanwhile fails, as it should.
		_, _ = fmt.Fprintf(conn, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n", bodyBytes)
		_, _ = conn.Write(make([]byte, bodyBytes-1))
	}
	time.Sleep(time.Second)
	if got := limiter.Account.Held(); got > 6*bodyBytes {
		t.Errorf("got %d bytes held, want at most %d", got, 6*bodyBytes)
	}
	if got, want := post(t, address), fmt.Sprint("200 ", bodyBytes); got != want {
		t.Errorf("got %q beside stalled bodies, want %q", got, want)
	}
}

// TestBodyIsReleased guards against memory that stays counted after its request.
func TestBodyIsReleased(t *testing.T) {
	limiter := new(bodylimit.Limiter)
	address := startServer(t, limiter)
	if got, want := post(t, address), fmt.Sprint("200 ", bodyBytes); got != want {
		t.Errorf("got %q, want %q", got, want)
	}
	for end := time.Now().Add(5 * time.Second); limiter.Account.Held() > 0 && time.Now().Before(end); {
		time.Sleep(10 * time.Millisecond)
	}
	if got := limiter.Account.Held(); got != 0 {
		t.Errorf("got %d bytes held after the request, want none", got)
	}
}
