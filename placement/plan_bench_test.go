package placement_test

import (
	"fmt"
	"testing"

	"github.com/hickoryhead/hickoryhead/ident"
	"github.com/hickoryhead/hickoryhead/placement"
)

// BenchmarkPlan measures a plan that has to move a tenth of the engines, as after
// a change of a placement, and one without moves.
func BenchmarkPlan(b *testing.B) {
	for _, size := range []int{230, 690, 2300} {
		benchmarkPlan(b, size, true)
		benchmarkPlan(b, size, false)
	}
}

// benchmarkPlan measures a plan for size engines, with or without moves.
func benchmarkPlan(b *testing.B, size int, moving bool) {
	const models = 11
	b.Run(fmt.Sprintf("engines=%d/moving=%t", size, moving), func(b *testing.B) {
		engines := make([]placement.Engine, size)
		for i := range engines {
			engines[i] = placement.Engine{
				Upstream: ident.UpstreamID(fmt.Sprintf("engine-%d", i)),
				Zone:     ident.Zone(fmt.Sprintf("zone-%d", i%8)),
				Model:    ident.ModelName(fmt.Sprintf("model-%d", i%models)),
			}
		}
		demands := make(map[ident.ModelName]int, models)
		for i := range models {
			demands[ident.ModelName(fmt.Sprintf("model-%d", i))] = size / models
		}
		if moving {
			demands["model-0"] += size / 10
			demands["model-1"] -= size / 11
		}
		b.ReportAllocs()
		for b.Loop() {
			if plan := placement.New(demands, engines); (len(plan.Moves) > 0) != moving {
				b.Fatalf("got %d moves, want some only if the demands have changed", len(plan.Moves))
			}
		}
	})
}
