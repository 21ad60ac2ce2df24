package policybench

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/hickoryhead/hickoryhead/admission"
	"github.com/hickoryhead/hickoryhead/affinity"
	"github.com/hickoryhead/hickoryhead/ident"
	"github.com/hickoryhead/hickoryhead/prefix"
	"github.com/hickoryhead/hickoryhead/result"
	"github.com/hickoryhead/hickoryhead/retry"
)

// The workload: about 10 requests in flight on each upstream; a chat returns
// four times on average, mostly within a minute.
const (
	workspaceCount     = 10
	warmUpSeconds      = 300.0
	measureSeconds     = 240.0
	skewSampleSeconds  = 0.1
	expirySeconds      = 0.1
	targetLoad         = 11.0
	meanServiceSeconds = meanDecodeSeconds + 0.3
	returnProbability  = 0.8
	turnTokens         = 500
	requestTimeout     = 60 * time.Second
	maxViewLagSeconds  = 5.0
)

// Priority and workspace of the batch requests.
const (
	batchPriority  = ident.Priority("batch")
	batchWorkspace = ident.WorkspaceID("night")
)

// chat is one conversation.
type chat struct {
	id        ident.ChatID
	workspace ident.WorkspaceID
	priority  ident.Priority
	weight    float64
	prefix    ident.Tokens
	// lastUpstream served the chat's latest request.
	lastUpstream ident.UpstreamID
	// rand generates the chat's turns. Each chat has its own source, so that its
	// turns are the same under each policy.
	rand *rand.Rand
}

// request is one turn of a chat in flight.
type request struct {
	chat      *chat
	router    *router
	attempt   ident.AttemptID
	arrivedAt time.Time
	deadline  time.Time
	prompt    ident.Tokens
	// refused reports whether an upstream refused the request.
	refused bool
	// retries is how often the caller repeated the turn after a refusal.
	retries int
}

// router is the router of one entry VM, with its own view of the pool.
type router struct {
	pool   *affinity.Pool
	loads  affinity.Loads
	budget retry.Budget
	// nextIndex is the round-robin position.
	nextIndex int
}

var samplePeriodSeconds = admission.SamplePeriod.Seconds()

// simulation is one run of a policy through a scenario.
type simulation struct {
	policy   policy
	scenario scenario
	size     int
	seed     uint64
	// arrivals generates the times at which chats open, rand everything else.
	arrivals *rand.Rand
	rand     *rand.Rand
	clock    clock
	start    time.Time
	engines  map[ident.UpstreamID]*engine
	// live holds the engines of the pool, ordered by name.
	live     []*engine
	routers  []*router
	stats    stats
	attempts int
	chats    int
}

// measure runs one policy through one scenario with size upstreams and returns
// its statistics.
func measure(policy policy, scenario scenario, size int, seed uint64) stats {
	start := time.Unix(1_000_000, 0)
	simulation := &simulation{
		policy: policy, scenario: scenario, size: size, seed: seed,
		arrivals: rand.New(rand.NewPCG(seed, 0)), rand: rand.New(rand.NewPCG(seed, 1<<32)),
		clock: clock{now: start}, start: start, engines: make(map[ident.UpstreamID]*engine),
	}
	simulation.stats.reasons = make(map[prefix.Reason]int)
	simulation.stats.workspaces = make(map[ident.WorkspaceID]*workspaceStats)
	for range size {
		simulation.addEngine()
	}
	for range max(3, size*27/100) {
		simulation.routers = append(simulation.routers, &router{pool: simulation.currentPool(), budget: retry.Budget{Share: 0.2}})
	}
	for i := range workspaceCount {
		simulation.scheduleArrivals(i)
	}
	simulation.clock.after(warmUpSeconds, simulation.sampleSkew)
	if scenario.scheduleEvents != nil {
		scenario.scheduleEvents(simulation)
	}
	seconds := scenario.seconds
	if seconds == 0 {
		seconds = measureSeconds
	}
	simulation.stats.seconds = seconds
	simulation.clock.run(start.Add(time.Duration((warmUpSeconds + seconds) * float64(time.Second))))
	return simulation.stats
}

// elapsed returns the seconds since the start of the run.
func (simulation *simulation) elapsed() float64 {
	return simulation.clock.now.Sub(simulation.start).Seconds()
}

// countAfterWarmUp returns count, or zero during the warm-up.
func (simulation *simulation) countAfterWarmUp(count int) int {
	if simulation.elapsed() < warmUpSeconds {
		return 0
	}
	return count
}

// trafficShare returns the share of workspace i of the traffic, which falls with
// 1/(i+1).
func trafficShare(i int) float64 {
	sum := 0.0
	for j := range workspaceCount {
		sum += 1 / float64(j+1)
	}
	return 1 / float64(i+1) / sum
}

// scheduleArrivals schedules the next chat of workspace i, and then those after
// it.
func (simulation *simulation) scheduleArrivals(i int) {
	perSecond := targetLoad / meanServiceSeconds * (1 - returnProbability) * float64(simulation.size) * trafficShare(i)
	if simulation.scenario.arrivalFactor != nil {
		perSecond *= simulation.scenario.arrivalFactor(i, simulation.elapsed())
	}
	const longestWait = 1.0
	wait := simulation.arrivals.ExpFloat64() / perSecond
	if wait > longestWait {
		// The rate may change meanwhile: draw a new interval at that time.
		simulation.clock.after(longestWait, func() { simulation.scheduleArrivals(i) })
		return
	}
	simulation.clock.after(wait, func() {
		simulation.openChat(ident.WorkspaceID(fmt.Sprintf("workspace-%d", i)), "", workspaceCount*trafficShare(i))
		simulation.scheduleArrivals(i)
	})
}

// openChat creates a chat and sends its first turn.
func (simulation *simulation) openChat(workspace ident.WorkspaceID, priority ident.Priority, weight float64) {
	simulation.chats++
	opened := &chat{id: ident.ChatID(fmt.Sprintf("chat-%d", simulation.chats)), workspace: workspace, priority: priority, weight: weight}
	opened.rand = rand.New(rand.NewPCG(simulation.seed, uint64(simulation.chats)))
	simulation.sendTurn(opened, 0)
}

// sendTurn sends the next turn of a chat to a random router. retries is how
// often the caller has repeated the turn.
func (simulation *simulation) sendTurn(chat *chat, retries int) {
	router := simulation.routers[simulation.rand.IntN(len(simulation.routers))]
	sent := &request{chat: chat, router: router, arrivedAt: simulation.clock.now, deadline: simulation.clock.now.Add(requestTimeout), retries: retries}
	simulation.stats.requests += simulation.countAfterWarmUp(1)
	simulation.workspaceStats(chat).requests += simulation.countAfterWarmUp(1)
	router.budget.CountRequest(simulation.clock.now)
	simulation.place(sent)
}

// place offers the request to upstreams until one admits or queues it.
func (simulation *simulation) place(request *request) {
	router, now := request.router, simulation.clock.now
	next, plan := simulation.targets(request)
	last := admission.Decision{Code: result.NoUpstream, RetryAt: now.Add(time.Second)}
	for tried := 0; ; tried++ {
		target, more := next(tried)
		if !more {
			simulation.finishRefused(request, last.RetryAt)
			return
		}
		upstream := router.pool.At(target.Index).Upstream
		decision := simulation.offer(request, upstream, target.Last)
		if decision.Verdict != admission.Refused {
			return
		}
		last = decision
		if plan != nil {
			plan.RecordRefusal(decision.Code, simulation.policy.lessLoaded(decision))
		}
		simulation.stats.refusedTries += simulation.countAfterWarmUp(1)
	}
}

// targets returns a function that selects the upstream of each try by the policy
// under test, and the affinity plan if the policy uses one.
func (simulation *simulation) targets(request *request) (func(tried int) (affinity.Target, bool), *affinity.Plan) {
	router := request.router
	if simulation.policy.choice != byAffinityPlan {
		return func(tried int) (affinity.Target, bool) {
			return affinity.Target{Index: simulation.baselineTarget(router, tried)}, tried < retry.MaxTries
		}, nil
	}
	hint := request.chat.lastUpstream
	if !simulation.policy.hint {
		hint = ""
	}
	plan := router.pool.Plan(request.chat.id, hint)
	return func(int) (affinity.Target, bool) {
		return plan.Next(simulation.clock.now, simulation.policy.knownLoads(&router.loads))
	}, &plan
}

// baselineTarget returns the index of the upstream that a policy without chat
// affinity selects.
func (simulation *simulation) baselineTarget(router *router, tried int) int {
	size := router.pool.Len()
	switch {
	case simulation.policy.choice == byRoundRobin:
		router.nextIndex++
		return router.nextIndex % size
	case simulation.policy.choice == byReportedLoad && tried == 0:
		return simulation.leastReported(router)
	}
	return simulation.rand.IntN(size)
}

// leastReported returns the index of the upstream with the lowest reported load,
// or a random one of several. The reports lag behind the true load.
func (simulation *simulation) leastReported(router *router) int {
	best, least, ties := 0, 1<<30, 0
	for i := range router.pool.Len() {
		reported := simulation.engines[router.pool.At(i).Upstream].reportedLoad
		if reported > least {
			continue
		}
		if reported < least {
			best, least, ties = i, reported, 0
		}
		ties++
		if simulation.rand.IntN(ties) == 0 {
			best = i
		}
	}
	return best
}

// offer sends the request to one upstream.
func (simulation *simulation) offer(request *request, upstream ident.UpstreamID, last bool) admission.Decision {
	now, engine := simulation.clock.now, simulation.engines[upstream]
	if engine == nil || engine.removed {
		request.router.loads.Add(affinity.Report{Upstream: upstream, Leaving: true, SeenAt: now})
		return admission.Decision{Code: result.UpstreamUnreachable, RetryAt: now.Add(time.Second)}
	}
	simulation.attempts++
	request.attempt = ident.AttemptID(fmt.Sprint(simulation.attempts))
	offer := admission.Offer{
		Attempt: request.attempt, Workspace: request.chat.workspace, Priority: request.chat.priority,
		Deadline: request.deadline, MayQueue: last, Weight: request.chat.weight,
	}
	if simulation.policy.coldBound {
		offer.Cold = engine.index.CachedTokens(request.chat.id) == 0
	}
	if !simulation.policy.shares {
		offer.Workspace = ""
	}
	if simulation.policy.evidence {
		offer.Evidence = simulation.evidence(request)
	}
	decision := engine.controller.Offer(now, offer)
	request.router.loads.Add(affinity.Report{Upstream: upstream, Load: decision.Load, SeenAt: now, Leaving: decision.Code == result.Leaving})
	switch decision.Verdict {
	case admission.Admitted:
		simulation.stats.recordAdmission(simulation, decision)
		engine.startRequest(request)
	case admission.Queued:
		engine.queued[request.attempt] = request
		simulation.stats.queued += simulation.countAfterWarmUp(1)
	case admission.Refused:
		request.refused = true
	}
	return decision
}

// evidence returns the recent loads that a router sends with a request that was
// refused before.
func (simulation *simulation) evidence(request *request) []admission.Sample {
	if !request.refused {
		return nil
	}
	var samples []admission.Sample
	for _, report := range request.router.loads.Recent(simulation.clock.now, admission.EvidenceLifetime, nil) {
		samples = append(samples, admission.Sample{Upstream: report.Upstream, Load: report.Load, SeenAt: report.SeenAt})
	}
	return samples
}

// finishRefused ends a request that no upstream accepted. Its caller retries at
// retryAt, at most maxRetries times.
func (simulation *simulation) finishRefused(request *request, retryAt time.Time) {
	simulation.stats.refusals += simulation.countAfterWarmUp(1)
	simulation.workspaceStats(request.chat).refusals += simulation.countAfterWarmUp(1)
	if request.chat.priority != batchPriority && simulation.hasSpareCapacity() {
		simulation.stats.falseRefusals += simulation.countAfterWarmUp(1)
	}
	const maxRetries = 5
	if request.retries < maxRetries {
		simulation.clock.after(retryAt.Sub(simulation.clock.now).Seconds(), func() { simulation.sendTurn(request.chat, request.retries+1) })
	}
}

// hasSpareCapacity reports whether the mean load of the pool is below nine
// tenths of the engines' limit.
func (simulation *simulation) hasSpareCapacity() bool {
	sum := 0
	for _, engine := range simulation.live {
		sum += engine.controller.Load()
	}
	return float64(sum) < 0.9*float64(simulation.scenario.limit*len(simulation.live))
}

// finishServed ends a request that was served. Its chat may return after a
// pause.
func (simulation *simulation) finishServed(engine *engine, request *request) {
	report := affinity.Report{Upstream: engine.id, Load: engine.controller.Load(), SeenAt: simulation.clock.now, Leaving: engine.leaving}
	request.router.loads.Add(report)
	chat := request.chat
	if chat.priority == batchPriority || chat.rand.Float64() >= returnProbability {
		return
	}
	if chat.prefix == 0 {
		chat.prefix = ident.Tokens(500 + chat.rand.IntN(8000))
	}
	chat.prefix += turnTokens
	engine.cache.put(chat.id, chat.prefix)
	pause := 2 + 20*chat.rand.ExpFloat64()
	if chat.rand.Float64() < 0.2 {
		pause = 120 * chat.rand.ExpFloat64()
	}
	simulation.clock.after(pause, func() { simulation.sendTurn(chat, 0) })
}

// currentPool returns the pool as the platform lists it now.
func (simulation *simulation) currentPool() *affinity.Pool {
	candidates := make([]affinity.Candidate, len(simulation.live))
	for i, engine := range simulation.live {
		candidates[i] = affinity.Candidate{Upstream: engine.id}
	}
	return affinity.NewPool(candidates)
}

// publishPool sends the current pool to each router, each with its own lag.
func (simulation *simulation) publishPool() {
	pool := simulation.currentPool()
	for _, router := range simulation.routers {
		simulation.clock.after(maxViewLagSeconds*simulation.rand.Float64(), func() { router.pool = pool })
	}
}

// addEngine adds an engine to the pool. Routers learn of it from publishPool.
func (simulation *simulation) addEngine() *engine {
	engine := simulation.newEngine(ident.UpstreamID(fmt.Sprintf("engine-%03d", len(simulation.engines))))
	simulation.engines[engine.id] = engine
	simulation.live = append(slices.Clone(simulation.live), engine)
	simulation.clock.after(samplePeriodSeconds*simulation.rand.Float64(), engine.exchangeLoads)
	simulation.clock.after(simulation.rand.Float64(), engine.reportLoad)
	simulation.clock.after(expirySeconds*simulation.rand.Float64(), engine.expireQueue)
	return engine
}

// reportLoad updates the engine's reported load periodically. The update becomes
// visible after reportLag.
func (engine *engine) reportLoad() {
	const reportPeriod, reportLag = 1.0, 1.0
	load := len(engine.running)
	engine.simulation.clock.after(reportLag, func() { engine.reportedLoad = load })
	engine.simulation.clock.after(reportPeriod, engine.reportLoad)
}
