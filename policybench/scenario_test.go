package policybench

import (
	"slices"

	"github.com/hickoryhead/hickoryhead/ident"
	"github.com/hickoryhead/hickoryhead/result"
	"github.com/hickoryhead/hickoryhead/retry"
)

// scenario describes the load of a run and the events that hit the pool.
type scenario struct {
	name string
	// seconds is the length of the measurement; zero means measureSeconds.
	seconds float64
	// limit is the number of requests that an engine runs at a time.
	limit int
	// scheduleEvents schedules the events; nil means none.
	scheduleEvents func(simulation *simulation)
	// arrivalFactor returns the factor by which the arrival rate of workspace i
	// is multiplied, at a time in seconds since the start; nil means 1.
	arrivalFactor func(i int, at float64) float64
}

// Limits of an engine: wideLimit is far above the load, batch requests fill
// tightLimit, and the surge exceeds surgeLimit.
const (
	wideLimit  = 64
	tightLimit = 16
	surgeLimit = 12
)

// surgingIndex is the index of the workspace that surges. It has 17 % of the
// traffic.
const surgingIndex = 1

func scenarios() []scenario {
	return []scenario{
		{name: "steady", limit: wideLimit},
		{name: "churn", limit: wideLimit, scheduleEvents: func(simulation *simulation) { simulation.repeat(60, simulation.crashEngine) }},
		{name: "flap", limit: wideLimit, scheduleEvents: func(simulation *simulation) { simulation.repeat(10, simulation.hideEngine) }},
		{name: "rolling", limit: wideLimit, scheduleEvents: func(simulation *simulation) { simulation.repeat(10, simulation.replaceEngine) }},
		{name: "join", limit: wideLimit, scheduleEvents: func(simulation *simulation) { simulation.clock.after(warmUpSeconds+30, simulation.growPool) }},
		{name: "calm", limit: surgeLimit},
		{name: "surge", limit: surgeLimit, arrivalFactor: surge},
		{name: "ramp", limit: wideLimit, arrivalFactor: ramp, seconds: 40},
		{name: "overnight", limit: tightLimit, scheduleEvents: func(simulation *simulation) { simulation.scheduleBatch() }},
	}
}

func scenarioNamed(name string) scenario {
	all := scenarios()
	return all[slices.IndexFunc(all, func(scenario scenario) bool { return scenario.name == name })]
}

// surge multiplies the arrivals of one workspace by 5, 30 s after the warm-up.
func surge(i int, at float64) float64 {
	if i == surgingIndex && at > warmUpSeconds+30 {
		return 5
	}
	return 1
}

// ramp keeps the pool nearly idle and then opens many chats within seconds.
func ramp(_ int, at float64) float64 {
	const idle, peak = 0.05, 25.0
	since := at - warmUpSeconds - 10
	if since < 0 || since > 8 {
		return idle
	}
	return idle + (peak-idle)*min(1, since)
}

// repeat calls act periodically, first half a period after the warm-up.
func (simulation *simulation) repeat(seconds float64, act func()) {
	var repeated func()
	repeated = func() {
		act()
		simulation.clock.after(seconds, repeated)
	}
	simulation.clock.after(warmUpSeconds+seconds/2, repeated)
}

func (simulation *simulation) randomEngine() *engine {
	return simulation.live[simulation.rand.IntN(len(simulation.live))]
}

// crashEngine removes a random engine together with its requests, retries these,
// and adds another engine.
func (simulation *simulation) crashEngine() {
	lost := simulation.randomEngine()
	simulation.removeEngine(lost)
	running := sorted(lost.running)
	queued := sorted(lost.queued)
	clear(lost.running)
	clear(lost.queued)
	for _, request := range append(running, queued...) {
		simulation.retryLost(request)
	}
	simulation.addEngine()
	simulation.publishPool()
}

// sorted returns the requests in the order of their attempts, so that a run does
// not depend on the order of the map.
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

// retryLost retries a request whose engine crashed, if the retry budget permits.
func (simulation *simulation) retryLost(request *request) {
	now := simulation.clock.now
	action := retry.Next(now, retry.Attempt{
		Code: result.UpstreamFailed, Idempotent: true, Deadline: request.deadline, Tried: 1, Candidates: len(simulation.live),
	})
	if action == retry.Budgeted && request.router.budget.Spend(now) {
		simulation.stats.retries += simulation.countAfterWarmUp(1)
		simulation.place(request)
		return
	}
	simulation.stats.failures += simulation.countAfterWarmUp(1)
}

// removeEngine removes an engine from the pool permanently.
func (simulation *simulation) removeEngine(removed *engine) {
	removed.removed = true
	simulation.live = slices.DeleteFunc(slices.Clone(simulation.live), func(other *engine) bool { return other == removed })
}

// hideEngine publishes a pool without a random engine to the routers, and the
// complete pool maxViewLagSeconds later. Each router applies both with its own
// lag.
func (simulation *simulation) hideEngine() {
	hidden := simulation.randomEngine()
	live := simulation.live
	simulation.live = slices.DeleteFunc(slices.Clone(live), func(other *engine) bool { return other == hidden })
	simulation.publishPool()
	simulation.live = live
	simulation.clock.after(maxViewLagSeconds, simulation.publishPool)
}

// replaceEngine lets a random engine leave as planned and adds another one.
func (simulation *simulation) replaceEngine() {
	leaver := simulation.randomEngine()
	if leaver.leaving {
		return
	}
	leaver.leaving = true
	for _, start := range leaver.controller.Leave() {
		request := leaver.queued[start.Attempt]
		delete(leaver.queued, start.Attempt)
		simulation.place(request)
	}
	simulation.live = slices.DeleteFunc(slices.Clone(simulation.live), func(other *engine) bool { return other == leaver })
	simulation.addEngine()
	simulation.publishPool()
	if simulation.policy.pushAtLeave {
		simulation.clock.after(pushDelaySeconds, leaver.pushPrefixes)
	}
	leaver.stopIfDrained()
}

// pushTokensPerSecond is the rate at which a leaving engine pushes prefixes to
// other engines.
const pushTokensPerSecond = transferBytesPerSecond / bytesPerToken

// A leaving engine stays for leaveDelaySeconds after its last request, so that
// others can fetch prefixes from it. pushDelaySeconds after it began to leave it
// pushes up to a tenth of its cache: pushing more would evict more on the other
// engines than it saves.
const (
	leaveDelaySeconds = 10.0
	pushDelaySeconds  = 8.0
	maxPushTokens     = cacheCapacityTokens / 10
)

// pushPrefixes sends the prefixes of the chats that are most likely to continue,
// each to the first upstream in the rendezvous order of its chat.
func (engine *engine) pushPrefixes() {
	simulation := engine.simulation
	pool := simulation.currentPool()
	seconds := 0.0
	for _, cached := range engine.index.Hottest(simulation.clock.now, 512, maxPushTokens) {
		seconds += float64(cached.Tokens) / pushTokensPerSecond
		var order [1]int
		pool.Rank(cached.Chat, "", order[:])
		next := simulation.engines[pool.At(order[0]).Upstream]
		simulation.clock.after(seconds, func() {
			if engine.cache.peek(cached.Chat) < cached.Tokens || next.removed || !next.index.WantsImport(cached) {
				return
			}
			next.cache.put(cached.Chat, cached.Tokens)
			next.index.RecordUse(simulation.clock.now, cached.Chat, cached.Tokens)
			simulation.stats.pushedPrefixes += simulation.countAfterWarmUp(1)
		})
	}
}

// stopIfDrained removes a leaving engine leaveDelaySeconds after its last
// request, so that it has time to push its prefixes.
func (engine *engine) stopIfDrained() {
	if !engine.leaving || len(engine.running) > 0 {
		return
	}
	engine.simulation.clock.after(leaveDelaySeconds, func() { engine.removed = true })
}

// growPool adds a quarter of the initial number of engines at once.
func (simulation *simulation) growPool() {
	for range max(1, simulation.size/4) {
		simulation.addEngine()
	}
	simulation.publishPool()
}

// scheduleBatch schedules batch requests at the rate of all other requests
// together.
func (simulation *simulation) scheduleBatch() {
	perSecond := targetLoad / meanDecodeSeconds * float64(simulation.size)
	simulation.clock.after(simulation.arrivals.ExpFloat64()/perSecond, func() {
		simulation.openChat(batchWorkspace, batchPriority, 1)
		simulation.scheduleBatch()
	})
}
