package oncehttp_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/hickoryhead/hickoryhead/oncehttp"
)

// echo is a request with a body whose answer is read to its end.
type echo struct {
	client *oncehttp.Client
	url    string
	err    chan error
}

func (echo *echo) run() { echo.err <- echo.send() }

func (echo *echo) send() error {
	request, err := http.NewRequest(http.MethodPost, echo.url, strings.NewReader("hi"))
	if err != nil {
		return err
	}
	response, err := echo.client.Do(request)
	if err != nil {
		return err
	}
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return err
	}
	return response.Body.Close()
}

// TestRetiredConnectionsFailNoRequest guards against requests that fail without a connection being
// tried, because many retired ones became idle after the idle ones had been closed.
func TestRetiredConnectionsFailNoRequest(t *testing.T) {
	const held = 8
	arrived, release := make(chan struct{}, held), make(chan struct{})
	server := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		if request.URL.Path == "/held" {
			arrived <- struct{}{}
			<-release
		}
		_, _ = io.Copy(writer, request.Body)
	}))
	defer server.Close()
	client := new(oncehttp.Client)
	var echoes [held]*echo
	for i := range echoes {
		echoes[i] = &echo{client: client, url: server.URL + "/held", err: make(chan error, 1)}
		go echoes[i].run()
	}
	for range echoes {
		<-arrived
	}
	client.Retire(time.Now())
	next := &echo{client: client, url: server.URL + "/"}
	if err := next.send(); err != nil {
		t.Fatal(err)
	}
	close(release)
	for _, echo := range echoes {
		if err := <-echo.err; err != nil {
			t.Fatal(err)
		}
	}
	for range held {
		if err := next.send(); err != nil {
			t.Errorf("got %v, want an answer over a new connection", err)
		}
	}
}
