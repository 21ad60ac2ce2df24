package placement_test

import (
	"fmt"
	"reflect"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"github.com/hickoryhead/hickoryhead/ident"
	"github.com/hickoryhead/hickoryhead/placement"
)

func drawEngines(t *rapid.T) []placement.Engine {
	engines := make([]placement.Engine, 0, 30)
	for i := range rapid.IntRange(0, 30).Draw(t, "engines") {
		engines = append(engines, placement.Engine{
			Upstream: ident.UpstreamID(fmt.Sprintf("engine-%d", i)),
			Zone:     ident.Zone(fmt.Sprintf("zone-%d", rapid.IntRange(0, 2).Draw(t, "zone"))),
			Model:    ident.ModelName(fmt.Sprintf("model-%d", rapid.IntRange(0, 4).Draw(t, "model"))),
		})
	}
	return engines
}

func drawDemands(t *rapid.T) map[ident.ModelName]int {
	demands := make(map[ident.ModelName]int)
	for i := range 5 {
		if rapid.Bool().Draw(t, "wanted") {
			demands[ident.ModelName(fmt.Sprintf("model-%d", i))] = rapid.IntRange(0, 12).Draw(t, "replicas")
		}
	}
	return demands
}

// countByModel returns the number of engines that serve each model.
func countByModel(engines []placement.Engine) map[ident.ModelName]int {
	counts := make(map[ident.ModelName]int)
	for _, engine := range engines {
		counts[engine.Model]++
	}
	return counts
}

// applyPlan returns the engines after the moves of a plan.
func applyPlan(engines []placement.Engine, plan placement.Plan) []placement.Engine {
	moved := slices.Clone(engines)
	for _, move := range plan.Moves {
		for i := range moved {
			if moved[i].Upstream == move.Upstream {
				moved[i].Model = move.To
			}
		}
	}
	return moved
}

func TestPlanMovesFewestAndTakesFromNoneInNeed(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		engines, demands := drawEngines(t), drawDemands(t)
		plan := placement.New(demands, engines)
		missing, spare := 0, 0
		counts := countByModel(engines)
		for model, count := range counts {
			spare += max(0, count-demands[model])
		}
		for model, demand := range demands {
			missing += max(0, demand-counts[model])
		}
		if got, want := len(plan.Moves), min(missing, spare); got != want {
			t.Fatalf("got %d moves, want %d: %d engines missing, %d to spare", got, want, missing, spare)
		}
		planned := countByModel(applyPlan(engines, plan))
		for model, count := range counts {
			if got, want := planned[model], min(count, demands[model]); got < want {
				t.Fatalf("got %d engines of %s left, want at least %d", got, model, want)
			}
		}
		for model, demand := range demands {
			if got, want := plan.Shortfall[model], max(0, demand-planned[model]); got != want {
				t.Fatalf("%s: got a shortfall of %d engines, want %d", model, got, want)
			}
		}
		if again := placement.New(demands, applyPlan(engines, plan)); len(again.Moves) != 0 {
			t.Fatalf("got moves %v after the plan was applied, want none", again.Moves)
		}
	})
}

func TestPlanDoesNotDependOnTheOrderOfEngines(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		engines, demands := drawEngines(t), drawDemands(t)
		shuffled := rapid.Permutation(engines).Draw(t, "shuffled")
		if got, want := placement.New(demands, shuffled), placement.New(demands, engines); !reflect.DeepEqual(got, want) {
			t.Fatalf("got %v, want %v", got, want)
		}
	})
}

func TestPlanSpreadsOverZones(t *testing.T) {
	var engines []placement.Engine
	for i := range 9 {
		engines = append(engines, placement.Engine{
			Upstream: ident.UpstreamID(fmt.Sprintf("engine-%d", i)),
			Zone:     ident.Zone(fmt.Sprintf("zone-%d", i%3)),
			Model:    "rota-4b@1",
		})
	}
	plan := placement.New(map[ident.ModelName]int{"rota-4b@1": 6, "planogram-7b@3": 3}, engines)
	zones := make(map[ident.Zone]int)
	for _, engine := range applyPlan(engines, plan) {
		if engine.Model == "planogram-7b@3" {
			zones[engine.Zone]++
		}
	}
	if got, want := len(zones), 3; got != want {
		t.Errorf("got the model in %d availability zones, want %d", got, want)
	}
}
