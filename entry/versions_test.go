package entry_test

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/hickoryhead/hickoryhead/ident"
	"github.com/hickoryhead/hickoryhead/platform"
	"github.com/hickoryhead/hickoryhead/standin"
)

const (
	// takeUpStreams is how many streams a test begins and takes up.
	takeUpStreams = 24
	// streamPath is a path of the route whose streams may be taken up.
	streamPath = "/resume/stream/x"
	// certainTime is how long after the start of a fleet any router knows the origin of
	// a stream without having been notified: the longest time that a stream may last, and
	// what it takes until all routers have the split.
	certainTime = 15 * time.Second
)

// versionFleet is a fleet whose upstreams have several software versions.
type versionFleet struct {
	*crashFleet

	mu sync.Mutex
	// ranAt holds the versions that ran each attempt.
	ranAt map[ident.AttemptID][]ident.SoftwareVersion
}

// newVersionFleet starts three routers, and upstreams with the given versions.
func newVersionFleet(t *testing.T, versions ...ident.SoftwareVersion) *versionFleet {
	t.Helper()
	fleet := &versionFleet{
		crashFleet: &crashFleet{t: t, store: new(standin.Platform), rowExpiry: standin.RunnerExpiry, restartAfter: restartTime, wait: 2500},
		ranAt:      make(map[ident.AttemptID][]ident.SoftwareVersion),
	}
	fleet.software = func(n int) ident.SoftwareVersion { return versions[n-1] }
	fleet.onRun = fleet.recordVersion
	fleet.start(len(versions), 3)
	return fleet
}

func (fleet *versionFleet) recordVersion(runner *standin.Runner, attempt ident.AttemptID) {
	fleet.mu.Lock()
	defer fleet.mu.Unlock()
	fleet.ranAt[attempt] = append(fleet.ranAt[attempt], runner.Software)
}

// versionsOf returns the versions that ran an attempt.
func (fleet *versionFleet) versionsOf(attempt ident.AttemptID) []ident.SoftwareVersion {
	fleet.mu.Lock()
	defer fleet.mu.Unlock()
	return fleet.ranAt[attempt]
}

// stream sends a request for the nth stream to a router. With resumes set it takes up
// the stream that this attempt began.
func (fleet *versionFleet) stream(router, n int, attempt, resumes ident.AttemptID) standin.Reply {
	call := &standin.Call{
		Method: http.MethodPost, Router: fleet.address(router), Host: "a.example", Path: streamPath, Body: fmt.Sprint("stream ", n),
		Head: platform.RequestHead{
			Attempt: attempt, Wait: fleet.wait, APIKey: "key-1",
			Prompt: []platform.PromptPart{{ID: fmt.Sprint("shared-", n%8), Tokens: 100}, {ID: fmt.Sprint("own-", n), Tokens: 10}},
		},
	}
	if resumes != "" {
		call.Head.Resumes, call.Head.LastEvent = resumes, "3"
	}
	return call.Send(fleet.t.Context(), &http.Client{Transport: &http.Transport{DisableKeepAlives: true}})
}

// begin begins the streams, each at one of the routers in turn.
func (fleet *versionFleet) begin() {
	fleet.t.Helper()
	for n := range takeUpStreams {
		if reply := fleet.stream(n, n, ident.AttemptID(fmt.Sprint("begin-", n)), ""); reply.Status != http.StatusOK || reply.Err != nil {
			fleet.t.Errorf("got status %d and error %v for stream %d, want it served", reply.Status, reply.Err, n)
		}
	}
}

// takeUp takes each stream up at the router after the one that began it, and returns how
// many continued. It fails the test if one continued at another version.
func (fleet *versionFleet) takeUp(name string) int {
	fleet.t.Helper()
	wentOn := 0
	for n := range takeUpStreams {
		attempt := ident.AttemptID(fmt.Sprint(name, "-", n))
		began := fleet.versionsOf(ident.AttemptID(fmt.Sprint("begin-", n)))[0]
		reply := fleet.stream(n+1, n, attempt, ident.AttemptID(fmt.Sprint("begin-", n)))
		ran := fleet.versionsOf(attempt)
		switch {
		case reply.Status == http.StatusOK && reply.Err == nil:
			wentOn++
		case reply.Status != http.StatusServiceUnavailable || len(ran) > 0:
			fleet.t.Errorf("got status %d and %d runs for a take-up, want 200, or 503 without a run", reply.Status, len(ran))
		}
		for _, version := range ran {
			if version != began {
				fleet.t.Errorf("got stream %d, begun at %s, taken up at %s", n, began, version)
			}
		}
	}
	return wentOn
}

// TestTakeUpGoesOnAtTheVersionThatBeganTheStream guards against streams that are joined
// from two software versions, and against take-ups that are refused for no reason.
func TestTakeUpGoesOnAtTheVersionThatBeganTheStream(t *testing.T) {
	tests := []struct {
		name string
		// waits is how long the fleet runs before the streams begin.
		waits time.Duration
		// between happens between the begin of the streams and their take-up.
		between func(fleet *versionFleet)
		// want is how many streams have to continue, at least.
		want int
	}{
		{"at another router", 0, func(fleet *versionFleet) { fleet.leave(0, 2) }, takeUpStreams},
		{"at routers that have forgotten all, early", 0, (*versionFleet).leaveAndRestart, 0},
		{"at routers that have forgotten all", certainTime, (*versionFleet).leaveAndRestart, takeUpStreams},
		{"once the other version has left", certainTime, func(fleet *versionFleet) { fleet.leave(2, 3) }, takeUpStreams / 4},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			fleet := newVersionFleet(t, "v1", "v1", "v2", "v2")
			time.Sleep(test.waits)
			fleet.begin()
			test.between(fleet)
			got := fleet.takeUp("take-up")
			t.Logf("%d of %d streams went on", got, takeUpStreams)
			if got < test.want {
				t.Errorf("got %d streams taken up, want at least %d", got, test.want)
			}
			if again := fleet.takeUp("second"); again < test.want {
				t.Errorf("got %d streams taken up a second time, want at least %d", again, test.want)
			}
		})
	}
}

// leave has some of the upstreams leave.
func (fleet *versionFleet) leave(numbers ...int) {
	for _, number := range numbers {
		fleet.runners[number].Leave()
	}
	time.Sleep(time.Second)
}

// leaveAndRestart has an upstream of each version leave, and restarts all routers.
func (fleet *versionFleet) leaveAndRestart() {
	fleet.leave(0, 2)
	fleet.restartRouters()
}

// TestSplitSurvivesAnOlderCopyOfTheStore guards against routers that disagree on the split
// after the store was restored from a copy made before it changed.
func TestSplitSurvivesAnOlderCopyOfTheStore(t *testing.T) {
	t.Parallel()
	fleet := newVersionFleet(t, "v1", "v1", "v2", "v2")
	earlier := fleet.store.Copy()
	fleet.leave(2, 3)
	fleet.begin()
	fleet.store.Restore(earlier)
	fleet.writeConfig()
	store := platform.NewStore(fleet.routers[0].storeAddress, nil)
	fleet.routers[0].waitFor(5*time.Second, "settled split of a later revision", func() bool {
		records, err := store.ReadAll(t.Context(), platform.SplitTable, "")
		if err != nil || len(records.Records) != 1 {
			return false
		}
		latest, err := platform.DecodeSplit(records.Records[0])
		return err == nil && latest.Settled() && latest.Revision > 16
	})
	if got := fleet.takeUp("take-up"); got < takeUpStreams {
		t.Errorf("got %d streams taken up, want %d", got, takeUpStreams)
	}
}
