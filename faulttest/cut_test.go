package faulttest_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"

	"github.com/hickoryhead/hickoryhead/fleettest"
	"github.com/hickoryhead/hickoryhead/ident"
	"github.com/hickoryhead/hickoryhead/result"
	"github.com/hickoryhead/hickoryhead/standin"
	"github.com/hickoryhead/hickoryhead/upstream"
)

// draft returns a request whose prompt is unique for number, and its answer.
func draft(number int, tokens ident.Tokens) (fleettest.Request, string) {
	prompt := upstream.Prompt{Text: "Header copy for aisle twelve", MaxTokens: tokens, Seed: uint64(number)}
	body := fmt.Sprintf(`{"Text":%q,"MaxTokens":%d,"Seed":%d}`, prompt.Text, prompt.MaxTokens, prompt.Seed)
	return fleettest.Request{Route: "draft", Body: body}, standin.Answer(prompt)
}

// checkCompleteOrError checks that a reply is either the complete answer, byte
// for byte, or an error with a result code. It reports whether it is an answer.
func checkCompleteOrError(t *testing.T, reply fleettest.Reply, want string) bool {
	t.Helper()
	if reply.Status == http.StatusOK {
		if got := reply.Text.Text; got != want {
			t.Errorf("got answer %q, want %q", got, want)
		}
		return true
	}
	if reply.Problem.Number == result.OK {
		t.Errorf("got status %d without a result code, want one", reply.Status)
	}
	return false
}

// TestHopCut breaks the connection between router and sidecar after every third
// byte of an answer, from its first byte to beyond its last frame. It guards
// against truncated answers: the sidecar still has the answer, so the caller
// must receive all of it.
func TestHopCut(t *testing.T) {
	fleet := fleettest.Start(t, fleettest.Options{EngineArgs: []string{"--tokens-per-second", "0"}})
	unit := fleet.Engines[0]
	relay := startRelay(t, unit.Hop)
	routeThroughRelay(t, fleet, unit, relay)
	complete := 0
	at := 0
	for number := 1; ; number++ {
		request, want := draft(number, 8)
		before := relay.breakCount()
		relay.breakAfter(at)
		reply, err := fleettest.Send(fleet.Routers[0], request)
		if err != nil {
			t.Fatal(err)
		}
		if checkCompleteOrError(t, reply, want) {
			complete++
		}
		if relay.breakCount() == before {
			break
		}
		at += 3
	}
	t.Logf("%d broken connections, %d complete answers", relay.breakCount(), complete)
	if got, want := complete, relay.breakCount()+1; got != want || want < 100 {
		t.Errorf("got %d complete answers, want %d, one for each broken connection and one more, and at least 100", got, want)
	}
}

// routeThroughRelay lists a unit's sidecar under the relay's address and waits
// until the routers use that address.
func routeThroughRelay(t *testing.T, fleet *fleettest.Fleet, unit *fleettest.Unit, relay *relay) {
	t.Helper()
	unit.VM.Address = relay.address()
	fleet.PutVM(unit.VM)
	for _, entry := range fleet.Routers {
		waitFor(t, "router "+string(entry.VM.ID)+" to use the relay", func() bool { return routesTo(fleet, entry, relay.address()) })
	}
}

// routesTo reports whether a router has an upstream with that address.
func routesTo(fleet *fleettest.Fleet, entry *fleettest.Router, address string) bool {
	status, err := fleet.Status(entry)
	if err != nil {
		return false
	}
	for _, known := range status.Upstreams {
		if known.Address == address {
			return true
		}
	}
	return false
}

// TestUpstreamCut breaks the connection between sidecar and engine after every
// seventh byte of an answer. It guards against truncated answers: another engine
// must continue the text. The requests between the faults keep the retries
// within their budget.
func TestUpstreamCut(t *testing.T) {
	fleet := fleettest.Start(t, fleettest.Options{Engines: 2, EngineArgs: []string{"--tokens-per-second", "0"}})
	unit := fleet.Engines[0]
	relay := startRelay(t, unit.Address)
	unit.Sidecar.Kill()
	unit.Address = relay.address()
	fleet.StartSidecar(unit, true)
	number := 0
	ask := func() {
		number++
		request, want := draft(number, 8)
		reply, err := fleettest.Send(fleet.Routers[0], request)
		if err != nil {
			t.Fatal(err)
		}
		if !checkCompleteOrError(t, reply, want) {
			t.Errorf("got %s after %d broken connections, want a complete answer", reply.Problem.Name, relay.breakCount())
		}
	}
	for at := 0; at < 700; at += 7 {
		for range 6 {
			ask()
		}
		before := relay.breakCount()
		relay.breakAfter(at)
		waitFor(t, "a broken connection", func() bool { ask(); return relay.breakCount() > before })
	}
	t.Logf("%d broken connections in %d requests", relay.breakCount(), number)
}

// TestRouterLost closes the caller's connection after 1 to 20 events, and once
// also kills its router. The caller resumes at the other router with the last
// event's ID and must receive the rest of the answer, without gaps or repeats.
func TestRouterLost(t *testing.T) {
	fleet := fleettest.Start(t, fleettest.Options{Routers: 2, EngineArgs: []string{"--tokens-per-second", "400"}})
	for after := 1; after <= 20; after++ {
		request, want := draft(after, 20)
		request.Events = true
		text, last := readFirstEvents(t, fleet.Routers[0], request, after)
		if after == 10 {
			fleet.Routers[0].Process.Kill()
			fleet.StartRouter(fleet.Routers[0])
			waitFor(t, "the router", func() bool {
				status, err := fleet.Status(fleet.Routers[0])
				return err == nil && status.Ready && len(status.Upstreams) == 2
			})
		}
		response, err := fleettest.Resume(fleet.Routers[1], last)
		if err != nil {
			t.Fatal(err)
		}
		rest, end := readRest(t, response)
		if got := text + rest; got != want || end != "end" {
			t.Errorf("resumed after event %d: got %q and last event %q, want %q and end", after, got, end, want)
		}
	}
}

// readFirstEvents reads the first count events of an answer and closes the
// connection. It returns their text and the ID of the last one.
func readFirstEvents(t *testing.T, entry *fleettest.Router, request fleettest.Request, count int) (text, last string) {
	t.Helper()
	response, err := fleettest.Open(entry, request)
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	events := fleettest.NewEvents(response.Body)
	for range count {
		event, err := events.Next()
		if err != nil {
			t.Fatal(err)
		}
		if event.Name != "data" {
			break
		}
		text += event.Text()
		last = event.ID
	}
	return text, last
}

// readRest reads an answer to its end. It returns the text and the name of the
// last event, or the error if the stream ended without one.
func readRest(t *testing.T, response *http.Response) (text, name string) {
	t.Helper()
	defer response.Body.Close()
	events := fleettest.NewEvents(response.Body)
	var joined strings.Builder
	for {
		event, err := events.Next()
		if err != nil {
			return joined.String(), err.Error()
		}
		if event.Name != "data" {
			return joined.String(), event.Name
		}
		joined.WriteString(event.Text())
	}
}

// TestEngineKilled kills an engine during an answer. If there is another engine,
// it must continue the answer; otherwise the caller must receive an error event,
// so that it doesn't take the truncated text for the complete answer.
func TestEngineKilled(t *testing.T) {
	for engines := 1; engines <= 2; engines++ {
		t.Run(fmt.Sprintf("%d engines", engines), func(t *testing.T) {
			fleet := fleettest.Start(t, fleettest.Options{Engines: engines, EngineArgs: []string{"--tokens-per-second", "100"}})
			request, want := draft(1, 60)
			request.Events = true
			response, err := fleettest.Open(fleet.Routers[0], request)
			if err != nil {
				t.Fatal(err)
			}
			runner, _, _ := strings.Cut(response.Header.Get("Hickoryhead-Answer"), "~")
			for _, unit := range fleet.Engines {
				if string(unit.ID) == runner {
					unit.Upstream.Kill()
				}
			}
			text, name := readRest(t, response)
			if engines == 1 && (name != "error" || text == want || !strings.HasPrefix(want, text)) {
				t.Errorf("got %q and last event %q, want a part of %q and an error", text, name, want)
			}
			if engines == 2 && (name != "end" || text != want) {
				t.Errorf("got %q and last event %q, want %q and end", text, name, want)
			}
		})
	}
}
