package balance_test

import (
	"math"
	"testing"
	"time"

	"github.com/hickoryhead/hickoryhead/balance"
	"github.com/hickoryhead/hickoryhead/ident"
	"github.com/hickoryhead/hickoryhead/registry"
)

// chooserWithLimits returns a chooser for upstreams that stand to their limits as given, the
// cached one of which has the prompt cached.
func chooserWithLimits(loads []int, limits []balance.LimitState, cached int) *balance.Chooser {
	chooser := chooserWith(loads, nil)
	chooser.CacheIndex.RecordLocal(start, balance.CacheUpdate{Key: "prompt", Upstream: id(cached)})
	chooser.Limit = func(_ time.Time, upstream registry.Upstream) balance.LimitState {
		for i, limit := range limits {
			if upstream.ID == id(i) {
				return limit
			}
		}
		return balance.Unlimited
	}
	return chooser
}

// TestChoiceKeepsLimits guards against an upstream that gets a request beyond the limit
// that it names, and against what a limit leaves going unused while others are full.
func TestChoiceKeepsLimits(t *testing.T) {
	const unlimited, below, at = balance.Unlimited, balance.BelowLimit, balance.AtLimit
	tests := []struct {
		name   string
		loads  []int
		limits []balance.LimitState
		// cached is the upstream that has the prompt cached.
		cached int
		want   int
		found  bool
	}{
		{"holder at its limit", []int{0, 3, 9, 9}, []balance.LimitState{at, unlimited, unlimited, unlimited}, 0, 1, true},
		{"all but one at their limits", []int{0, 0, 0, 30}, []balance.LimitState{at, at, at, unlimited}, 0, 3, true},
		{"all at their limits", []int{0, 0, 0, 0}, []balance.LimitState{at, at, at, at}, 0, 0, false},
		{"holder with load to spare", []int{5, 5, 5, 2}, []balance.LimitState{unlimited, unlimited, unlimited, below}, 0, 0, true},
		{"holder far more loaded", []int{7, 6, 6, 2}, []balance.LimitState{unlimited, unlimited, unlimited, below}, 0, 3, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			chooser := chooserWithLimits(test.loads, test.limits, test.cached)
			got, found := chooser.Choose(start, poolOf(len(test.loads)), balance.Request{Keys: []ident.ChatID{"prompt"}})
			if found != test.found || found && got.Upstream.ID != id(test.want) {
				t.Errorf("got %s (%s) and found %t, want %s and %t", got.Upstream.ID, got.Reason, found, id(test.want), test.found)
			}
		})
	}
}

// TestColdUpstreamCountsInTheMean guards against upstreams above the load bound of their
// service because the cold ones are left out of its mean, against a request beyond the rate of
// a cold upstream, and against what that leaves going unused while others are full.
func TestColdUpstreamCountsInTheMean(t *testing.T) {
	const warm, below, at = balance.Unlimited, balance.BelowColdRate, balance.AtColdRate
	tests := []struct {
		name   string
		loads  []int
		limits []balance.LimitState
		// cached is the upstream that has the prompt cached.
		cached, want int
		mean         float64
		found        bool
	}{
		{"holder above the bound of all", []int{14, 9, 9, 0, 0, 0}, []balance.LimitState{warm, warm, warm, at, at, at}, 0, -1, 32.0 / 6, true},
		{"holder below it", []int{9, 9, 9, 0, 0, 0}, []balance.LimitState{warm, warm, warm, at, at, at}, 0, 0, 27.0 / 6, true},
		{"holder far more loaded than a cold one", []int{9, 9, 9, 9, 9, 1}, []balance.LimitState{warm, warm, warm, warm, warm, below}, 0, 5, 46.0 / 6, true},
		{"all cold, some below their rates", []int{1, 1, 1, 1, 1, 1}, []balance.LimitState{at, at, at, at, below, at}, 0, 4, 1, true},
		{"all at their rates", []int{0, 0}, []balance.LimitState{at, at}, 0, 0, 0, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			chooser := chooserWithLimits(test.loads, test.limits, test.cached)
			got, found := chooser.Choose(start, poolOf(len(test.loads)), balance.Request{Keys: []ident.ChatID{"prompt"}})
			if found != test.found || found && math.Abs(got.Mean-test.mean) > 1e-9 {
				t.Fatalf("got mean %v and found %t, want %v and %t", got.Mean, found, test.mean, test.found)
			}
			if found && test.want >= 0 && got.Upstream.ID != id(test.want) {
				t.Errorf("got %s (%s), want %s", got.Upstream.ID, got.Reason, id(test.want))
			}
			if found && test.want < 0 && got.Upstream.ID == id(test.cached) {
				t.Errorf("got %s above the bound, want another one", got.Upstream.ID)
			}
		})
	}
}
