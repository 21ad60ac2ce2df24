package faulttest_test

import (
	"encoding/json"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/hickoryhead/hickoryhead/claim"
	"github.com/hickoryhead/hickoryhead/fleettest"
	"github.com/hickoryhead/hickoryhead/ident"
	"github.com/hickoryhead/hickoryhead/result"
	"github.com/hickoryhead/hickoryhead/standin"
)

func TestMain(m *testing.M) {
	code := m.Run()
	fleettest.Clean()
	os.Exit(code)
}

// confirmation is a confirmation that a test sends, possibly several times.
type confirmation struct {
	t     *testing.T
	fleet *fleettest.Fleet
	key   string
}

func newConfirmation(t *testing.T, fleet *fleettest.Fleet) *confirmation {
	return &confirmation{t: t, fleet: fleet, key: strings.NewReplacer("/", ":", "'", "").Replace(t.Name())}
}

func (confirmation *confirmation) request() fleettest.Request {
	return fleettest.Request{Route: "confirm", Key: confirmation.key, Body: `{"Headers":40}`}
}

// send sends the confirmation through a router. If the connection breaks or the
// router is down, the outcome is unknown.
func (confirmation *confirmation) send(router int) fleettest.Reply {
	reply, err := fleettest.Send(confirmation.fleet.Routers[router], confirmation.request())
	if err != nil {
		reply.Problem.Outcome = result.Unknown
		reply.Problem.Detail = err.Error()
	}
	confirmation.t.Logf("router %d: status %d %s %s %s", router, reply.Status, outcome(reply), reply.Problem.Name, reply.Problem.Detail)
	return reply
}

// start sends the confirmation in the background.
func (confirmation *confirmation) start(router int) *pendingSend {
	pending := &pendingSend{confirmation: confirmation, router: router, ended: make(chan struct{})}
	go pending.run()
	return pending
}

// pendingSend is a confirmation that is being sent in the background. reply is
// valid once ended is closed.
type pendingSend struct {
	confirmation *confirmation
	router       int
	reply        fleettest.Reply
	ended        chan struct{}
}

func (pending *pendingSend) run() {
	defer close(pending.ended)
	pending.reply = pending.confirmation.send(pending.router)
}

func (pending *pendingSend) wait() fleettest.Reply {
	<-pending.ended
	return pending.reply
}

// repeat sends the confirmation until it is answered with the outcome Done.
func (confirmation *confirmation) repeat(router int) fleettest.Reply {
	confirmation.t.Helper()
	var reply fleettest.Reply
	waitFor(confirmation.t, "an answer to the confirmation", func() bool {
		reply = confirmation.send(router)
		return outcome(reply) == result.Done
	})
	return reply
}

// runs returns the number of times that the services ran the confirmation.
func (confirmation *confirmation) runs() int {
	confirmation.t.Helper()
	total := 0
	for _, unit := range confirmation.fleet.Services {
		var runs standin.Runs
		getJSON(confirmation.t, "http://"+unit.Address+"/v1/runs", &runs)
		total += runs.Runs[string(fleettest.Workspace)+"/"+confirmation.key]
	}
	return total
}

// waitForRun waits until a service has started to run the confirmation.
func (confirmation *confirmation) waitForRun() {
	confirmation.t.Helper()
	waitFor(confirmation.t, "the run of the confirmation", func() bool { return confirmation.runs() == 1 })
}

func (confirmation *confirmation) wantRuns(want int) {
	confirmation.t.Helper()
	if got := confirmation.runs(); got != want {
		confirmation.t.Errorf("got %d runs, want %d", got, want)
	}
}

func (confirmation *confirmation) wantOutcome(reply fleettest.Reply, want result.Outcome) {
	confirmation.t.Helper()
	if got := outcome(reply); got != want {
		confirmation.t.Errorf("got outcome %s (%+v), want %s", got, reply.Problem, want)
	}
}

// claimed reports whether the claim table has a claim for the confirmation.
func (confirmation *confirmation) claimed() bool { return confirmation.holder() != "" }

// holder returns the peer address of the sidecar that holds the claim, or an
// empty string if the table has no claim or cannot be read.
func (confirmation *confirmation) holder() string {
	confirmation.t.Helper()
	key := claim.Key{Service: fleettest.Service, Workspace: ident.Qualified(fleettest.Team, fleettest.Workspace), Key: ident.IdempotencyKey(confirmation.key)}
	rows, err := confirmation.fleet.Platform.Read(confirmation.t.Context(), key.Row())
	if err != nil || len(rows) == 0 {
		return ""
	}
	var record claim.Record
	if err := json.Unmarshal(rows[0].Value, &record); err != nil {
		confirmation.t.Fatal(err)
	}
	return record.Sidecar
}

// outcome returns the outcome of a reply; a reply without a problem is Done.
func outcome(reply fleettest.Reply) result.Outcome {
	if reply.Problem.Outcome != "" {
		return reply.Problem.Outcome
	}
	return result.Done
}

func getJSON(t *testing.T, url string, value any) {
	t.Helper()
	response, err := http.Get(url)
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	if err := json.NewDecoder(response.Body).Decode(value); err != nil {
		t.Fatalf("%s: %v", url, err)
	}
}

// switchService sets the switches of a stand-in service, a JSON object.
func switchService(t *testing.T, unit *fleettest.Unit, switches string) {
	t.Helper()
	response, err := http.Post("http://"+unit.Address+"/v1/switches", "application/json", strings.NewReader(switches))
	if err != nil {
		t.Fatal(err)
	}
	response.Body.Close()
}

// waitFor polls done until it reports true. It fails the test after a minute;
// what names the condition in the message.
func waitFor(t *testing.T, what string, done func() bool) {
	t.Helper()
	deadline := time.Now().Add(time.Minute)
	for !done() {
		if time.Now().After(deadline) {
			t.Fatalf("timed out after a minute waiting for %s", what)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// pause waits long enough for an earlier step to take effect, or for something
// that must not happen.
func pause() { time.Sleep(300 * time.Millisecond) }
