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

// draft returns a prompt that no other draft has, its request and its answer.
func draft(number int, tokens ident.Tokens) (fleettest.Request, string) {
	prompt := upstream.Prompt{Text: "Header copy for aisle twelve", MaxTokens: tokens, Seed: uint64(number)}
	body := fmt.Sprintf(`{"Text":%q,"MaxTokens":%d,"Seed":%d}`, prompt.Text, prompt.MaxTokens, prompt.Seed)
	return fleettest.Request{Route: "draft", Body: body}, standin.Answer(prompt)
}

// wantWholeOrError checks that an answer is whole, byte for byte, or an error
// that says what happened. It reports whether it was whole.
func wantWholeOrError(t *testing.T, reply fleettest.Reply, want string) bool {
	t.Helper()
	if reply.Status == http.StatusOK {
		if got := reply.Text.Text; got != want {
			t.Errorf("got %q as a whole answer, want %q", got, want)
		}
		return true
	}
	if reply.Problem.Number == result.OK {
		t.Errorf("got status %d without a result code, want one", reply.Status)
	}
	return false
}

// TestHopCut cuts the connection between router and sidecar at every few bytes
// of an answer, from its first byte to beyond its last frame. The sidecar still
// has the answer, so the caller gets all of it. Where the cut came before the
// request was forwarded, it is told "not run" and the engine has not run it.
func TestHopCut(t *testing.T) {
	fleet := fleettest.Start(t, fleettest.Options{EngineArgs: []string{"--tokens-per-second", "0"}})
	unit := fleet.Engines[0]
	relay := startRelay(t, unit.Hop)
	behindRelay(t, fleet, unit, relay)
	at, notRun := 0, 0
	for number := 1; ; number++ {
		request, want := draft(number, 8)
		before, ran := relay.taken(), taken(t, unit)
		relay.cutAfter(at)
		reply, err := fleettest.Ask(fleet.Routers[0], request)
		if err != nil {
			t.Fatal(err)
		}
		if !wantWholeOrError(t, reply, want) {
			notRun++
			if got := taken(t, unit); reply.Problem.Outcome != result.NotRun || got != ran {
				t.Errorf("got %s with a cut after %d bytes and %d runs, want a whole answer or no run", reply.Problem.Name, at, got-ran)
			}
		}
		if relay.taken() == before {
			break
		}
		at += 3
	}
	t.Logf("%d cuts, %d requests not run", relay.taken(), notRun)
	if got, want := relay.taken(), 100; got < want {
		t.Errorf("got %d cuts, want at least %d", got, want)
	}
}

// behindRelay lists a unit's sidecar under the relay's address and waits until
// the routers go there.
func behindRelay(t *testing.T, fleet *fleettest.Fleet, unit *fleettest.Unit, relay *relay) {
	t.Helper()
	unit.VM.Address = relay.address()
	fleet.PutVM(unit.VM)
	for _, entry := range fleet.Routers {
		waitFor(t, "the router to go through the relay", func() bool { return goesTo(fleet, entry, relay.address()) })
	}
}

func goesTo(fleet *fleettest.Fleet, entry *fleettest.Entry, address string) bool {
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

// TestUpstreamCut cuts the connection between sidecar and engine at every few
// bytes of an answer. Another engine continues the text where it was cut. The
// requests between the cuts keep the retries within their budget.
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
		reply, err := fleettest.Ask(fleet.Routers[0], request)
		if err != nil {
			t.Fatal(err)
		}
		if !wantWholeOrError(t, reply, want) {
			t.Errorf("got %s after %d cuts, want a whole answer", reply.Problem.Name, relay.taken())
		}
	}
	for at := 0; at < 700; at += 7 {
		for range 6 {
			ask()
		}
		before := relay.taken()
		relay.cutAfter(at)
		waitFor(t, "a cut", func() bool { ask(); return relay.taken() > before })
	}
	t.Logf("%d cuts in %d requests", relay.taken(), number)
}

// TestRouterLost cuts the caller's connection after each event, or kills its
// router, and resumes at the other router with the last event's ID.
func TestRouterLost(t *testing.T) {
	fleet := fleettest.Start(t, fleettest.Options{Routers: 2, EngineArgs: []string{"--tokens-per-second", "400"}})
	for after := 1; after <= 20; after++ {
		request, want := draft(after, 20)
		request.Events = true
		text, last := readSome(t, fleet.Routers[0], request, after)
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
			t.Errorf("got %q and event %q after event %d, want %q and the end", got, end, after, want)
		}
	}
}

// readSome reads the first events of an answer and hangs up.
func readSome(t *testing.T, entry *fleettest.Entry, request fleettest.Request, count int) (text, last string) {
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

// readRest reads an answer to its end and returns the last event's name.
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

// TestEngineKilled kills an engine in the middle of answers, with and without
// another that can go on. Without, the caller is told that its answer is cut.
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
				t.Errorf("got %q and event %q, want a part of %q and an error", text, name, want)
			}
			if engines == 2 && (name != "end" || text != want) {
				t.Errorf("got %q and event %q, want %q and the end", text, name, want)
			}
		})
	}
}
