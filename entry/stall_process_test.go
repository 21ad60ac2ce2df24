package entry_test

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/hickoryhead/hickoryhead/fleettest"
	"github.com/hickoryhead/hickoryhead/ident"
	"github.com/hickoryhead/hickoryhead/quota"
)

// startProcess starts a router as a process of its own, with the settings of the fixture, and
// waits until it is ready.
func (fixture *fixture) startProcess() *os.Process {
	t := fixture.t
	t.Helper()
	program := filepath.Join(t.TempDir(), "hickoryhead")
	if output, err := exec.Command("go", "build", "-o", program, "github.com/hickoryhead/hickoryhead/cmd/hickoryhead").CombinedOutput(); err != nil {
		t.Fatalf("got %v, want a successful build: %s", err, output)
	}
	content, err := json.Marshal(fixture.config)
	if err != nil {
		t.Fatal(err)
	}
	name := filepath.Join(t.TempDir(), "entry.json")
	if err := os.WriteFile(name, content, 0o600); err != nil {
		t.Fatal(err)
	}
	command := exec.Command(program, "entry", "--settings", name)
	command.Stdout, command.Stderr = &fixture.log, &fixture.log
	if err := command.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		_ = command.Process.Kill()
		_ = command.Wait()
	})
	fixture.waitFor(5*time.Second, "addresses of the process", fixture.readAddresses)
	fixture.waitFor(5*time.Second, "readiness of the process", fixture.ready)
	return command.Process
}

// readAddresses takes the addresses of the fixture's process from its log. It returns false if
// the process does not listen yet.
func (fixture *fixture) readAddresses() bool {
	for line := range strings.Lines(fixture.log.String()) {
		if addresses, found := fleettest.EntryStarted(line); found {
			fixture.addresses = addresses
			return true
		}
	}
	return false
}

// TestRequestsOfAPausedRouter guards against a router whose process was paused while a zone
// was evacuated, and that sends the requests which arrived meanwhile to that zone as soon as
// it resumes. The other router of the fleet learns of the evacuation at once.
func TestRequestsOfAPausedRouter(t *testing.T) {
	first := newZoneFixture(t)
	stopped := newRouterBeside(first, "vm-2")
	stopped.config.EvacuateMs = 5000
	first.start()
	first.waitFor(3*time.Second, "readiness", first.ready)
	process := stopped.startProcess()
	if status, _, _ := stopped.get("/first/x"); status != http.StatusOK {
		t.Fatalf("got status %d before the process was paused, want 200", status)
	}
	if err := process.Signal(syscall.SIGSTOP); err != nil {
		t.Fatal(err)
	}
	first.evacuate("a", true)
	first.waitFor(evacuateTime, "evacuation at the other router", func() bool { return first.servedBy("i-b") })
	time.Sleep(evacuateTime)
	before := first.upstreams["i-a"].served.Load()
	var waiting sync.WaitGroup
	answers := make(chan string, 300)
	for range cap(answers) {
		waiting.Go(func() {
			status, body, _ := stopped.get("/first/x")
			answers <- fmt.Sprint(status, " ", body)
		})
	}
	// The requests wait in the sockets of the process.
	time.Sleep(500 * time.Millisecond)
	if err := process.Signal(syscall.SIGCONT); err != nil {
		t.Fatal(err)
	}
	waiting.Wait()
	close(answers)
	served := 0
	for answer := range answers {
		switch {
		case strings.HasPrefix(answer, "200 i-b"):
			served++
		case strings.HasPrefix(answer, "200"):
			t.Errorf("got %q from the paused router, want no answer of another zone", answer)
		}
	}
	if served == 0 {
		t.Error("got no answer from the paused router, want some: others may exceed the connections of the upstream")
	}
	if got := first.upstreams["i-a"].served.Load(); got != before {
		t.Errorf("got %d requests in the evacuated zone, want none", got-before)
	}
}

// restartCold writes the row of an upstream as that of a process which has just followed another one,
// and is cold.
func (fixture *fixture) restartCold(id string, rule quota.ColdRule) {
	row := fixture.rowOf(id)
	remaining := ident.Milliseconds(rule.Start.Milliseconds())
	row.ColdRemaining, row.Seq = &remaining, 1
	row.Born++
	fixture.writeRow(id, row)
}

// TestColdUpstreamOfAPausedRouter guards against a router whose process was paused while an upstream
// ended and came back, and that sends the requests which arrived meanwhile there at once: a cold
// upstream ends again under them.
func TestColdUpstreamOfAPausedRouter(t *testing.T) {
	rule := quota.ColdRule{Start: 5 * time.Second, PerSecond: 4, Overage: 1.5, Slack: 5}
	first := newFixture(t, "i-a")
	first.config.ColdOverage, first.config.ColdSlack = rule.Overage, rule.Slack
	first.writeConfigWith(2, "/first/", fmt.Sprintf(`"tls":false,"cold-start-s":%v,"cold-per-s":%v`, rule.Start.Seconds(), rule.PerSecond))
	first.start()
	paused := newRouterBeside(first, "vm-2")
	process := paused.startProcess()
	if err := process.Signal(syscall.SIGSTOP); err != nil {
		t.Fatal(err)
	}
	first.restartCold("i-a", rule)
	var waiting sync.WaitGroup
	for range 200 {
		waiting.Go(func() { paused.get("/first/x") })
	}
	// The requests wait in the sockets of the process, for longer than the rate of a cold upstream holds.
	time.Sleep(1200 * time.Millisecond)
	if err := process.Signal(syscall.SIGCONT); err != nil {
		t.Fatal(err)
	}
	time.Sleep(time.Second)
	if got, most := first.upstreams["i-a"].served.Load(), int64(rule.PerSecond*rule.Overage+rule.Slack); got > most {
		t.Errorf("got %d requests in a second at the cold upstream, want at most %d", got, most)
	}
	waiting.Wait()
}
