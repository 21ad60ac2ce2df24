package forward_test

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/hickoryhead/hickoryhead/fleettest"
)

// fingerprints returns the fingerprints in the lines of failed attempts, by
// attempt ID.
func fingerprints(log string) map[string]string {
	found := make(map[string]string)
	for text := range strings.SplitSeq(log, "\n") {
		var line struct{ Msg, Attempt, Fingerprint string }
		if json.Unmarshal([]byte(text), &line) == nil && strings.HasPrefix(line.Msg, "Attempt failed") {
			found[line.Attempt] = line.Fingerprint
		}
	}
	return found
}

// TestRepeatedRequestIsToldFromOthers guards against a request that comes again with
// another method, header or encoding of its path and is taken for a new one, and against
// other requests that are taken for it.
func TestRepeatedRequestIsToldFromOthers(t *testing.T) {
	upstream := startUpstream(t, func(context.Context, net.Conn, int, receivedRequest) bool { return false })
	router := startRouter(t, upstream)
	var log fleettest.Buffer
	router.handler.Logger = slog.New(slog.NewJSONHandler(&log, nil))
	for i, request := range []struct{ method, path, body string }{
		{"POST", "/once/x", "same"},
		{"POST", "/once/x", "same"},
		{"PUT", "/once/x", "same"},
		{"POST", "/once/%78", "same"},
		{"POST", "/once/y", "same"},
		{"POST", "/once/x?y", "same"},
		{"POST", "/once/x", "other"},
	} {
		router.send(t, fmt.Sprint("a", i), request.method, request.path, request.body, "X-Other", fmt.Sprint(i)).check(t, 502, "")
	}
	const attempts, distinct, repeats = 7, 4, 4
	for end := time.Now().Add(5 * time.Second); len(fingerprints(log.String())) < attempts && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	got := fingerprints(log.String())
	for i := range repeats {
		if repeat := got[fmt.Sprint("a", i)]; repeat == "" || repeat != got["a0"] {
			t.Errorf("got fingerprint %q for repeat %d of a request with %q, want the same", repeat, i, got["a0"])
		}
	}
	values := make(map[string]bool)
	for _, value := range got {
		values[value] = true
	}
	if len(values) != distinct {
		t.Errorf("got %d fingerprints in %v, want %d", len(values), got, distinct)
	}
}

// TestLogNamesThePartsOfBrokenRuns guards against logs that don't show what two
// requests have in common under which upstreams broke off.
func TestLogNamesThePartsOfBrokenRuns(t *testing.T) {
	upstream := startUpstream(t, func(context.Context, net.Conn, int, receivedRequest) bool { return false })
	router := startRouter(t, upstream)
	var log fleettest.Buffer
	router.handler.Logger = slog.New(slog.NewJSONHandler(&log, nil))
	router.send(t, "a1", "POST", "/once/x", "body", "Hickoryhead-Prompt-Prefix", "5c1e:80, 91bd:4").check(t, 502, "")
	if got, want := log.String(), `"Parts":["5c1e","91bd"]`; !strings.Contains(got, want) {
		t.Errorf("got log %s, want %s in it", got, want)
	}
}
