package oncehttp_test

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/hickoryhead/hickoryhead/faultproxy"
	"github.com/hickoryhead/hickoryhead/oncehttp"
)

// gate answers each request once count of them have arrived, so that as many connections
// are open.
type gate struct {
	arrived sync.WaitGroup
}

func (gate *gate) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	if request.URL.Path == "/together" {
		gate.arrived.Done()
		gate.arrived.Wait()
	}
	_, _ = io.WriteString(writer, request.URL.Path)
}

// sender sends one request and has its error.
type sender struct {
	client *oncehttp.Client
	method string
	url    string
	err    error
}

// timeout is how long the requests of these tests wait for their response.
const timeout = 400 * time.Millisecond

func (sender *sender) run(group *sync.WaitGroup) {
	defer group.Done()
	sender.err = sender.send()
}

func (sender *sender) send() error {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, sender.method, sender.url, strings.NewReader(""))
	if err != nil {
		return err
	}
	response, err := sender.client.Do(request)
	if err != nil {
		return err
	}
	_, _ = io.Copy(io.Discard, response.Body)
	return response.Body.Close()
}

// TestNextRequestAfterASilentConnection guards against requests that are lost on one silent
// connection of the pool after the other: behind the first that got no response in time,
// the next one has to go over a new connection, and none is sent twice.
func TestNextRequestAfterASilentConnection(t *testing.T) {
	const connections = 6
	for _, method := range []string{http.MethodGet, http.MethodPost} {
		t.Run(method, func(t *testing.T) {
			gate := new(gate)
			gate.arrived.Add(connections)
			server := httptest.NewServer(gate)
			defer server.Close()
			proxy, err := faultproxy.Start(strings.TrimPrefix(server.URL, "http://"))
			if err != nil {
				t.Fatal(err)
			}
			defer proxy.Close()
			client := new(oncehttp.Client)
			defer client.CloseIdle()
			var group sync.WaitGroup
			for range connections {
				sender := &sender{client: client, method: method, url: "http://" + proxy.Address() + "/together"}
				group.Add(1)
				go sender.run(&group)
			}
			group.Wait()
			if got := proxy.Open(); got != connections {
				t.Fatalf("got %d connections, want %d", got, connections)
			}
			proxy.Silence()
			next := &sender{client: client, method: method, url: "http://" + proxy.Address() + "/next"}
			if err := next.send(); !oncehttp.Sent(err) {
				t.Errorf("got error %v on a silent connection, want one for a request that was sent", err)
			}
			if err := next.send(); err != nil {
				t.Errorf("got error %v for the next request, want none", err)
			}
		})
	}
}
