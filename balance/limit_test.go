package balance_test

import (
	"testing"
	"time"

	"github.com/hickoryhead/hickoryhead/balance"
	"github.com/hickoryhead/hickoryhead/ident"
	"github.com/hickoryhead/hickoryhead/registry"
)

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
			chooser := chooserWith(test.loads, nil)
			chooser.CacheIndex.RecordLocal(start, balance.CacheUpdate{Key: "prompt", Upstream: id(test.cached)})
			chooser.Limit = func(_ time.Time, upstream registry.Upstream) balance.LimitState {
				for i, limit := range test.limits {
					if upstream.ID == id(i) {
						return limit
					}
				}
				return balance.Unlimited
			}
			got, found := chooser.Choose(start, poolOf(len(test.loads)), balance.Request{Keys: []ident.ChatID{"prompt"}})
			if found != test.found || found && got.Upstream.ID != id(test.want) {
				t.Errorf("got %s (%s) and found %t, want %s and %t", got.Upstream.ID, got.Reason, found, id(test.want), test.found)
			}
		})
	}
}
