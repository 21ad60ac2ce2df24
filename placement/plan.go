package placement

import (
	"cmp"
	"maps"
	"slices"

	"github.com/hickoryhead/hickoryhead/ident"
	"github.com/hickoryhead/hickoryhead/settings"
)

// Engine is an engine that accepts orders, with the model that it serves or is
// loading.
type Engine struct {
	Upstream ident.UpstreamID
	Zone     ident.Zone
	Model    ident.ModelName
	// Fixed says that the engine must not be moved now.
	Fixed bool
}

// Move is the change of an engine from one model to another.
type Move struct {
	Upstream ident.UpstreamID
	From     ident.ModelName
	To       ident.ModelName
}

// Plan is the list of moves from the current models of the engines to the
// placements in the settings.
type Plan struct {
	Moves []Move
	// Shortfall is the number of engines that each model still lacks after the
	// moves because no other model has one to spare. Models that lack none are
	// absent.
	Shortfall map[ident.ModelName]int
}

// Demands returns the number of engines that each model needs. Teams share
// engines, so this is the highest number that any team has set.
func Demands(view *settings.View) map[ident.ModelName]int {
	demands := make(map[ident.ModelName]int)
	for _, team := range view.TeamIDs() {
		for _, placed := range view.Team(team).Placements {
			demands[placed.Model] = max(demands[placed.Model], placed.Replicas)
		}
	}
	return demands
}

// New returns the plan with the fewest moves. Engines are taken from models that
// have more than their demand, from models without demand first, and given to
// the model with the smallest share of its demand. Among these engines New
// prefers availability zones where the new model has fewest engines, and then
// those where the old model has most. The plan is deterministic and doesn't
// depend on the order of engines.
func New(demands map[ident.ModelName]int, engines []Engine) Plan {
	planner := newPlanner(demands, engines)
	for {
		to, found := planner.leastSupplied()
		if !found {
			break
		}
		engine, found := planner.spareEngine(to)
		if !found {
			break
		}
		planner.move(engine, to)
	}
	return Plan{Moves: planner.moves, Shortfall: planner.shortfall()}
}

type planner struct {
	demands map[ident.ModelName]int
	// engines holds the engines with their models after the moves so far.
	engines map[ident.UpstreamID]Engine
	// upstreams holds the keys of engines in ascending order.
	upstreams []ident.UpstreamID
	// replicas and zoneReplicas count the engines of each model, in total and in
	// each availability zone.
	replicas     map[ident.ModelName]int
	zoneReplicas map[modelZone]int
	moved        map[ident.UpstreamID]bool
	moves        []Move
}

type modelZone struct {
	model ident.ModelName
	zone  ident.Zone
}

func newPlanner(demands map[ident.ModelName]int, engines []Engine) *planner {
	planner := &planner{
		demands:      demands,
		engines:      make(map[ident.UpstreamID]Engine, len(engines)),
		replicas:     make(map[ident.ModelName]int),
		zoneReplicas: make(map[modelZone]int),
		moved:        make(map[ident.UpstreamID]bool),
	}
	for _, engine := range engines {
		planner.engines[engine.Upstream] = engine
		planner.addReplicas(engine, 1)
	}
	planner.upstreams = slices.Sorted(maps.Keys(planner.engines))
	return planner
}

// addReplicas adds delta to the counts of the engine's model.
func (planner *planner) addReplicas(engine Engine, delta int) {
	planner.replicas[engine.Model] += delta
	planner.zoneReplicas[modelZone{engine.Model, engine.Zone}] += delta
}

// leastSupplied returns the model with the smallest share of its demand, or false
// if every demand is met.
func (planner *planner) leastSupplied() (ident.ModelName, bool) {
	var leastSupplied ident.ModelName
	leastShare := 1.0
	for _, model := range slices.Sorted(maps.Keys(planner.demands)) {
		demand := planner.demands[model]
		if demand <= planner.replicas[model] {
			continue
		}
		if share := float64(planner.replicas[model]) / float64(demand); share < leastShare {
			leastSupplied, leastShare = model, share
		}
	}
	return leastSupplied, leastShare < 1
}

// spareEngine returns the engine to move to a model, or false if no model has one
// to spare.
func (planner *planner) spareEngine(to ident.ModelName) (Engine, bool) {
	var best Engine
	found := false
	for _, upstream := range planner.upstreams {
		engine := planner.engines[upstream]
		if engine.Fixed || planner.moved[upstream] || planner.replicas[engine.Model] <= planner.demands[engine.Model] {
			continue
		}
		if !found || planner.compareSpares(engine, best, to) < 0 {
			best, found = engine, true
		}
	}
	return best, found
}

// compareSpares returns a negative number if moving a to the model is better than
// moving b, in the order of preference that New documents.
func (planner *planner) compareSpares(a, b Engine, to ident.ModelName) int {
	return cmp.Or(
		cmp.Compare(min(planner.demands[a.Model], 1), min(planner.demands[b.Model], 1)),
		cmp.Compare(planner.zoneReplicas[modelZone{to, a.Zone}], planner.zoneReplicas[modelZone{to, b.Zone}]),
		cmp.Compare(planner.zoneReplicas[modelZone{b.Model, b.Zone}], planner.zoneReplicas[modelZone{a.Model, a.Zone}]),
	)
}

func (planner *planner) move(engine Engine, to ident.ModelName) {
	planner.moves = append(planner.moves, Move{Upstream: engine.Upstream, From: engine.Model, To: to})
	planner.moved[engine.Upstream] = true
	planner.addReplicas(engine, -1)
	engine.Model = to
	planner.engines[engine.Upstream] = engine
	planner.addReplicas(engine, 1)
}

func (planner *planner) shortfall() map[ident.ModelName]int {
	shortfall := make(map[ident.ModelName]int)
	for model, demand := range planner.demands {
		if missing := demand - planner.replicas[model]; missing > 0 {
			shortfall[model] = missing
		}
	}
	return shortfall
}
