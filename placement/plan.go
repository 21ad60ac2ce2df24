package placement

import (
	"cmp"
	"maps"
	"slices"

	"github.com/hickoryhead/hickoryhead/ident"
	"github.com/hickoryhead/hickoryhead/settings"
)

// Engine is one engine that takes orders, with the model that it holds or is
// loading.
type Engine struct {
	Upstream ident.UpstreamID
	Zone     ident.Zone
	Model    ident.ModelName
	// Fixed says that the engine cannot be moved now.
	Fixed bool
}

// Move is an engine that shall hold another model.
type Move struct {
	Upstream ident.UpstreamID
	From     ident.ModelName
	To       ident.ModelName
}

// Plan is what leads from the engines as they are to the settings.
type Plan struct {
	Moves []Move
	// Short holds the number of engines that each model lacks still after the
	// moves, because no other model has one to spare.
	Short map[ident.ModelName]int
}

// Demands returns how many engines shall hold each model. Teams share engines,
// so that the highest number of any team counts.
func Demands(view *settings.View) map[ident.ModelName]int {
	demands := make(map[ident.ModelName]int)
	for _, team := range view.TeamIDs() {
		for _, placed := range view.Team(team).Placements {
			demands[placed.Model] = max(demands[placed.Model], placed.Replicas)
		}
	}
	return demands
}

// New returns the plan with the fewest moves. An engine is spared by a model
// that has more than its demand, a model without demand first, and goes to the
// model that has the smallest share of its demand. It leaves the zone where its
// model has most engines, and joins one where the other has few. The plan
// depends on nothing else.
func New(demands map[ident.ModelName]int, engines []Engine) Plan {
	planner := newPlanner(demands, engines)
	for {
		to, short := planner.neediest()
		if !short {
			break
		}
		engine, found := planner.spare(to)
		if !found {
			break
		}
		planner.move(engine, to)
	}
	return Plan{Moves: planner.moves, Short: planner.short()}
}

type planner struct {
	demands map[ident.ModelName]int
	engines map[ident.UpstreamID]Engine
	order   []ident.UpstreamID
	held    map[ident.ModelName]int
	zoned   map[modelZone]int
	moved   map[ident.UpstreamID]bool
	moves   []Move
}

type modelZone struct {
	model ident.ModelName
	zone  ident.Zone
}

func newPlanner(demands map[ident.ModelName]int, engines []Engine) *planner {
	planner := &planner{
		demands: demands,
		engines: make(map[ident.UpstreamID]Engine, len(engines)),
		held:    make(map[ident.ModelName]int),
		zoned:   make(map[modelZone]int),
		moved:   make(map[ident.UpstreamID]bool),
	}
	for _, engine := range engines {
		planner.engines[engine.Upstream] = engine
		planner.count(engine, 1)
	}
	planner.order = slices.Sorted(maps.Keys(planner.engines))
	return planner
}

func (planner *planner) count(engine Engine, change int) {
	planner.held[engine.Model] += change
	planner.zoned[modelZone{engine.Model, engine.Zone}] += change
}

// neediest returns the model with the smallest share of its demand, and false
// where every demand is met.
func (planner *planner) neediest() (ident.ModelName, bool) {
	var neediest ident.ModelName
	least := 1.0
	for _, model := range slices.Sorted(maps.Keys(planner.demands)) {
		demand := planner.demands[model]
		if demand <= planner.held[model] {
			continue
		}
		if share := float64(planner.held[model]) / float64(demand); share < least {
			neediest, least = model, share
		}
	}
	return neediest, least < 1
}

// spare returns the engine to move to a model, and false where none can be spared.
func (planner *planner) spare(to ident.ModelName) (Engine, bool) {
	var best Engine
	found := false
	for _, upstream := range planner.order {
		engine := planner.engines[upstream]
		if engine.Fixed || planner.moved[upstream] || planner.held[engine.Model] <= planner.demands[engine.Model] {
			continue
		}
		if !found || planner.compare(engine, best, to) < 0 {
			best, found = engine, true
		}
	}
	return best, found
}

// compare is negative where one is better spared than other.
func (planner *planner) compare(one, other Engine, to ident.ModelName) int {
	return cmp.Or(
		cmp.Compare(min(planner.demands[one.Model], 1), min(planner.demands[other.Model], 1)),
		cmp.Compare(planner.zoned[modelZone{to, one.Zone}], planner.zoned[modelZone{to, other.Zone}]),
		cmp.Compare(planner.zoned[modelZone{other.Model, other.Zone}], planner.zoned[modelZone{one.Model, one.Zone}]),
	)
}

func (planner *planner) move(engine Engine, to ident.ModelName) {
	planner.moves = append(planner.moves, Move{Upstream: engine.Upstream, From: engine.Model, To: to})
	planner.moved[engine.Upstream] = true
	planner.count(engine, -1)
	engine.Model = to
	planner.engines[engine.Upstream] = engine
	planner.count(engine, 1)
}

func (planner *planner) short() map[ident.ModelName]int {
	short := make(map[ident.ModelName]int)
	for model, demand := range planner.demands {
		if lacks := demand - planner.held[model]; lacks > 0 {
			short[model] = lacks
		}
	}
	return short
}
