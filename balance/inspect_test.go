package balance_test

import (
	"testing"
	"time"

	"github.com/hickoryhead/hickoryhead/balance"
	"github.com/hickoryhead/hickoryhead/ident"
	"github.com/hickoryhead/hickoryhead/registry"
)

// TestInspectShowsTheBoundOfTheChoice guards against an upstream that is shown below the load
// bound although the choice leaves it out for its load, or the other way round: in an evacuated
// zone are idle upstreams, which count in the bound.
func TestInspectShowsTheBoundOfTheChoice(t *testing.T) {
	tests := []struct {
		name string
		// loads are those of upstreams of zone-0, zone-1, zone-2, zone-0 and so on, of which
		// zone-0 is evacuated. The upstream 1 has the prompt cached.
		loads   []int
		atBound bool
	}{
		{"below the bound", []int{0, 17, 10, 0, 10, 10}, false},
		{"above the bound of all, below that of the others", []int{0, 20, 10, 0, 10, 10}, true},
		{"evacuated upstreams that still run requests", []int{10, 20, 10, 10, 10, 10}, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			chooser := chooserWith(test.loads, nil)
			chooser.CacheIndex.RecordLocal(start, balance.CacheUpdate{Key: "prompt", Upstream: id(1)})
			request := balance.Request{Keys: []ident.ChatID{"prompt"}}
			choice, candidates, found := chooser.Inspect(start, poolWithout(len(test.loads), "zone-0"), request)
			if !found || (choice.Upstream.ID == id(1)) == test.atBound {
				t.Fatalf("got %s and found %t, want the upstream with the prompt: %t", choice.Upstream.ID, found, !test.atBound)
			}
			for _, candidate := range candidates {
				if candidate.Upstream == id(1) && candidate.AtBound != test.atBound {
					t.Errorf("got at the bound %t, want %t as in the choice", candidate.AtBound, test.atBound)
				}
			}
		})
	}
	// Without any load the bound for a prompt that is not cached is the lower of the two.
	chooser := chooserWith([]int{0, 1, 0, 0, 0, 0}, nil)
	chooser.Slack = 0.5
	_, candidates, _ := chooser.Inspect(start, poolWithout(6), balance.Request{Keys: []ident.ChatID{"prompt"}})
	for _, candidate := range candidates {
		if want := candidate.Upstream == id(1); candidate.AtBound != want {
			t.Errorf("%s: got at the bound %t, want %t", candidate.Upstream, candidate.AtBound, want)
		}
	}
}

// TestInspectShowsWhyAnUpstreamIsExcluded guards against an upstream that is passed over
// without a reason, or for another one than is shown.
func TestInspectShowsWhyAnUpstreamIsExcluded(t *testing.T) {
	tests := []struct {
		name      string
		tried     bool
		limit     balance.LimitState
		ejected   bool
		probation bool
		exclusion balance.Exclusion
		health    string
	}{
		{"free", false, balance.Unlimited, false, false, "", "healthy"},
		{"below its limit", false, balance.BelowLimit, false, false, "", "healthy"},
		{"tried", true, balance.Unlimited, false, false, balance.Tried, "healthy"},
		{"at its limit", false, balance.AtLimit, false, false, balance.LimitReached, "healthy"},
		{"cold", false, balance.AtColdRate, false, false, balance.LimitReached, "healthy"},
		{"ejected", false, balance.Unlimited, true, true, "", "ejected"},
		{"on probation", false, balance.Unlimited, false, true, "", "on probation"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			chooser := chooserWith([]int{0, 5}, map[ident.UpstreamID]bool{id(0): test.ejected})
			chooser.OnProbation = func(_ time.Time, upstream ident.UpstreamID) bool { return test.probation && upstream == id(0) }
			chooser.Limit = func(_ time.Time, upstream registry.Upstream) balance.LimitState {
				if upstream.ID == id(0) {
					return test.limit
				}
				return balance.Unlimited
			}
			var request balance.Request
			if test.tried {
				request.Tried = []ident.UpstreamID{id(0)}
			}
			choice, candidates, _ := chooser.Inspect(start, poolWithout(2), request)
			got := candidates[0]
			if got.Exclusion != test.exclusion || got.Health != test.health || got.Healthy != (test.health == "healthy") {
				t.Errorf("got exclusion %q and health %q (%t), want %q and %q", got.Exclusion, got.Health, got.Healthy, test.exclusion, test.health)
			}
			if passedOver := test.exclusion != "" || test.health != "healthy"; (choice.Upstream.ID != id(0)) != passedOver {
				t.Errorf("got %s chosen, want the idle upstream passed over: %t", choice.Upstream.ID, passedOver)
			}
		})
	}
}
