package cost_test

import (
	"testing"
	"time"

	"github.com/hickoryhead/hickoryhead/cost"
	"github.com/hickoryhead/hickoryhead/ident"
)

// BenchmarkObserveGap records gaps between events, of which a router sees thousands a second.
func BenchmarkObserveGap(b *testing.B) {
	model := new(cost.Model)
	now := observe(model, 50, equal)
	n := 0
	for b.Loop() {
		n++
		model.ObserveGap(now.Add(time.Duration(n)*time.Millisecond), upstream(n%50), n%30, 10, time.Duration(30+n%20)*time.Millisecond)
	}
}

func BenchmarkFirstEvent(b *testing.B) {
	model := new(cost.Model)
	now := observe(model, 50, equal)
	n := 0
	for b.Loop() {
		n++
		model.FirstEvent(now, upstream(n%50), cost.Work{Prefill: ident.Tokens(n % 4000), Remote: 500})
	}
}

func BenchmarkObserveOutput(b *testing.B) {
	model := new(cost.Model)
	n := 0
	for b.Loop() {
		n++
		model.ObserveOutput(start.Add(time.Duration(n)*time.Millisecond), cost.Request{Route: "r", Workspace: "w", Hint: ident.Tokens(n % 500), MaxOutput: 4096}, 1+n%700)
	}
}
