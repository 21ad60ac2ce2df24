package policybench

import (
	"slices"

	"github.com/hickoryhead/hickoryhead/ident"
	"github.com/hickoryhead/hickoryhead/result"
	"github.com/hickoryhead/hickoryhead/retry"
)

// scenario is what happens to the pool.
type scenario struct {
	name string
	// seconds is how long is measured; zero means measureFor.
	seconds float64
	// limit is the engines' limit.
	limit int
	// begin schedules the faults.
	begin func(bench *bench)
	// rate multiplies the arrivals of workspace i at a time in seconds.
	rate func(i int, at float64) float64
}

// The limit of an engine: one far from the load, one that batch work fills, and
// one that the surge goes beyond.
const (
	wideLimit  = 64
	tightLimit = 16
	surgeLimit = 12
)

// surging is the workspace that surges, with 17 of 100 parts of the traffic.
const surging = 1

func scenarios() []scenario {
	return []scenario{
		{name: "steady", limit: wideLimit},
		{name: "churn", limit: wideLimit, begin: func(bench *bench) { bench.every(60, bench.lose) }},
		{name: "flap", limit: wideLimit, begin: func(bench *bench) { bench.every(10, bench.flap) }},
		{name: "rolling", limit: wideLimit, begin: func(bench *bench) { bench.every(10, bench.replace) }},
		{name: "join", limit: wideLimit, begin: func(bench *bench) { bench.clock.after(warmUp+30, bench.grow) }},
		{name: "calm", limit: surgeLimit},
		{name: "surge", limit: surgeLimit, rate: surge},
		{name: "ramp", limit: wideLimit, rate: ramp, seconds: 40},
		{name: "overnight", limit: tightLimit, begin: func(bench *bench) { bench.tag() }},
	}
}

func scenarioNamed(name string) scenario {
	all := scenarios()
	return all[slices.IndexFunc(all, func(scenario scenario) bool { return scenario.name == name })]
}

func surge(i int, at float64) float64 {
	if i == surging && at > warmUp+30 {
		return 5
	}
	return 1
}

// ramp leaves the pool nearly idle and then opens many chats within seconds.
func ramp(_ int, at float64) float64 {
	const idle, most = 0.05, 25.0
	since := at - warmUp - 10
	if since < 0 || since > 8 {
		return idle
	}
	return idle + (most-idle)*min(1, since)
}

func (bench *bench) every(seconds float64, act func()) {
	var again func()
	again = func() {
		act()
		bench.clock.after(seconds, again)
	}
	bench.clock.after(warmUp+seconds/2, again)
}

func (bench *bench) any() *engine { return bench.live[bench.rand.IntN(len(bench.live))] }

// lose takes an engine away under its work; another one joins.
func (bench *bench) lose() {
	lost := bench.any()
	bench.remove(lost)
	running := sorted(lost.running)
	queued := sorted(lost.queued)
	clear(lost.running)
	clear(lost.queued)
	for _, request := range append(running, queued...) {
		bench.again(request)
	}
	bench.join()
	bench.announce()
}

// sorted returns the requests in the order of their attempts.
func sorted(requests map[ident.AttemptID]*request) []*request {
	var listed []*request
	for _, request := range requests {
		listed = append(listed, request)
	}
	slices.SortFunc(listed, func(a, b *request) int {
		if len(a.attempt) != len(b.attempt) {
			return len(a.attempt) - len(b.attempt)
		}
		if a.attempt < b.attempt {
			return -1
		}
		return 1
	})
	return listed
}

// again retries a request whose upstream was lost.
func (bench *bench) again(request *request) {
	now := bench.clock.now
	action := retry.Next(now, retry.Attempt{
		Code: result.UpstreamFailed, Idempotent: true, Deadline: request.deadline, Tried: 1, Candidates: len(bench.live),
	})
	if action == retry.Budgeted && request.router.budget.Spend(now) {
		bench.counts.retries += bench.measured(1)
		bench.place(request)
		return
	}
	bench.counts.failures += bench.measured(1)
}

// remove takes an engine out of the pool for good.
func (bench *bench) remove(engine *engine) {
	engine.gone = true
	bench.live = slices.DeleteFunc(slices.Clone(bench.live), func(other *engineAlias) bool { return other == engine })
}

type engineAlias = engine

// flap lets the routers' list miss an engine, each for a while of its own.
func (bench *bench) flap() {
	missing := bench.any()
	live := bench.live
	bench.live = slices.DeleteFunc(slices.Clone(live), func(other *engineAlias) bool { return other == missing })
	bench.announce()
	bench.live = live
	bench.clock.after(viewLag, bench.announce)
}

// replace lets an engine leave as planned; another one joins.
func (bench *bench) replace() {
	leaver := bench.any()
	if leaver.leaving {
		return
	}
	leaver.leaving = true
	for _, start := range leaver.controller.Leave() {
		request := leaver.queued[start.Attempt]
		delete(leaver.queued, start.Attempt)
		bench.place(request)
	}
	bench.live = slices.DeleteFunc(slices.Clone(bench.live), func(other *engineAlias) bool { return other == leaver })
	bench.join()
	bench.announce()
	if bench.policy.push {
		bench.clock.after(passAfter, leaver.pass)
	}
	leaver.stopIfDrained()
}

// passRate is the tokens that a leaving engine passes on in a second.
const passRate = transferRate / tokenBytes

// A leaving engine stays for passFor seconds after its last request, so that
// others can fetch from it. It passes a tenth of its cache on, passAfter seconds
// after it began to leave: more evicts more elsewhere than it saves.
const (
	passFor    = 10.0
	passAfter  = 8.0
	passTokens = cacheTokens / 10
)

// pass sends the hottest prefixes to the next upstream in each chat's order.
func (engine *engine) pass() {
	bench := engine.bench
	pool := bench.view()
	seconds := 0.0
	for _, cached := range engine.index.Hottest(bench.clock.now, 512, passTokens) {
		seconds += float64(cached.Tokens) / passRate
		var order [1]int
		pool.Rank(cached.Chat, "", order[:])
		next := bench.engines[pool.At(order[0]).Upstream]
		bench.clock.after(seconds, func() {
			if engine.cache.peek(cached.Chat) < cached.Tokens || next.gone || !next.index.WantsImport(cached) {
				return
			}
			next.cache.put(cached.Chat, cached.Tokens)
			next.index.RecordUse(bench.clock.now, cached.Chat, cached.Tokens)
			bench.counts.pushed += bench.measured(1)
		})
	}
}

// stopIfDrained ends a leaving engine after its last request, and not before it
// had the time to pass its prefixes on.
func (engine *engine) stopIfDrained() {
	if !engine.leaving || len(engine.running) > 0 {
		return
	}
	engine.bench.clock.after(passFor, func() { engine.gone = true })
}

// grow adds a quarter more engines at once.
func (bench *bench) grow() {
	for range max(1, bench.size/4) {
		bench.join()
	}
	bench.announce()
}

// tag offers batch work at the rate of all other work together.
func (bench *bench) tag() {
	perSecond := meanLoad / decodeMean * float64(bench.size)
	bench.clock.after(bench.arrivals.ExpFloat64()/perSecond, func() {
		bench.open(night, batch, 1)
		bench.tag()
	})
}
