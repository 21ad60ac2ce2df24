package entry_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"
)

// TestOptionsOfTheServer guards against a success that no upstream has signed (MIXED): the router's
// HTTP library answered OPTIONS * itself, whatever the configuration says.
func TestOptionsOfTheServer(t *testing.T) {
	fixture := newFixture(t, "i-1")
	fixture.start()
	fixture.waitFor(3*time.Second, "readiness", fixture.ready)
	conn, err := net.Dial("tcp", fixture.addresses.Callers)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	if _, err := io.WriteString(conn, "OPTIONS * HTTP/1.1\r\nHost: a.example\r\nHickoryhead-Attempt-Id: a1\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	if got, want := response.StatusCode, http.StatusNotFound; got != want {
		t.Errorf("got status %d, want %d, as for each path without a route", got, want)
	}
}
