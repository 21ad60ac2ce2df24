package changetest_test

import (
	"context"
	"math/rand/v2"
	"os"
	"sync"
	"testing"
	"time"

	"github.com/hickoryhead/hickoryhead/fleettest"
)

const (
	callers = 100
	// seed is that of the callers' requests and pauses.
	seed = 49
	// changesInSeries is the number of changes of one kind, changeGap the time between them.
	changesInSeries = 4
	changeGap       = 800 * time.Millisecond
	// limitPerSecond is a rate far below that of the requests.
	limitPerSecond = 10
)

func TestMain(m *testing.M) {
	code := m.Run()
	fleettest.Clean()
	os.Exit(code)
}

// start starts the callers and returns a function that stops them and waits for their end.
func (callerGroup *callerGroup) start() (stop func()) {
	var group sync.WaitGroup
	for number := range callers {
		caller := &caller{group: callerGroup, number: number, random: rand.New(rand.NewPCG(seed, uint64(number)))}
		group.Go(caller.run)
	}
	return func() {
		callerGroup.stopped.Store(true)
		group.Wait()
	}
}

// check fails the test for each request that was lost since it was called before.
func (callerGroup *callerGroup) check(t *testing.T) {
	t.Helper()
	tally := callerGroup.recorder.take()
	t.Log(tally)
	for _, loss := range tally.lost {
		t.Error(loss)
	}
	if tally.counts[answered] == 0 {
		t.Error("got no answers of upstreams, want some")
	}
}

// apply applies a configuration, which is the one that callers know from then on.
func (callerGroup *callerGroup) apply(configuration configuration) {
	callerGroup.router.apply(configuration)
	callerGroup.idleTimeout.Store(int64(configuration.idleTimeout))
}

// series applies changes in series: the first one and others in turn, and back to the
// configuration before. It waits until that is in force.
func (callerGroup *callerGroup) series(t *testing.T, current *configuration, change func(*configuration)) {
	t.Helper()
	base := *current
	for number := range changesInSeries {
		next := base
		next.version = current.version + 1
		if number%2 == 0 {
			change(&next)
		}
		callerGroup.apply(next)
		*current = next
		time.Sleep(changeGap)
	}
	waitFor(t, changeTimeout, "the last version", func() bool { return callerGroup.router.hasVersion(current.version) })
}

// changes are the kinds of changes of the configuration.
var changes = []struct {
	name   string
	change func(*configuration)
	// perSecond is the rate that the upstreams name in their answers, or zero.
	perSecond int64
}{
	{"route", func(next *configuration) { next.hasOtherRoute, next.weightA = false, 0 }, 0},
	{"weights", func(next *configuration) { next.weightA = 95 }, 0},
	{"timeout", func(next *configuration) { next.timeout = 50 * time.Millisecond }, 0},
	{"workspace", func(next *configuration) { next.hasOtherKey = false }, 0},
	{"quota", func(next *configuration) { next.maxConnections = 4 }, limitPerSecond},
	{"many routes", func(next *configuration) { next.moreRoutes = 1000 }, 0},
	{"smaller idle timeout", func(next *configuration) { next.idleTimeout = baseIdleTimeout / 4 }, 0},
	{"larger idle timeout", func(next *configuration) { next.idleTimeout = 3 * baseIdleTimeout }, 0},
	{"the same version again", func(next *configuration) { next.version-- }, 0},
}

// TestChangesBesideCallers guards against requests that a router has read whole and that get
// neither an answer nor a refusal (LOST) beside changes, while it has little of a core.
func TestChangesBesideCallers(t *testing.T) {
	current := firstConfiguration()
	router := startRouter(t, current)
	callerGroup := &callerGroup{router: router}
	callerGroup.apply(current)
	ctx, cancel := context.WithCancel(context.Background())
	var group sync.WaitGroup
	group.Go(func() { (&coreShare{process: router.process}).run(ctx) })
	defer group.Wait()
	defer cancel()
	defer callerGroup.start()()

	for _, test := range changes {
		t.Run(test.name, func(t *testing.T) {
			router.limit(test.perSecond)
			defer router.limit(0)
			callerGroup.series(t, &current, test.change)
			callerGroup.check(t)
		})
	}
	t.Run("settings", func(t *testing.T) {
		router.reload(t)
		callerGroup.check(t)
		if callerGroup.recorder.closedCount() == 0 {
			t.Error("got no connection that was closed as idle, want some")
		}
	})
	t.Run("planned stop", func(t *testing.T) {
		router.process.Terminate()
		waitFor(t, changeTimeout, "the end of the router", router.hasEnded)
		if err := router.process.Wait(); err != nil {
			t.Errorf("got error %v, want a process that ends by itself", err)
		}
		callerGroup.check(t)
	})
}
