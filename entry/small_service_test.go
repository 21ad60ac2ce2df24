package entry_test

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/hickoryhead/hickoryhead/ident"
	"github.com/hickoryhead/hickoryhead/standin"
)

const (
	// smallRestartTime is how long a crashed upstream of a small service is away, and
	// smallRouters how many routers are in front of it.
	smallRestartTime = 3300 * time.Millisecond
	smallRouters     = 6
	// smallRowExpiry is how long the row of a crashed upstream stays.
	smallRowExpiry = 3600 * time.Millisecond
	// smallRunTime is how much longer than usual a run takes.
	smallRunTime = 55 * time.Millisecond
	// smallLength is how long a request that crashes upstreams comes again, every
	// smallRepeatInterval.
	smallLength         = 15 * time.Second
	smallRepeatInterval = 180 * time.Millisecond
	// smallSoundInterval is the time between two sound requests.
	smallSoundInterval = 30 * time.Millisecond
	// upSettleTime is how long an upstream has to be up before routers have to send
	// it requests, and crashSlack how close to a crash a request may be lost without
	// having begun to run.
	upSettleTime = 600 * time.Millisecond
	crashSlack   = 100 * time.Millisecond
	// maxSoundLost is the share of the sound requests that may fail with no crash of
	// their own upstream, while another one is up.
	maxSoundLost = 0.01
	// crashAttemptPrefix begins the ID of each attempt that crashes its upstream.
	crashAttemptPrefix = "crash-"
)

// smallScenario is a service of a few upstreams, requests that crash them, and what
// runs before and beside those.
type smallScenario struct {
	name      string
	upstreams int
	path      string
	// requests is how many different requests crash upstreams, and copies how many
	// times each is sent at once; zero means one.
	requests, copies int
	// interval is the time between two repeats; zero means smallRepeatInterval.
	interval time.Duration
	// succeeded is how often the request succeeds before it crashes upstreams.
	succeeded int
	// sound is set if sound requests, no two of which are alike, run beside it, and
	// poll if they are all alike.
	sound, poll bool
	// soundEvery is how many of the crashing request's repeats are sound; zero means none.
	soundEvery int
	silent     bool
	sameID     bool
	// query is set if each repeat has a query of its own, and encoded if every second one
	// has its path encoded in another way.
	query, encoded bool
	// restart is set if all routers are restarted after the third crash.
	restart bool
}

// smallCall is one request to a small service and what came of it.
type smallCall struct {
	attempt         string
	sentAt, endedAt time.Time
	reply           standin.Reply
}

// smallPlay is a scenario that is played.
type smallPlay struct {
	smallScenario
	fleet   *crashFleet
	waiting sync.WaitGroup

	mu    sync.Mutex
	calls []*smallCall
	ran   map[string]ident.UpstreamID
	// restarted is when all routers had been restarted.
	restarted time.Time
}

// send sends a request without waiting for its answer.
func (play *smallPlay) send(router int, attempt, path, body string) {
	play.waiting.Go(func() {
		call := &smallCall{attempt: attempt, sentAt: time.Now()}
		call.reply = play.fleet.send(play.fleet.address(router), attempt, path, body)
		call.endedAt = time.Now()
		play.mu.Lock()
		defer play.mu.Unlock()
		play.calls = append(play.calls, call)
	})
}

func (play *smallPlay) recordRun(runner *standin.Runner, attempt ident.AttemptID) {
	play.mu.Lock()
	defer play.mu.Unlock()
	if play.ran == nil {
		play.ran = make(map[string]ident.UpstreamID)
	}
	play.ran[string(attempt)] = runner.ID
}

// crashPath returns the path of one of the requests that crash upstreams.
func (play *smallPlay) crashPath(request, n int) string {
	path := fmt.Sprint(play.path, "bad", request)
	if play.query {
		path = fmt.Sprint(path, "?n=", n)
	}
	if play.encoded && n%2 == 0 {
		path = strings.Replace(path, "bad", "%62ad", 1)
	}
	return path
}

// run plays the scenario.
func (play *smallPlay) run() {
	for n := range play.succeeded {
		play.send(n, fmt.Sprint("before-", n), play.crashPath(0, 0), "")
		time.Sleep(80 * time.Millisecond)
	}
	play.waiting.Wait()
	stop := make(chan struct{})
	if play.sound || play.poll {
		play.waiting.Go(func() { play.runSound(stop) })
	}
	interval := play.interval
	if interval == 0 {
		interval = smallRepeatInterval
	}
	started := time.Now()
	for n := 0; time.Since(started) < smallLength; n++ {
		for request := range max(play.requests, 1) {
			prefix := crashAttemptPrefix
			if play.soundEvery > 0 && n%play.soundEvery == play.soundEvery-1 {
				prefix = "mixed-"
			}
			for copied := range max(play.copies, 1) {
				play.send(n+copied, fmt.Sprintf("%s%d-%d-%d", prefix, request, n, copied), play.crashPath(request, n), "")
			}
		}
		if play.restart && len(play.fleet.crashTimes()) >= standin.MaxCrashes {
			play.restart = false
			play.fleet.restartRouters()
			play.restarted = time.Now()
		}
		time.Sleep(time.Until(started.Add(time.Duration(n+1) * interval)))
	}
	close(stop)
	play.waiting.Wait()
}

// runSound sends sound requests until stop is closed.
func (play *smallPlay) runSound(stop chan struct{}) {
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		case <-time.After(smallSoundInterval):
		}
		body := ""
		if play.sound {
			body = fmt.Sprint("sound body ", n)
		}
		play.send(n, fmt.Sprint("sound-", n), play.path+"sound", body)
	}
}

// check fails the test if the request crashed upstreams too often, or if sound requests
// were refused or lost where they could be served.
func (play *smallPlay) check(t *testing.T) {
	t.Helper()
	lives := play.fleet.lifetimes()
	late := 0
	crashes := 0
	for request := range max(play.requests, 1) {
		times := play.crashTimes(request)
		crashes += len(times)
		lateHere := 0
		for _, at := range times[min(standin.MaxCrashes, len(times)):] {
			if at.After(times[standin.MaxCrashes-1].Add(standin.ContactTime)) {
				lateHere++
			}
		}
		if lateHere > standin.MaxLateRuns {
			t.Errorf("got %d runs of request %d, %d of them later than %v after the third, want at most %d", len(times), request, lateHere, standin.ContactTime, standin.MaxLateRuns)
		}
		late += lateHere
	}
	if crashes == 0 {
		t.Error("got no crash, want some")
	}
	served, sent, refused, lost := 0, 0, 0, 0
	for _, call := range play.calls {
		if !strings.HasPrefix(call.attempt, "sound-") {
			continue
		}
		sent++
		switch {
		case call.reply.Status == http.StatusOK && call.reply.Err == nil:
			served++
		case call.reply.Status == http.StatusTooManyRequests:
			refused++
		case !play.excused(call, lives):
			lost++
			t.Logf("lost %s at %v: status %d, %v, %s", call.attempt, call.sentAt.Sub(play.fleet.beganAt), call.reply.Status, call.reply.Err, call.reply.Body)
		}
	}
	if refused > 0 || float64(lost) > maxSoundLost*float64(sent) {
		t.Errorf("got %d of %d sound requests refused as crashing and %d lost while upstreams were up, want none and at most %v", refused, sent, lost, maxSoundLost)
	}
	t.Logf("%s: %d runs, %d of them late; %d of %d sound requests served, %d refused, %d lost", play.name, crashes, late, served, sent, refused, lost)
}

// crashTimes returns when one of the requests began to run at upstreams, in order.
func (play *smallPlay) crashTimes(request int) []time.Time {
	var times []time.Time
	for attempt, at := range play.fleet.attemptRuns() {
		if strings.HasPrefix(attempt, fmt.Sprint(crashAttemptPrefix, request, "-")) {
			times = append(times, at...)
		}
	}
	slices.SortFunc(times, time.Time.Compare)
	return times
}

// excused reports whether a sound request could not be served: the routers were restarted,
// no upstream was up, its own one crashed, or one crashed just when it was sent.
func (play *smallPlay) excused(call *smallCall, lives []lifetime) bool {
	if !play.restarted.IsZero() && call.sentAt.Before(play.restarted.Add(upSettleTime)) {
		return true
	}
	ranAt, ran := play.ran[call.attempt]
	up := 0
	for _, life := range lives {
		crashedMeanwhile := !life.until.IsZero() && life.until.After(call.sentAt.Add(-crashSlack)) && life.until.Before(call.endedAt.Add(crashSlack))
		if crashedMeanwhile && (!ran || ranAt == life.upstream) {
			return true
		}
		if life.from.Add(upSettleTime).Before(call.sentAt) && (life.until.IsZero() || life.until.After(call.endedAt)) {
			up++
		}
	}
	return up == 0
}

// TestRequestKeepsCrashingSmallService guards against a request that crashes upstream
// after upstream of a service with few of them.
func TestRequestKeepsCrashingSmallService(t *testing.T) {
	tests := []smallScenario{
		{name: "three upstreams", upstreams: 3, path: "/once/"},
		{name: "three upstreams, sound requests beside", upstreams: 3, path: "/once/", sound: true},
		{name: "three upstreams, succeeded before", upstreams: 3, path: "/again/", succeeded: 12},
		{name: "three upstreams, succeeded before and sound requests beside", upstreams: 3, path: "/once/", succeeded: 12, sound: true},
		{name: "two upstreams, succeeded before and sound requests beside", upstreams: 2, path: "/once/", succeeded: 12, sound: true},
		{name: "one upstream, succeeded before and sound requests beside", upstreams: 1, path: "/once/", succeeded: 12, sound: true},
		{name: "three upstreams, the same sound request beside", upstreams: 3, path: "/again/", succeeded: 12, poll: true},
		{name: "two upstreams, the same sound request beside", upstreams: 2, path: "/again/", poll: true},
		{name: "one upstream, the same sound request beside", upstreams: 1, path: "/once/", poll: true},
		{name: "three upstreams, six copies at once", upstreams: 3, path: "/once/", copies: 6, interval: 600 * time.Millisecond, sound: true},
		{name: "three upstreams, often", upstreams: 3, path: "/once/", interval: 20 * time.Millisecond, sound: true},
		{name: "three upstreams, three requests", upstreams: 3, path: "/once/", requests: 3, sound: true},
		{name: "three upstreams, some repeats succeed", upstreams: 3, path: "/again/", soundEvery: 5, sound: true},
		{name: "three upstreams that fall silent", upstreams: 3, path: "/once/", silent: true, sound: true},
		{name: "three upstreams that fall silent, often", upstreams: 3, path: "/again/", silent: true, sound: true, interval: 20 * time.Millisecond},
		{name: "three upstreams that keep their IDs", upstreams: 3, path: "/once/", sameID: true, sound: true},
		{name: "three upstreams, a query of its own each time", upstreams: 3, path: "/again/", query: true, sound: true},
		{name: "three upstreams, a path encoded in two ways", upstreams: 3, path: "/again/", encoded: true, sound: true},
		{name: "three upstreams, all routers restarted after the third crash", upstreams: 3, path: "/once/", succeeded: 12, restart: true, sound: true},
		{name: "eighteen upstreams, succeeded before and sound requests beside", upstreams: 18, path: "/once/", succeeded: 12, sound: true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			play := &smallPlay{smallScenario: test}
			fleet := &crashFleet{
				t: t, store: new(standin.Platform), rowExpiry: smallRowExpiry, wait: 2500, runTime: smallRunTime,
				restartAfter: smallRestartTime, silent: test.silent, sameID: test.sameID, onRun: play.recordRun,
				crashAttempt: func(attempt ident.AttemptID) bool { return strings.HasPrefix(string(attempt), crashAttemptPrefix) },
			}
			play.fleet = fleet
			fleet.start(test.upstreams, smallRouters)
			play.run()
			play.check(t)
		})
	}
}
