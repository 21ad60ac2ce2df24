package entry_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/hickoryhead/hickoryhead/platform"
)

// counted reports whether the router has counted an event.
func (fixture *fixture) counted(event string) bool {
	response, err := client.Get("http://" + fixture.addresses.Internal + "/metrics")
	if err != nil {
		return false
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return err == nil && strings.Contains(string(body), `event="`+event+`"`)
}

// dial opens a connection to the router, and sends raw on it.
func (fixture *fixture) dial(raw string) net.Conn {
	fixture.t.Helper()
	conn, err := net.Dial("tcp", fixture.addresses.Callers)
	if err != nil {
		fixture.t.Fatal(err)
	}
	fixture.t.Cleanup(func() { conn.Close() })
	if _, err := io.WriteString(conn, raw); err != nil {
		fixture.t.Fatal(err)
	}
	return conn
}

// TestEndsOfConnectionsAreObserved guards against a router that counts no idle close, no request
// without an answer and no head without a handler, or that logs a request without an answer
// without the age of the configuration.
func TestEndsOfConnectionsAreObserved(t *testing.T) {
	const head = "GET /first/x HTTP/1.1\r\nHost: a.example\r\nHickoryhead-Attempt-Id: a1\r\n"
	fixture := newFixture(t, "i-1")
	const value = `{"version":2,"routes":[{"name":"r","host":"a.example","prefix":"/first/","route-type":"idempotent","timeout-ms":6000,"service":"pool","public":true}],"services":[{"name":"pool"}],"limits":{"idle-timeout-ms":100}}`
	fixture.store.Write(platform.Record{Table: platform.OperatorTable, Key: platform.ConfigKey, Value: []byte(value)})
	fixture.config.MetricsListen = anyPort
	fixture.start()
	fixture.waitFor(3*time.Second, "readiness", fixture.ready)
	idle := fixture.dial(head + "\r\n")
	if response, err := http.ReadResponse(bufio.NewReader(idle), nil); err != nil || response.StatusCode != http.StatusOK {
		t.Fatalf("got %v, %v, want an answer", response, err)
	}
	fixture.waitFor(3*time.Second, "idle close", func() bool { return fixture.counted("conn.closed.idle") })
	fixture.dial(head + "Connection: close\r\n\r\n" + head + "\r\n")
	fixture.waitFor(3*time.Second, "head without a handler", func() bool { return fixture.counted("request.unhandled") })
	fixture.upstreams["i-1"].delay.Store(int64(time.Second))
	fixture.dial(head + "\r\n").Close()
	fixture.waitFor(3*time.Second, "request without an answer", func() bool { return fixture.counted("request.unanswered.caller-closed") })
	fixture.waitFor(time.Second, "line of it", func() bool {
		log := fixture.log.String()
		return strings.Contains(log, `"EndReason":"caller-closed"`) && strings.Contains(log, `"VersionInForce":2,"InForceMs":`)
	})
}
