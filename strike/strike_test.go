package strike_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/hickoryhead/hickoryhead/ident"
	"github.com/hickoryhead/hickoryhead/strike"
)

var start = time.Date(2026, 12, 1, 6, 0, 0, 0, time.UTC)

var pool = []ident.UpstreamID{"e1", "e2", "e3", "e4", "e5", "e6"}

func ExampleTracker() {
	var tracker strike.Tracker
	for _, upstream := range pool[:3] {
		tracker.Add(start, strike.Strike{Fingerprint: 7, Upstream: upstream, At: start})
		fmt.Println(tracker.Allowed(start, 7) == strike.Alone, tracker.Allowed(start, 7) == strike.Refused)
	}
	tracker.Clear(7)
	fmt.Println(tracker.Allowed(start, 7) == strike.Free)
	// Output:
	// false false
	// true false
	// false true
	// true
}

// drawStrikes draws strikes of a few requests, minutes apart, so that no two
// crashes of an upstream count as one.
func drawStrikes(t *rapid.T) []strike.Strike {
	var strikes []strike.Strike
	for i := range rapid.IntRange(0, 12).Draw(t, "strikes") {
		strikes = append(strikes, strike.Strike{
			Fingerprint: ident.Fingerprint(rapid.IntRange(1, 2).Draw(t, "request")),
			Upstream:    rapid.SampledFrom(pool).Draw(t, "upstream"),
			At:          start.Add(time.Duration(i) * time.Minute),
		})
	}
	return strikes
}

// TestStrikeOrderDoesNotMatter guards against daemons that disagree about a
// request although they have the same strikes. The strikes arrive in different
// orders, some of them repeatedly.
func TestStrikeOrderDoesNotMatter(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		strikes := drawStrikes(t)
		now := start.Add(20 * time.Minute)
		repeated := append(strikes, rapid.SliceOf(rapid.SampledFrom(append(strikes, strike.Strike{Fingerprint: 3, Upstream: "e1", At: now}))).Draw(t, "repeated")...)
		var first, second strike.Tracker
		for _, s := range repeated {
			first.Add(now, s)
		}
		for _, s := range rapid.Permutation(repeated).Draw(t, "order") {
			second.Add(now, s)
		}
		for fingerprint := ident.Fingerprint(1); fingerprint <= 3; fingerprint++ {
			if got, want := second.Allowed(now, fingerprint), first.Allowed(now, fingerprint); got != want {
				t.Fatalf("got allowance %d, want %d as in the other order", got, want)
			}
			if got, want := second.Designated(fingerprint, pool), first.Designated(fingerprint, pool); got != want {
				t.Fatalf("got designated %s, want %s as in the other order", got, want)
			}
		}
	})
}

// TestAllowanceCountsUpstreams checks that the allowance follows from the
// number of upstreams with a strike, and that the designated upstream has none
// as long as the pool has such an upstream.
func TestAllowanceCountsUpstreams(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var tracker strike.Tracker
		struck := make(map[ident.UpstreamID]bool)
		upstreams := rapid.SliceOfNDistinct(rapid.SampledFrom(pool), 0, 4, rapid.ID).Draw(t, "upstreams")
		for i, upstream := range upstreams {
			at := start.Add(time.Duration(i) * time.Minute)
			if !tracker.Add(at, strike.Strike{Fingerprint: 1, Upstream: upstream, At: at}) {
				t.Fatalf("got a known strike on %s, want a new one", upstream)
			}
			struck[upstream] = true
		}
		now := start.Add(10 * time.Minute)
		want := []strike.Allowance{strike.Free, strike.Free, strike.Alone, strike.Refused, strike.Refused}[len(upstreams)]
		if got := tracker.Allowed(now, 1); got != want {
			t.Fatalf("got allowance %d, want %d after %d upstreams", got, want, len(upstreams))
		}
		if got := tracker.Designated(1, pool); struck[got] {
			t.Fatalf("got designated %s, want one without a strike", got)
		}
		if got := tracker.Designated(1, upstreams); len(upstreams) > 0 && !struck[got] {
			t.Fatalf("got designated %q, want one of the pool", got)
		}
	})
}

// TestAtMostThreeCrashes guards against a request that keeps crashing
// upstreams. It is sent repeatedly to upstreams that know all strikes, and must
// cause three crashes in a pool of any size.
func TestAtMostThreeCrashes(t *testing.T) {
	for size := 1; size <= len(pool); size++ {
		t.Run(fmt.Sprintf("pool of %d", size), func(t *testing.T) {
			var tracker strike.Tracker
			total := 0
			for i := range 50 {
				now := start.Add(time.Duration(i) * 10 * time.Second)
				upstream := pool[i%size]
				switch tracker.Allowed(now, 1) {
				case strike.Refused:
					continue
				case strike.Alone:
					upstream = tracker.Designated(1, pool[:size])
				}
				total++
				tracker.Add(now, strike.Strike{Fingerprint: 1, Upstream: upstream, At: now})
			}
			if want := 3; total != want {
				t.Errorf("got %d crashes, want %d", total, want)
			}
		})
	}
}

func TestStrikesExpire(t *testing.T) {
	tracker := strike.Tracker{Lifetime: time.Minute}
	for _, upstream := range pool[:3] {
		tracker.Add(start, strike.Strike{Fingerprint: 1, Upstream: upstream, At: start})
	}
	if got, want := tracker.Allowed(start.Add(59*time.Second), 1), strike.Refused; got != want {
		t.Errorf("got allowance %d, want %d within the lifetime", got, want)
	}
	if got, want := tracker.Allowed(start.Add(time.Minute), 1), strike.Free; got != want {
		t.Errorf("got allowance %d, want %d after the lifetime", got, want)
	}
}

// TestLateStrikeDoesNotUndoClear guards against strikes from before a success
// that a slow peer reports after it.
func TestLateStrikeDoesNotUndoClear(t *testing.T) {
	var tracker strike.Tracker
	old := strike.Strike{Fingerprint: 1, Upstream: "e1", At: start}
	tracker.Add(start, old)
	tracker.Allowed(start.Add(time.Minute), 1)
	tracker.Clear(1)
	if got := tracker.Add(start.Add(2*time.Minute), old); got {
		t.Error("got a new strike, want the cleared one ignored")
	}
	later := strike.Strike{Fingerprint: 1, Upstream: "e2", At: start.Add(90 * time.Second)}
	if got := tracker.Add(start.Add(2*time.Minute), later); !got {
		t.Error("got a known strike, want a new one after the success")
	}
}

// TestTrackerIsBounded guards against the eviction of a crashing request by
// many innocent ones that have a strike because they ran beside it.
func TestTrackerIsBounded(t *testing.T) {
	tracker := strike.Tracker{MaxRequests: 10}
	for _, upstream := range pool[:2] {
		tracker.Add(start, strike.Strike{Fingerprint: 1, Upstream: upstream, At: start})
	}
	for i := range 100 {
		tracker.Add(start.Add(time.Minute), strike.Strike{Fingerprint: ident.Fingerprint(100 + i), Upstream: "e1", At: start.Add(time.Minute)})
	}
	if got, want := tracker.Allowed(start.Add(time.Minute), 1), strike.Alone; got != want {
		t.Errorf("got allowance %d, want %d", got, want)
	}
	kept := 0
	for i := range 100 {
		if tracker.HasStrikes(start.Add(time.Minute), ident.Fingerprint(100+i)) {
			kept++
		}
	}
	if got, want := kept, 9; got != want {
		t.Errorf("got %d further requests kept, want %d", got, want)
	}
}
