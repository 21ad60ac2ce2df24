package e2e_test

import (
	"encoding/json"
	"io"
	"net/http"
	"os"
	"strings"
	"testing"

	"github.com/hickoryhead/hickoryhead/fleettest"
	"github.com/hickoryhead/hickoryhead/result"
	"github.com/hickoryhead/hickoryhead/standin"
	"github.com/hickoryhead/hickoryhead/upstream"
)

func TestMain(m *testing.M) {
	status := m.Run()
	fleettest.Clean()
	os.Exit(status)
}

const prompt = `{"Text":"Header copy for the end gondola of aisle twelve","MaxTokens":24,"Seed":7}`

// completeText returns the complete answer to prompt.
func completeText() string {
	return standin.Answer(upstream.Prompt{Text: "Header copy for the end gondola of aisle twelve", MaxTokens: 24, Seed: 7})
}

func ask(t *testing.T, entry *fleettest.Router, request fleettest.Request) fleettest.Reply {
	t.Helper()
	reply, err := fleettest.Send(entry, request)
	if err != nil {
		t.Fatalf("request to %s: %v", request.Route, err)
	}
	return reply
}

func TestWholePath(t *testing.T) {
	fleet := fleettest.Start(t, fleettest.Options{Routers: 2, Engines: 3, EngineArgs: []string{"--tokens-per-second", "2000"}})
	t.Run("returning chat", func(t *testing.T) { returningChat(t, fleet) })
	t.Run("events", func(t *testing.T) { events(t, fleet) })
	t.Run("confirmation runs once", func(t *testing.T) { confirmation(t, fleet) })
	t.Run("bad input", func(t *testing.T) { badInput(t, fleet) })
	t.Run("drained upstream gets no new requests", func(t *testing.T) { drained(t, fleet) })
	t.Run("planned stop of a router", func(t *testing.T) { plannedStop(t, fleet) })
}

// returningChat sends the second request of a chat through the other router. It
// must find the prefix of the first one cached.
func returningChat(t *testing.T, fleet *fleettest.Fleet) {
	first := ask(t, fleet.Routers[0], fleettest.Request{Route: "draft", Chat: "chat-1", Body: prompt})
	if got, want := first.Text.Text, completeText(); got != want {
		t.Fatalf("first answer: got %q, want %q (%+v)", got, want, first.Problem)
	}
	again := ask(t, fleet.Routers[1], fleettest.Request{Route: "draft", Chat: "chat-1", Affinity: first.Affinity, Body: prompt})
	if got := again.Text.Cached; got == 0 {
		t.Errorf("second answer: got %d cached tokens of %d, want more than 0", got, again.Text.Prompt)
	}
}

func events(t *testing.T, fleet *fleettest.Fleet) {
	response, err := fleettest.Open(fleet.Routers[0], fleettest.Request{Route: "draft", Chat: "chat-2", Body: prompt, Events: true})
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	text, last := readEvents(t, response)
	if got, want := text, completeText(); got != want {
		t.Errorf("got %q, want %q", got, want)
	}
	if got, want := last.Name, "end"; got != want {
		t.Errorf("last event: got %q, want %q", got, want)
	}
}

// readEvents returns the text of all data events and the last event.
func readEvents(t *testing.T, response *http.Response) (string, fleettest.Event) {
	t.Helper()
	events := fleettest.NewEvents(response.Body)
	var text strings.Builder
	for {
		event, err := events.Next()
		if err != nil {
			t.Fatalf("after %q: %v", text.String(), err)
		}
		if event.Name != "data" {
			return text.String(), event
		}
		text.WriteString(event.Text())
	}
}

func confirmation(t *testing.T, fleet *fleettest.Fleet) {
	request := fleettest.Request{Route: "confirm", Key: "print-run-1", Body: `{"Headers":40}`}
	first := ask(t, fleet.Routers[0], request)
	if got, want := first.Status, http.StatusOK; got != want {
		t.Fatalf("got status %d, want %d (%+v)", got, want, first.Problem)
	}
	again := ask(t, fleet.Routers[1], request)
	if got, want := again.Body, first.Body; got != want {
		t.Errorf("second answer: got %q, want %q", got, want)
	}
}

func badInput(t *testing.T, fleet *fleettest.Fleet) {
	tests := []struct {
		name    string
		request fleettest.Request
		want    result.Code
	}{
		{"malformed", fleettest.Request{Route: "draft", Body: `{"Text":`}, result.MalformedBody},
		{"unknown field", fleettest.Request{Route: "draft", Body: `{"Text":"a","MaxTokens":1,"Colour":1}`}, result.MalformedBody},
		{"unknown route", fleettest.Request{Route: "nowhere", Body: prompt}, result.UnknownRoute},
		{"no key", fleettest.Request{Route: "confirm", Body: `{}`}, result.MissingIdempotencyKey},
		{"bad key", fleettest.Request{Route: "confirm", Key: "a b", Body: `{}`}, result.InvalidHeader},
		{"tampered affinity", fleettest.Request{Route: "draft", Chat: "chat-1", Affinity: "v1.ZW5naW5lLTE.AAAA", Body: prompt}, result.InvalidAffinity},
		{"too large", fleettest.Request{Route: "draft", Body: `{"Text":"` + strings.Repeat("a", 2<<20) + `","MaxTokens":1}`}, result.BodyTooLarge},
		{"unknown workspace", fleettest.Request{Route: "draft", Workspace: "store-99", Body: prompt}, result.UnknownWorkspace},
		{"unknown priority", fleettest.Request{Route: "draft", Priority: "royal", Body: prompt}, result.InvalidHeader},
	}
	before := requestsAt(t, fleet)
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			reply := ask(t, fleet.Routers[0], test.request)
			if got := reply.Problem.Number; got != test.want {
				t.Errorf("got %s %s, want %s", got, reply.Problem.Detail, test.want)
			}
			if got, want := reply.Header.Get("Hickoryhead-Result"), test.want.String(); got != want {
				t.Errorf("header: got %q, want %q", got, want)
			}
			if got, want := reply.Problem.Outcome, result.NotRun; got != want {
				t.Errorf("outcome: got %q, want %q", got, want)
			}
			if counter := `hickoryhead_refusals_total{code="` + test.want.String() + `"`; !strings.Contains(get(t, "http://"+fleet.Routers[0].Operators+"/metrics"), counter) {
				t.Errorf("got no counter %s in the metrics, want one", counter)
			}
		})
	}
	if got, want := requestsAt(t, fleet), before; got != want {
		t.Errorf("got %d requests at the upstreams, want %d, since refused requests are not forwarded", got, want)
	}
}

// requestsAt returns the number of requests that all upstreams have received.
func requestsAt(t *testing.T, fleet *fleettest.Fleet) int64 {
	t.Helper()
	var total int64
	for _, unit := range fleet.Engines {
		var counters standin.EngineCounters
		if err := json.Unmarshal([]byte(get(t, "http://"+unit.Address+"/v1/counters")), &counters); err != nil {
			t.Fatal(err)
		}
		total += counters.Requests
	}
	for _, unit := range fleet.Services {
		var runs standin.Runs
		if err := json.Unmarshal([]byte(get(t, "http://"+unit.Address+"/v1/runs")), &runs); err != nil {
			t.Fatal(err)
		}
		for _, count := range runs.Runs {
			total += int64(count)
		}
	}
	return total
}

// get returns the body of url.
func get(t *testing.T, url string) string {
	t.Helper()
	response, err := http.Get(url)
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		t.Fatal(err)
	}
	return string(body)
}

// drain drains an upstream through the first router and returns the HTTP status.
func drain(t *testing.T, fleet *fleettest.Fleet, upstream, token string) int {
	t.Helper()
	url := "http://" + fleet.Routers[0].Operators + "/v1/drain/" + upstream + "?Team=" + string(fleettest.Team)
	request, err := http.NewRequest(http.MethodPost, url, nil)
	if err != nil {
		t.Fatal(err)
	}
	request.Header.Set("Authorization", "Bearer "+token)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		t.Fatal(err)
	}
	response.Body.Close()
	return response.StatusCode
}

// drained drains an upstream and sends requests. None may reach that upstream.
func drained(t *testing.T, fleet *fleettest.Fleet) {
	if got, want := drain(t, fleet, "engine-1", "a wrong token"), http.StatusUnauthorized; got != want {
		t.Fatalf("drain with a wrong token: got status %d, want %d", got, want)
	}
	if got, want := drain(t, fleet, "engine-1", fleettest.Token), http.StatusOK; got != want {
		t.Fatalf("drain: got status %d, want %d", got, want)
	}
	for range 20 {
		reply := ask(t, fleet.Routers[1], fleettest.Request{Route: "draft", Body: prompt})
		if got, want := reply.Text.Text, completeText(); got != want {
			t.Fatalf("got %q, want %q (%+v)", got, want, reply.Problem)
		}
		if answer := reply.Header.Get("Hickoryhead-Answer"); strings.HasPrefix(answer, "engine-1~") {
			t.Fatalf("got answer %s from the drained upstream, want one from another", answer)
		}
	}
}

// plannedStop stops a router gracefully during a long answer, which must still
// be complete.
func plannedStop(t *testing.T, fleet *fleettest.Fleet) {
	long := `{"Text":"A season plan from the ledger","MaxTokens":2000,"Seed":3}`
	response, err := fleettest.Open(fleet.Routers[0], fleettest.Request{Route: "draft", Body: long, Events: true})
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	fleet.Routers[0].Process.Terminate()
	text, last := readEvents(t, response)
	want := standin.Answer(upstream.Prompt{Text: "A season plan from the ledger", MaxTokens: 2000, Seed: 3})
	if text != want || last.Name != "end" {
		t.Errorf("got %d bytes and last event %q, want the %d bytes of the answer and end", len(text), last.Name, len(want))
	}
	if err := fleet.Routers[0].Process.Wait(); err != nil {
		t.Errorf("got exit %v, want a clean stop", err)
	}
}
