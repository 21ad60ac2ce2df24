package balance_test

import (
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/hickoryhead/hickoryhead/balance"
	"github.com/hickoryhead/hickoryhead/ident"
	"github.com/hickoryhead/hickoryhead/registry"
)

// TestPredictionsKeepTheBound checks for random loads and any predictions, also impossible
// ones, that the chosen upstream is below the bound, whichever upstreams have the prompt
// prefix cached. All are healthy, so one at or below the mean is always available.
func TestPredictionsKeepTheBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		chooser, count := drawChooser(t)
		chooser.FirstEvent = func(time.Time, registry.Upstream, balance.Work) (time.Duration, bool) {
			predicted := rapid.OneOf(rapid.Int64Range(-1e9, 1e10), rapid.SampledFrom([]int64{0, math.MinInt64, math.MaxInt64})).Draw(t, "predicted")
			return time.Duration(predicted), rapid.IntRange(0, 9).Draw(t, "known") > 0
		}
		request := balance.Request{
			Keys:   []ident.ChatID{"prompt", "shallower"},
			Own:    ident.Tokens(rapid.IntRange(0, 1e5).Draw(t, "own")),
			Target: ident.Milliseconds(rapid.IntRange(0, 3000).Draw(t, "target")),
		}
		request.Prompt = request.Own + 1000
		checkBelowBound(t, chooser, count, request)
	})
}

// TestChoiceWithoutPredictions guards against choices that change before anything has been
// learned.
func TestChoiceWithoutPredictions(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		count := rapid.IntRange(2, 20).Draw(t, "upstreams")
		counts := make(balance.Counts)
		before := chooserWith(nil, nil)
		for i := range count {
			counts[id(i)] = balance.Load{Requests: rapid.IntRange(0, 9).Draw(t, "requests"), PendingPrefill: ident.Tokens(rapid.IntRange(0, 60000).Draw(t, "pending"))}
			if rapid.Bool().Draw(t, "cached") {
				before.CacheIndex.RecordLocal(start, balance.CacheUpdate{Key: "prompt", Upstream: id(i)})
			}
		}
		before.Loads.ApplyRemote(start, balance.RemoteCounts{Router: "other", Sequence: 2, Complete: true, Counts: counts})
		after := *before
		after.FirstEvent = func(time.Time, registry.Upstream, balance.Work) (time.Duration, bool) { return 0, false }
		request := balance.Request{Keys: []ident.ChatID{"prompt"}, Own: 100, Prompt: 5000, Target: 500}
		want, _ := before.Choose(start, poolOf(count), request)
		got, _ := after.Choose(start, poolOf(count), request)
		if want.Reason != balance.LeastLoaded && got != want {
			t.Fatalf("got %+v, want %+v as without predictions", got, want)
		}
	})
}

// predictedBy returns a prediction of the given times by upstream, to which the pending
// prefill adds a millisecond for each 50 tokens.
func predictedBy(times map[ident.UpstreamID]time.Duration) func(time.Time, registry.Upstream, balance.Work) (time.Duration, bool) {
	return func(_ time.Time, upstream registry.Upstream, work balance.Work) (time.Duration, bool) {
		return times[upstream.ID] + time.Duration(work.Pending+work.Prefill)*time.Millisecond/50, true
	}
}

// TestSlowUpstreamIsAvoided guards against a request that waits at a slow upstream although
// another one is expected to answer sooner, and against one that leaves the first upstream
// of the rendezvous order, or one that has its prefix cached, for next to no gain.
func TestSlowUpstreamIsAvoided(t *testing.T) {
	const count = 6
	pool := poolOf(count)
	first := firstRanked(t, pool, "prompt")
	other := (first + 1) % count
	tests := []struct {
		name   string
		cached []int
		slowBy time.Duration
		reason balance.Reason
		// stays is set if the slow upstream has to be chosen all the same.
		stays bool
	}{
		{"home is slow", nil, 100 * time.Millisecond, balance.Rendezvous, false},
		{"home is hardly slower", nil, 3 * time.Millisecond, balance.Rendezvous, true},
		{"one of two that have the prefix is slow", []int{first, other}, 100 * time.Millisecond, balance.CacheHit, false},
		{"the only one that has the prefix is too slow", []int{first}, 400 * time.Millisecond, balance.Spillover, false},
		{"the only one that has the prefix is slow", []int{first}, 100 * time.Millisecond, balance.CacheHit, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			chooser := chooserWith([]int{2, 2, 2, 2, 2, 2}, nil)
			for _, i := range test.cached {
				chooser.CacheIndex.RecordLocal(start, balance.CacheUpdate{Key: "prompt", Upstream: id(i)})
			}
			chooser.FirstEvent = predictedBy(map[ident.UpstreamID]time.Duration{id(first): test.slowBy})
			got, _ := chooser.Choose(start, pool, balance.Request{Keys: []ident.ChatID{"prompt"}, Own: 500, Prompt: 5000, Target: 1000})
			if stayed := got.Upstream.ID == id(first); got.Reason != test.reason || stayed != test.stays {
				t.Errorf("got %s for reason %s, want reason %s and the slow one %s: %v", got.Upstream.ID, got.Reason, test.reason, id(first), test.stays)
			}
			if got.Expected <= 0 {
				t.Error("got no expected time, want one")
			}
		})
	}
}

// TestEqualHoldersShareTheLoad guards against routers with the same late information that
// all send the requests with one prefix to the same upstream.
func TestEqualHoldersShareTheLoad(t *testing.T) {
	const count, requests = 6, 600
	chooser := chooserWith([]int{1, 2, 2, 2, 2, 2}, nil)
	for i := range count {
		chooser.CacheIndex.RecordLocal(start, balance.CacheUpdate{Key: "prompt", Upstream: id(i)})
	}
	chooser.FirstEvent = predictedBy(nil)
	pool, chosen := poolOf(count), make(map[ident.UpstreamID]int)
	for range requests {
		got, _ := chooser.Choose(start, pool, balance.Request{Keys: []ident.ChatID{"prompt"}, Own: 500, Prompt: 5000, Target: 1000})
		chosen[got.Upstream.ID]++
	}
	for i := range count {
		if got := chosen[id(i)]; got == 0 || got > requests/2 {
			t.Errorf("%s: got %d of %d requests, want some and at most half", id(i), got, requests)
		}
	}
}

// TestGenerationIsCountedDown guards against an expected generation that outlives its
// requests or becomes negative.
func TestGenerationIsCountedDown(t *testing.T) {
	var loads balance.Loads
	loads.AddGeneration("a", 100)
	loads.AddGeneration("a", 50)
	loads.AddGeneration("a", -30)
	if got := loads.Generation("a"); got != 120 {
		t.Errorf("got %d tokens, want 120", got)
	}
	loads.AddGeneration("a", -500)
	if got := loads.Generation("a"); got != 0 {
		t.Errorf("got %d tokens after more than all, want 0", got)
	}
	loads.AddGeneration("a", 10)
	if got := loads.Generation("a"); got != 10 {
		t.Errorf("got %d tokens after 10 more, want 10", got)
	}
}

// TestInspectMakesTheSameChoice guards against an explanation of another choice than the one
// that is made.
func TestInspectMakesTheSameChoice(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		loads := rapid.SliceOfN(rapid.IntRange(0, 9), 2, 12).Draw(t, "loads")
		chooser := chooserWith(loads, map[ident.UpstreamID]bool{id(1): rapid.Bool().Draw(t, "ejected")})
		chooser.Random = func(int) int { return 0 }
		for i := range loads {
			if rapid.Bool().Draw(t, "cached") {
				chooser.CacheIndex.RecordLocal(start, balance.CacheUpdate{Key: "prompt", Upstream: id(i)})
			}
		}
		if rapid.Bool().Draw(t, "predicts") {
			chooser.FirstEvent = predictedBy(map[ident.UpstreamID]time.Duration{id(0): 80 * time.Millisecond})
		}
		request := balance.Request{Keys: []ident.ChatID{"prompt"}, Own: 100, Prompt: 5000, Target: 500}
		want, _ := chooser.Choose(start, poolOf(len(loads)), request)
		got, candidates, found := chooser.Inspect(start, poolOf(len(loads)), request)
		if got != want || !found || len(candidates) != len(loads) {
			t.Fatalf("got %+v among %d, want %+v among %d", got, len(candidates), want, len(loads))
		}
	})
}
