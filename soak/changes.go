package soak

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/hickoryhead/hickoryhead/ident"
	"github.com/hickoryhead/hickoryhead/routing"
)

const (
	// changeStream is the stream of random numbers that draws series of changes, and
	// seriesInterval to how many faults there is one of them.
	changeStream   = 1 << 42
	seriesInterval = 4
	// maxSeries bounds the changes of a series, and maxChangeGap the pause between two of them.
	maxSeries    = 8
	maxChangeGap = 400 * time.Millisecond
	// shortIdleTimeout is the idle timeout, in milliseconds, around which callers pause, and
	// longIdleTimeout one that they don't reach.
	shortIdleTimeout = 1000
	longIdleTimeout  = 15000
	// crowdedRoutes is how many routes a configuration may have beside those in use.
	crowdedRoutes = 1000
	// changingPath is the path of the route that variants change, otherService the service that
	// it is split with, which has one upstream without faults, and changingKey an API key that
	// they add and remove.
	changingPath = "/changing/"
	otherService = "other"
	changingKey  = "key-2"
)

// variant is what distinguishes configurations apart from their versions.
type variant struct {
	idleTimeout ident.Milliseconds
	// timeout and weight are those of the route to changingPath, which is removed while
	// removed is set.
	timeout ident.Milliseconds
	weight  int
	removed bool
	// moreRoutes is the number of routes that no caller uses.
	moreRoutes int
	hasKey     bool
	// maxConnections limits the connections to an upstream of the pool.
	maxConnections int
}

// firstVariant returns the variant that a soak starts with. Half of the seeds have the short idle
// timeout.
func firstVariant(seed uint64) variant {
	idleTimeouts := []ident.Milliseconds{shortIdleTimeout, longIdleTimeout}
	return variant{idleTimeout: idleTimeouts[seed%2], timeout: routeTimeout, weight: 1, maxConnections: 400}
}

// routes returns the routes that variants change.
func (variant *variant) routes(route func(name ident.RouteName, prefix string, kind routing.Kind, attempts int) routing.Route) []routing.Route {
	var routes []routing.Route
	if !variant.removed {
		changing := route("changing", changingPath, routing.Idempotent, maxAttempts)
		changing.Timeout = variant.timeout
		changing.Shares = []routing.Share{{Service: poolService, Weight: variant.weight}, {Service: otherService, Weight: 1}}
		routes = append(routes, changing)
	}
	for n := range variant.moreRoutes {
		routes = append(routes, route(ident.RouteName(fmt.Sprint("more-", n)), fmt.Sprintf("/more/%d/", n), routing.Idempotent, maxAttempts))
	}
	return routes
}

// idleTimeout returns the idle timeout of the newest configuration, or the short one if callers don't
// reach that.
func (soak *Soak) idleTimeout() time.Duration {
	soak.configuring.Lock()
	defer soak.configuring.Unlock()
	if soak.variant.idleTimeout == longIdleTimeout {
		return shortIdleTimeout * time.Millisecond
	}
	return soak.variant.idleTimeout.Duration()
}

// workspaces returns the workspaces with their keys.
func (variant *variant) workspaces() []routing.Workspace {
	keys := []string{apiKey}
	if variant.hasKey {
		keys = append(keys, changingKey)
	}
	return []routing.Workspace{{ID: "t", Keys: keys}}
}

// change is one change of the configuration. Its name appears in the report.
type change struct {
	name  string
	apply func(variant *variant, number int)
}

// changes are the kinds of changes. Their number is random.
var changes = []change{
	{"same again", func(*variant, int) {}},
	{"route added or removed", func(variant *variant, _ int) { variant.removed = !variant.removed }},
	{"weights", func(variant *variant, number int) { variant.weight = number % 10 }},
	{"timeout", func(variant *variant, number int) {
		variant.timeout = []ident.Milliseconds{routeTimeout, routeTimeout / 2}[number%2]
	}},
	{"key added or removed", func(variant *variant, _ int) { variant.hasKey = !variant.hasKey }},
	{"connection limit", func(variant *variant, number int) { variant.maxConnections = []int{100, 400}[number%2] }},
	{"many routes", func(variant *variant, number int) { variant.moreRoutes = []int{0, crowdedRoutes}[number%2] }},
	{"idle timeout", changeIdleTimeout},
	{"idle timeout shortened", shortenIdleTimeout},
}

func changeIdleTimeout(variant *variant, number int) {
	variant.idleTimeout = []ident.Milliseconds{shortIdleTimeout / 2, shortIdleTimeout, 2 * shortIdleTimeout, longIdleTimeout}[number%4]
}

// shortenIdleTimeout makes the idle timeout one that callers pass.
func shortenIdleTimeout(variant *variant, number int) {
	variant.idleTimeout = []ident.Milliseconds{shortIdleTimeout / 2, shortIdleTimeout}[number%2]
}

// series is a number of changes, one after the other.
type series struct {
	schedule *schedule
	steps    []seriesStep
	gap      time.Duration
}

// seriesStep is a change of a series and the random number that it gets.
type seriesStep struct {
	change change
	number int
}

// changeInSeries has the operator change the configuration several times, half of the times
// without a pause.
func (schedule *schedule) changeInSeries() {
	series := newSeries(schedule, schedule.changes)
	schedule.active.Add(1)
	go series.run()
}

func newSeries(schedule *schedule, random *rand.Rand) *series {
	series := &series{schedule: schedule}
	for range 1 + random.IntN(maxSeries) {
		series.steps = append(series.steps, seriesStep{change: changes[random.IntN(len(changes))], number: random.IntN(1000)})
	}
	if random.IntN(2) == 0 {
		series.gap = time.Duration(random.Int64N(int64(maxChangeGap)))
	}
	return series
}

func (series *series) run() {
	defer series.schedule.active.Done()
	soak := series.schedule.soak
	for _, step := range series.steps {
		soak.countPlanned("configuration changed: " + step.change.name)
		soak.reconfigure(func(variant *variant) { step.change.apply(variant, step.number) })
		time.Sleep(series.gap)
	}
}
