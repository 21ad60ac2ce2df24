package health_test

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/hickoryhead/hickoryhead/health"
	"github.com/hickoryhead/hickoryhead/ident"
)

// zoneSim simulates the routers of an availability zone and three upstreams of a
// plain service. The first upstream breaks every connection for faultDuration.
type zoneSim struct {
	random   *rand.Rand
	trackers []*health.Tracker
	// shared is set if the routers send their outcomes to each other.
	shared bool
	// probation is set if upstreams on probation get retryable requests only.
	probation bool
	// lost counts the broken requests that were not retryable.
	lost int
}

const (
	zoneRouters   = 10
	zoneUpstreams = 3
	faultDuration = 5 * time.Second
	// gossipInterval is the time between two messages of a router among 29. After
	// a broken connection the next message is sent within 0.1 s.
	gossipInterval = 240 * time.Millisecond
	// A router has 2.7 requests a second that are not retryable and 1.1 others.
	requestsPerSecond = 3.8
	retryableShare    = 0.29
)

// run simulates the given time from the beginning of the fault.
func (sim *zoneSim) run(length time.Duration) {
	const step = 10 * time.Millisecond
	for after := time.Duration(0); after < length; after += step {
		now := start.Add(after)
		for _, tracker := range sim.trackers {
			if sim.random.Float64() < requestsPerSecond*step.Seconds() {
				sim.send(now, tracker, sim.random.Float64() < retryableShare)
			}
		}
		urgent := after%(100*time.Millisecond) == 0 && slices.ContainsFunc(sim.trackers, (*health.Tracker).BreakPending)
		if sim.shared && (after%gossipInterval == 0 || urgent) {
			sim.exchange(now, after%time.Second == 0)
		}
	}
}

// send sends a request to a random upstream that may take it. A broken request
// counts as lost unless it is retryable.
func (sim *zoneSim) send(now time.Time, tracker *health.Tracker, retryable bool) {
	var usable []ident.UpstreamID
	for i := range zoneUpstreams {
		upstream := upstreamID(i)
		if !tracker.Ejected(now, upstream) && (retryable || !sim.probation || !tracker.OnProbation(now, upstream)) {
			usable = append(usable, upstream)
		}
	}
	if len(usable) == 0 {
		return
	}
	chosen := usable[sim.random.IntN(len(usable))]
	outcome := health.Succeeded
	if chosen == upstreamID(0) && now.Before(start.Add(faultDuration)) {
		outcome = health.Broken
		if !retryable {
			sim.lost++
		}
	}
	tracker.Add(now, "pool", chosen, outcome)
}

// exchange sends the pending tallies of each router to all others.
func (sim *zoneSim) exchange(now time.Time, all bool) {
	for i, sender := range sim.trackers {
		for _, tally := range sender.TakePending(all) {
			for j, receiver := range sim.trackers {
				if i != j {
					receiver.ApplyRemote(now, "pool", tally)
				}
			}
		}
	}
}

func newZoneSim(seed uint64, shared, probation bool) *zoneSim {
	sim := &zoneSim{random: rand.New(rand.NewPCG(seed, 0)), shared: shared, probation: probation}
	for range zoneRouters {
		sim.trackers = append(sim.trackers, new(health.Tracker))
	}
	return sim
}

func lostDuringFault(sim *zoneSim) int {
	sim.run(faultDuration)
	return sim.lost
}

// TestSharedOutcomesLimitLostRequests counts the requests lost at a broken
// upstream because they are not retryable. Routers that each have to find out by
// themselves keep sending such requests there. Routers that share outcomes and
// observe probation may lose at most a third as many.
func TestSharedOutcomesLimitLostRequests(t *testing.T) {
	const seeds, factor = 20, 3
	alone, shared := 0, 0
	for seed := range uint64(seeds) {
		alone += lostDuringFault(newZoneSim(seed, false, false))
		shared += lostDuringFault(newZoneSim(seed, true, true))
	}
	t.Logf("got %d lost requests in %d runs without sharing, %d with sharing and probation", alone, seeds, shared)
	if shared*factor > alone {
		t.Errorf("got %d lost requests, want at most a third of %d", shared, alone)
	}
}

// TestRecoveredUpstreamTakesAllRequests checks that an upstream which has
// recovered is neither ejected nor on probation any more.
func TestRecoveredUpstreamTakesAllRequests(t *testing.T) {
	sim := newZoneSim(1, true, true)
	sim.run(3 * faultDuration)
	now := start.Add(3 * faultDuration)
	for i, tracker := range sim.trackers {
		if tracker.Ejected(now, upstreamID(0)) || tracker.OnProbation(now, upstreamID(0)) {
			t.Errorf("got upstream ejected or on probation at router %d, %v after it recovered", i, 2*faultDuration)
		}
	}
}

// TestPartitionedRouterEjectsNothingElsewhere has a router with broken links
// report failures of every upstream. They raise the failure rate of all upstreams
// alike, so that another router must eject none of them.
func TestPartitionedRouterEjectsNothingElsewhere(t *testing.T) {
	partitioned, connected := new(health.Tracker), new(health.Tracker)
	for n := range 50 {
		now := start.Add(time.Duration(n) * 100 * time.Millisecond)
		for i := range zoneUpstreams {
			partitioned.Add(now, "pool", upstreamID(i), health.Broken)
			connected.Add(now, "pool", upstreamID(i), health.Succeeded)
		}
		for _, tally := range partitioned.TakePending(true) {
			if connected.ApplyRemote(now, "pool", tally) {
				t.Fatalf("got %s ejected because of a router that fails at all upstreams, want none", tally.Upstream)
			}
		}
	}
}

// TestProbation follows one upstream through an ejection, the probation after it
// and a broken connection.
func TestProbation(t *testing.T) {
	tracker := new(health.Tracker)
	tracker.Add(start, "pool", "a", health.Unreachable)
	steps := []struct {
		after                time.Duration
		ejected, onProbation bool
	}{
		{0, true, true},
		{600 * time.Millisecond, false, true},
		{1600 * time.Millisecond, false, false},
	}
	for _, step := range steps {
		now := start.Add(step.after)
		if ejected, onProbation := tracker.Ejected(now, "a"), tracker.OnProbation(now, "a"); ejected != step.ejected || onProbation != step.onProbation {
			t.Errorf("got ejected %t and on probation %t after %v, want %t and %t", ejected, onProbation, step.after, step.ejected, step.onProbation)
		}
	}
	tracker.Add(start.Add(2*time.Second), "pool", "a", health.Broken)
	if now := start.Add(2 * time.Second); tracker.Ejected(now, "a") || !tracker.OnProbation(now, "a") {
		t.Error("got an upstream ejected or not on probation after one broken connection, want it on probation only")
	}
	tracker.Add(start.Add(2100*time.Millisecond), "pool", "a", health.Succeeded)
	if tracker.OnProbation(start.Add(2100*time.Millisecond), "a") {
		t.Error("got an upstream on probation after a success, want none")
	}
}

// TestTakePending checks that failures are always returned, successes only on
// demand, and each outcome once.
func TestTakePending(t *testing.T) {
	tracker := new(health.Tracker)
	tracker.Add(start, "pool", "a", health.Succeeded)
	tracker.Add(start, "pool", "b", health.Broken)
	if got := tracker.TakePending(false); len(got) != 1 || got[0].Upstream != "b" || got[0].Failed != 1 {
		t.Errorf("got %+v, want the failure of b", got)
	}
	if got := tracker.TakePending(true); len(got) != 1 || got[0].Upstream != "a" || got[0].Total != 1 {
		t.Errorf("got %+v, want the success of a", got)
	}
	if got := tracker.TakePending(true); len(got) != 0 {
		t.Errorf("got %+v a second time, want nothing", got)
	}
}
