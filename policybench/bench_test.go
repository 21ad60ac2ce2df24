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
	workspaces   = 10
	warmUp       = 300.0
	measureFor   = 240.0
	lookPeriod   = 0.1
	expirePeriod = 0.1
	meanLoad     = 11.0
	serviceMean  = decodeMean + 0.3
	returnChance = 0.8
	turnTokens   = 500
	timeout      = 60 * time.Second
	viewLag      = 5.0
)

// The batch work that runs overnight.
const (
	batch = ident.Priority("batch")
	night = ident.WorkspaceID("night")
)

// chat is one conversation and where it was served last.
type chat struct {
	id        ident.ChatID
	workspace ident.WorkspaceID
	priority  ident.Priority
	weight    float64
	prefix    ident.Tokens
	holder    ident.UpstreamID
	// rand draws the chat's turns, so that they are the same for each policy.
	rand *rand.Rand
}

// request is one turn of a chat on its way.
type request struct {
	chat     *chat
	router   *router
	attempt  ident.AttemptID
	askedAt  time.Time
	deadline time.Time
	prompt   ident.Tokens
	// refused says that an upstream refused it.
	refused  bool
	comeback int
}

// router is one entry VM with its own view of the pool.
type router struct {
	pool   *affinity.Pool
	loads  affinity.Loads
	budget retry.Budget
	turn   int
}

var samplePeriod = admission.SamplePeriod.Seconds()

// bench is one run.
type bench struct {
	policy   policy
	scenario scenario
	size     int
	seed     uint64
	// arrivals draws when chats open, rand everything else.
	arrivals *rand.Rand
	rand     *rand.Rand
	clock    clock
	start    time.Time
	engines  map[ident.UpstreamID]*engine
	// live holds the engines of the pool in the order of their names.
	live     []*engine
	routers  []*router
	counts   counts
	attempts int
	chats    int
}

// measure runs one policy through one scenario.
func measure(policy policy, scenario scenario, size int, seed uint64) counts {
	start := time.Unix(1_000_000, 0)
	bench := &bench{
		policy: policy, scenario: scenario, size: size, seed: seed,
		arrivals: rand.New(rand.NewPCG(seed, 0)), rand: rand.New(rand.NewPCG(seed, 1<<32)),
		clock: clock{now: start}, start: start, engines: make(map[ident.UpstreamID]*engine),
	}
	bench.counts.reasons = make(map[prefix.Reason]int)
	bench.counts.byWorkspace = make(map[ident.WorkspaceID]*tally)
	for range size {
		bench.join()
	}
	for range max(3, size*27/100) {
		bench.routers = append(bench.routers, &router{pool: bench.view(), budget: retry.Budget{Share: 0.2}})
	}
	for i := range workspaces {
		bench.arrive(i)
	}
	bench.clock.after(warmUp, bench.look)
	if scenario.begin != nil {
		scenario.begin(bench)
	}
	seconds := scenario.seconds
	if seconds == 0 {
		seconds = measureFor
	}
	bench.counts.seconds = seconds
	bench.clock.run(start.Add(time.Duration((warmUp + seconds) * float64(time.Second))))
	return bench.counts
}

// elapsed returns the seconds since the start.
func (bench *bench) elapsed() float64 { return bench.clock.now.Sub(bench.start).Seconds() }

// measured returns count once the warm-up is over, and zero before.
func (bench *bench) measured(count int) int {
	if bench.elapsed() < warmUp {
		return 0
	}
	return count
}

// share returns the part of the traffic that workspace i has.
func share(i int) float64 {
	sum := 0.0
	for j := range workspaces {
		sum += 1 / float64(j+1)
	}
	return 1 / float64(i+1) / sum
}

// arrive starts the chats of workspace i, one after the other.
func (bench *bench) arrive(i int) {
	perSecond := meanLoad / serviceMean * (1 - returnChance) * float64(bench.size) * share(i)
	if bench.scenario.rate != nil {
		perSecond *= bench.scenario.rate(i, bench.elapsed())
	}
	const longestWait = 1.0
	wait := bench.arrivals.ExpFloat64() / perSecond
	if wait > longestWait {
		// The rate may change: draw again from then on.
		bench.clock.after(longestWait, func() { bench.arrive(i) })
		return
	}
	bench.clock.after(wait, func() {
		bench.open(ident.WorkspaceID(fmt.Sprintf("workspace-%d", i)), "", workspaces*share(i))
		bench.arrive(i)
	})
}

// open begins a chat.
func (bench *bench) open(workspace ident.WorkspaceID, priority ident.Priority, weight float64) {
	bench.chats++
	opened := &chat{id: ident.ChatID(fmt.Sprintf("chat-%d", bench.chats)), workspace: workspace, priority: priority, weight: weight}
	opened.rand = rand.New(rand.NewPCG(bench.seed, uint64(bench.chats)))
	bench.ask(opened, 0)
}

// ask sends the next turn of a chat to any router.
func (bench *bench) ask(chat *chat, comeback int) {
	router := bench.routers[bench.rand.IntN(len(bench.routers))]
	made := &request{chat: chat, router: router, askedAt: bench.clock.now, deadline: bench.clock.now.Add(timeout), comeback: comeback}
	bench.counts.requests += bench.measured(1)
	bench.tally(chat).requests += bench.measured(1)
	router.budget.CountRequest(bench.clock.now)
	bench.place(made)
}

// place offers the request to upstreams until one takes it.
func (bench *bench) place(request *request) {
	router, now := request.router, bench.clock.now
	next, plan := bench.order(request)
	last := admission.Decision{Code: result.NoUpstream, RetryAt: now.Add(time.Second)}
	for tried := 0; ; tried++ {
		target, more := next(tried)
		if !more {
			bench.refused(request, last.RetryAt)
			return
		}
		upstream := router.pool.At(target.Index).Upstream
		decision := bench.offer(request, upstream, target.Last)
		if decision.Verdict != admission.Refused {
			return
		}
		last = decision
		if plan != nil {
			plan.RecordRefusal(decision.Code, bench.policy.named(decision))
		}
		bench.counts.refusedTries += bench.measured(1)
	}
}

// order returns the tries of a request by the policy under test.
func (bench *bench) order(request *request) (func(tried int) (affinity.Target, bool), *affinity.Plan) {
	router := request.router
	if bench.policy.choice != byPlan {
		return func(tried int) (affinity.Target, bool) {
			return affinity.Target{Index: bench.baseline(router, tried)}, tried < retry.MaxTries
		}, nil
	}
	hint := request.chat.holder
	if !bench.policy.hint {
		hint = ""
	}
	plan := router.pool.Plan(request.chat.id, hint)
	return func(int) (affinity.Target, bool) {
		return plan.Next(bench.clock.now, bench.policy.remembered(&router.loads))
	}, &plan
}

// baseline returns the choice of a policy that knows of no chats.
func (bench *bench) baseline(router *router, tried int) int {
	size := router.pool.Len()
	switch {
	case bench.policy.choice == byTurns:
		router.turn++
		return router.turn % size
	case bench.policy.choice == byReport && tried == 0:
		return bench.leastReported(router)
	}
	return bench.rand.IntN(size)
}

// leastReported returns the upstream with the least load by the lagging
// reports; a random one of them where there are several.
func (bench *bench) leastReported(router *router) int {
	best, least, ties := 0, 1<<30, 0
	for i := range router.pool.Len() {
		reported := bench.engines[router.pool.At(i).Upstream].reported
		if reported > least {
			continue
		}
		if reported < least {
			best, least, ties = i, reported, 0
		}
		ties++
		if bench.rand.IntN(ties) == 0 {
			best = i
		}
	}
	return best
}

// offer sends the request to one upstream.
func (bench *bench) offer(request *request, upstream ident.UpstreamID, last bool) admission.Decision {
	now, engine := bench.clock.now, bench.engines[upstream]
	if engine == nil || engine.gone {
		request.router.loads.Add(affinity.Report{Upstream: upstream, Leaving: true, SeenAt: now})
		return admission.Decision{Code: result.UpstreamUnreachable, RetryAt: now.Add(time.Second)}
	}
	bench.attempts++
	request.attempt = ident.AttemptID(fmt.Sprint(bench.attempts))
	offer := admission.Offer{
		Attempt: request.attempt, Workspace: request.chat.workspace, Priority: request.chat.priority,
		Deadline: request.deadline, MayQueue: last, Weight: request.chat.weight,
	}
	if bench.policy.cold {
		offer.Cold = engine.index.CachedTokens(request.chat.id) == 0
	}
	if !bench.policy.shares {
		offer.Workspace = ""
	}
	if bench.policy.evidence {
		offer.Evidence = bench.evidence(request)
	}
	decision := engine.controller.Offer(now, offer)
	request.router.loads.Add(affinity.Report{Upstream: upstream, Load: decision.Load, SeenAt: now, Leaving: decision.Code == result.Leaving})
	switch decision.Verdict {
	case admission.Admitted:
		bench.counts.admitted(bench, decision)
		engine.start(request)
	case admission.Queued:
		engine.queued[request.attempt] = request
		bench.counts.queued += bench.measured(1)
	case admission.Refused:
		request.refused = true
	}
	return decision
}

// evidence returns what a router that was refused tells the next sidecar.
func (bench *bench) evidence(request *request) []admission.Sample {
	if !request.refused {
		return nil
	}
	var samples []admission.Sample
	for _, report := range request.router.loads.Recent(bench.clock.now, admission.EvidenceLifetime, nil) {
		samples = append(samples, admission.Sample{Upstream: report.Upstream, Load: report.Load, SeenAt: report.SeenAt})
	}
	return samples
}

// refused ends a request that no upstream took. Its caller comes back at the
// time it was told, a few times.
func (bench *bench) refused(request *request, retryAt time.Time) {
	bench.counts.refusals += bench.measured(1)
	bench.tally(request.chat).refusals += bench.measured(1)
	if request.chat.priority != batch && bench.spare() {
		bench.counts.falseRefusals += bench.measured(1)
	}
	const comebacks = 5
	if request.comeback < comebacks {
		bench.clock.after(retryAt.Sub(bench.clock.now).Seconds(), func() { bench.ask(request.chat, request.comeback+1) })
	}
}

// spare reports whether the pool as a whole had room: its mean was below nine
// tenths of the engines' limit.
func (bench *bench) spare() bool {
	sum := 0
	for _, engine := range bench.live {
		sum += engine.controller.Load()
	}
	return float64(sum) < 0.9*float64(bench.scenario.limit*len(bench.live))
}

// answered ends a request that was served. Its chat may return after a pause.
func (bench *bench) answered(engine *engine, request *request) {
	report := affinity.Report{Upstream: engine.id, Load: engine.controller.Load(), SeenAt: bench.clock.now, Leaving: engine.leaving}
	request.router.loads.Add(report)
	chat := request.chat
	if chat.priority == batch || chat.rand.Float64() >= returnChance {
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
	bench.clock.after(pause, func() { bench.ask(chat, 0) })
}

// view returns the pool as the platform's list has it now.
func (bench *bench) view() *affinity.Pool {
	candidates := make([]affinity.Candidate, len(bench.live))
	for i, engine := range bench.live {
		candidates[i] = affinity.Candidate{Upstream: engine.id}
	}
	return affinity.NewPool(candidates)
}

// announce lets each router learn of the pool after its own lag.
func (bench *bench) announce() {
	view := bench.view()
	for _, router := range bench.routers {
		bench.clock.after(viewLag*bench.rand.Float64(), func() { router.pool = view })
	}
}

// join adds an engine that nobody knows yet.
func (bench *bench) join() *engine {
	engine := bench.newEngine(ident.UpstreamID(fmt.Sprintf("engine-%03d", len(bench.engines))))
	bench.engines[engine.id] = engine
	bench.live = append(slices.Clone(bench.live), engine)
	bench.clock.after(samplePeriod*bench.rand.Float64(), engine.exchange)
	bench.clock.after(bench.rand.Float64(), engine.report)
	bench.clock.after(expirePeriod*bench.rand.Float64(), engine.expire)
	return engine
}

// report renews the engine's lagging report of its load.
func (engine *engine) report() {
	const reportPeriod, reportLag = 1.0, 1.0
	load := len(engine.running)
	engine.bench.clock.after(reportLag, func() { engine.reported = load })
	engine.bench.clock.after(reportPeriod, engine.report)
}
