package upstream_test

import (
	"bytes"
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/hickoryhead/hickoryhead/upstream"
)

// maxEndlessBytes is how much a client may read of an answer without end.
const maxEndlessBytes = 64 << 20

// endlessServer answers each request with begin, and then with unit until the
// connection closes or maxEndlessBytes are sent.
type endlessServer struct {
	begin string
	unit  string
	sent  chan int
}

func (server *endlessServer) ServeHTTP(writer http.ResponseWriter, _ *http.Request) {
	conn, _, err := http.NewResponseController(writer).Hijack()
	if err != nil {
		return
	}
	server.send(conn)
}

func (server *endlessServer) send(conn net.Conn) {
	defer conn.Close()
	total, err := conn.Write([]byte(server.begin))
	block := bytes.Repeat([]byte(server.unit), 4096)
	for err == nil && total < maxEndlessBytes {
		var count int
		count, err = conn.Write(block)
		total += count
	}
	server.sent <- total
}

// TestEndlessBytesFromAnEngine guards against memory that grows while an engine
// sends a report without end.
func TestEndlessBytesFromAnEngine(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n"
	answers := map[string]struct{ begin, unit string }{
		"head":  {"HTTP/1.1 200 OK\r\n", "X-More: y\r\n"},
		"value": {head + "\"", "x"},
		"space": {head, " "},
		"list":  {head, "{}\n"},
	}
	calls := map[string]func(ctx context.Context, client *upstream.Client) error{
		"load": func(ctx context.Context, client *upstream.Client) error {
			_, err := client.Load(ctx)
			return err
		},
		"events": func(ctx context.Context, client *upstream.Client) error {
			_, err := client.Events(ctx, 0)
			return err
		},
	}
	for name, answer := range answers {
		for callName, call := range calls {
			t.Run(name+" to "+callName, func(t *testing.T) {
				endless := &endlessServer{begin: answer.begin, unit: answer.unit, sent: make(chan int, 1)}
				server := httptest.NewServer(endless)
				defer server.Close()
				ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
				defer cancel()
				err := call(ctx, upstream.New(strings.TrimPrefix(server.URL, "http://"), upstream.Options{}))
				if first := name == "list" && callName == "load"; (err == nil) != first {
					t.Errorf("got error %v, want one unless the first value is complete", err)
				}
				if got := <-endless.sent; got >= maxEndlessBytes {
					t.Errorf("got %d bytes read, want fewer", got)
				}
			})
		}
	}
}
