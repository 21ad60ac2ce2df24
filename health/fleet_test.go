package health_test

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/hickoryhead/hickoryhead/health"
	"github.com/hickoryhead/hickoryhead/ident"
)

// zone plays the routers of an availability zone before three upstreams of a
// plain service, of which the first one breaks every connection for a while.
type zone struct {
	random   *rand.Rand
	trackers []*health.Tracker
	// told says that the routers tell each other what came of their requests.
	told bool
	// heldBack says that requests that may not be repeated are held back.
	heldBack bool
	// lost counts the requests that may not be repeated and were broken.
	lost int
}

const (
	zoneRouters   = 10
	zoneUpstreams = 3
	brokenFor     = 5 * time.Second
	// tellEvery is the time between two messages among 29 routers; a tenth of a
	// second passes where a connection broke.
	tellEvery = 240 * time.Millisecond
	// A router has 2.7 requests a second that may not be repeated and 1.1 others.
	arrivalsPerSecond = 3.8
	repeatableShare   = 0.29
)

// play plays length, from when the upstream breaks.
func (zone *zone) play(length time.Duration) {
	const step = 10 * time.Millisecond
	for after := time.Duration(0); after < length; after += step {
		now := start.Add(after)
		for _, tracker := range zone.trackers {
			if zone.random.Float64() < arrivalsPerSecond*step.Seconds() {
				zone.send(now, tracker, zone.random.Float64() < repeatableShare)
			}
		}
		alarmed := after%(100*time.Millisecond) == 0 && slices.ContainsFunc(zone.trackers, (*health.Tracker).BreakPending)
		if zone.told && (after%tellEvery == 0 || alarmed) {
			zone.tell(now, after%time.Second == 0)
		}
	}
}

// send sends a request to an upstream that takes it; a broken one that may be
// repeated goes on elsewhere.
func (zone *zone) send(now time.Time, tracker *health.Tracker, repeatable bool) {
	var open []ident.UpstreamID
	for i := range zoneUpstreams {
		upstream := name(i)
		if !tracker.Ejected(now, upstream) && (repeatable || !zone.heldBack || !tracker.OnProbation(now, upstream)) {
			open = append(open, upstream)
		}
	}
	if len(open) == 0 {
		return
	}
	chosen := open[zone.random.IntN(len(open))]
	outcome := health.Succeeded
	if chosen == name(0) && now.Before(start.Add(brokenFor)) {
		outcome = health.Broken
		if !repeatable {
			zone.lost++
		}
	}
	tracker.Add(now, "pool", chosen, outcome)
}

func (zone *zone) tell(now time.Time, all bool) {
	for i, teller := range zone.trackers {
		for _, tally := range teller.TakePending(all) {
			for j, tracker := range zone.trackers {
				if i != j {
					tracker.ApplyRemote(now, "pool", tally)
				}
			}
		}
	}
}

func newZone(seed uint64, told, heldBack bool) *zone {
	zone := &zone{random: rand.New(rand.NewPCG(seed, 0)), told: told, heldBack: heldBack}
	for range zoneRouters {
		zone.trackers = append(zone.trackers, new(health.Tracker))
	}
	return zone
}

func lost(zone *zone) int {
	zone.play(brokenFor)
	return zone.lost
}

// TestBrokenUpstreamBeforeAZone counts the requests that a broken upstream costs
// callers who may not repeat them: routers that share what they see and hold such
// requests back lose at most a third of what routers lose that judge alone.
func TestBrokenUpstreamBeforeAZone(t *testing.T) {
	const seeds, part = 20, 3
	alone, shared := 0, 0
	for seed := range uint64(seeds) {
		alone += lost(newZone(seed, false, false))
		shared += lost(newZone(seed, true, true))
	}
	t.Logf("got %d lost in %d plays by routers that judge alone, %d by those that share", alone, seeds, shared)
	if shared*part > alone {
		t.Errorf("got %d lost requests, want at most a third of %d", shared, alone)
	}
}

// TestUpstreamComesBack wants an upstream that is whole again to take requests
// of all kinds.
func TestUpstreamComesBack(t *testing.T) {
	zone := newZone(1, true, true)
	zone.play(3 * brokenFor)
	now := start.Add(3 * brokenFor)
	for i, tracker := range zone.trackers {
		if tracker.Ejected(now, name(0)) || tracker.OnProbation(now, name(0)) {
			t.Errorf("got router %d that keeps requests from an upstream that is whole for %v", i, 2*brokenFor)
		}
	}
}

// TestFailuresOfOneRouter are those of a router whose own links are cut: they
// count against all upstreams alike, so that the others set none aside.
func TestFailuresOfOneRouter(t *testing.T) {
	cut, whole := new(health.Tracker), new(health.Tracker)
	for n := range 50 {
		now := start.Add(time.Duration(n) * 100 * time.Millisecond)
		for i := range zoneUpstreams {
			cut.Add(now, "pool", name(i), health.Broken)
			whole.Add(now, "pool", name(i), health.Succeeded)
		}
		for _, tally := range cut.TakePending(true) {
			if whole.ApplyRemote(now, "pool", tally) {
				t.Fatalf("got %s set aside by the word of one router that fails everywhere", tally.Upstream)
			}
		}
	}
}

// TestHeldBack follows one upstream through an ejection.
func TestHeldBack(t *testing.T) {
	tracker := new(health.Tracker)
	tracker.Add(start, "pool", "a", health.Unreachable)
	steps := []struct {
		after             time.Duration
		ejected, heldBack bool
	}{
		{0, true, true},
		{600 * time.Millisecond, false, true},
		{1600 * time.Millisecond, false, false},
	}
	for _, step := range steps {
		now := start.Add(step.after)
		if ejected, heldBack := tracker.Ejected(now, "a"), tracker.OnProbation(now, "a"); ejected != step.ejected || heldBack != step.heldBack {
			t.Errorf("got ejected %t and held back %t after %v, want %t and %t", ejected, heldBack, step.after, step.ejected, step.heldBack)
		}
	}
	tracker.Add(start.Add(2*time.Second), "pool", "a", health.Broken)
	if now := start.Add(2 * time.Second); tracker.Ejected(now, "a") || !tracker.OnProbation(now, "a") {
		t.Error("got an upstream that is not just held back after one broken connection, want that")
	}
	tracker.Add(start.Add(2100*time.Millisecond), "pool", "a", health.Succeeded)
	if tracker.OnProbation(start.Add(2100*time.Millisecond), "a") {
		t.Error("got an upstream held back after a success, want it trusted")
	}
}

// TestNews wants failures told at once, and all else on demand.
func TestNews(t *testing.T) {
	tracker := new(health.Tracker)
	tracker.Add(start, "pool", "a", health.Succeeded)
	tracker.Add(start, "pool", "b", health.Broken)
	if news := tracker.TakePending(false); len(news) != 1 || news[0].Upstream != "b" || news[0].Failed != 1 {
		t.Errorf("got %+v, want the failure of b", news)
	}
	if news := tracker.TakePending(true); len(news) != 1 || news[0].Upstream != "a" || news[0].Total != 1 {
		t.Errorf("got %+v, want the success of a", news)
	}
	if news := tracker.TakePending(true); len(news) != 0 {
		t.Errorf("got %+v once more, want nothing", news)
	}
}
