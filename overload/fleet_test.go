package overload_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/hickoryhead/hickoryhead/balance"
	"github.com/hickoryhead/hickoryhead/ident"
	"github.com/hickoryhead/hickoryhead/overload"
	"github.com/hickoryhead/hickoryhead/registry"
)

const (
	fleetRouters = 42
	// fleetSeeds is the number of plays of each test.
	fleetSeeds   = 1
	fleetEngines = 42
	// remainingEngines serve in the shortage.
	remainingEngines = 13
	engineSlots      = 64
	engineQueue      = 192
	engineMemory     = 553_420
	// enginePrefill is the prefill rate in tokens per millisecond. A step of an engine takes
	// stepMs and stepMsEach for each running request, and prefills up to chunkTokens.
	enginePrefill = 60
	stepMs        = 2.6
	stepMsEach    = 0.12
	chunkTokens   = 512
	// The prompts have one of sharedParts shared parts, and ownTokens of their own.
	sharedParts  = 200
	sharedTokens = 10_500
	ownTokens    = 620
	outputTokens = 300
	// usualPerSecond is the usual traffic, half of what all engines serve in time.
	usualPerSecond = 210
	fleetTick      = 10 * time.Millisecond
	// fleetUpdateInterval is the time between two updates of the loads of all routers, which are
	// as old as that when they come.
	fleetUpdateInterval = 500 * time.Millisecond
	// ejectedAfter is the time after which engines that don't respond are ejected.
	ejectedAfter = 500 * time.Millisecond
	// expiredAfter is the time after which their rows expire.
	expiredAfter = 3600 * time.Millisecond

	shortageBegin = 25 * time.Second
	shortageEnd   = 34 * time.Second
	fleetEnd      = 44 * time.Second
	// surge is the traffic in the shortage over the usual one, and loudSurge that of the
	// loud workspace.
	surge           = 4
	loudSurge       = 8
	fleetWorkspaces = 10
	retryShare      = 0.2
)

var enginesKey = overload.Key{Service: "engines"}

// kind is a kind of request.
type kind struct {
	name     string
	priority int
	target   time.Duration
	deadline time.Duration
	share    float64
}

var kinds = []kind{
	{"question", 0, 800 * time.Millisecond, 8 * time.Second, 0.4},
	{"check", 1, 1500 * time.Millisecond, 12 * time.Second, 0.3},
	{"draft", 2, 3 * time.Second, 20 * time.Second, 0.3},
}

// job is a request of a caller.
type job struct {
	kind      int
	workspace int
	part      int
	router    int
	number    uint64
	// arrived is when the caller first sent it, and triedAt when it last did.
	arrived, triedAt time.Duration
	returned         bool
	engine           int
	pending          ident.Tokens
	prefill          float64
	output           int
	began            bool
	over             bool
}

func (job *job) memory() ident.Tokens { return sharedTokens + ownTokens + outputTokens }

// tally counts what became of requests.
type tally struct {
	asked, inTime, late, refused, failed int
}

// share returns the share of requests that were answered in time.
func (tally *tally) share() float64 { return float64(tally.inTime) / float64(max(tally.asked, 1)) }

// served returns the share of requests that were answered, in time or not.
func (tally *tally) served() float64 {
	return float64(tally.inTime+tally.late) / float64(max(tally.asked, 1))
}

// simFleet simulates routers before engines.
type simFleet struct {
	random     *rand.Rand
	admission  bool
	now        time.Duration
	pool       *registry.Pool
	engines    []*simEngine
	routers    []*simRouter
	history    []balance.Sums
	own        [][]balance.Sums
	index      balance.CacheIndex
	returns    map[time.Duration][]*job
	kinds      [3]tally
	workspaces [fleetWorkspaces]tally
	inTime     map[int]int
	shortage   [3]tally
	turnedAway int
	arrivals   int
	prefilled  float64
	shared     float64
	decisions  map[overload.Reason]int
	numbers    uint64
}

type simRouter struct {
	loads      *balance.Loads
	chooser    *balance.Chooser
	controller overload.Controller
	requests   int
	retries    int
}

func newSimFleet(seed uint64, admission bool) *simFleet {
	fleet := &simFleet{
		random:    rand.New(rand.NewPCG(seed, 0)),
		admission: admission,
		returns:   make(map[time.Duration][]*job),
		inTime:    make(map[int]int),
		decisions: make(map[overload.Reason]int),
	}
	for range fleetEngines {
		fleet.engines = append(fleet.engines, &simEngine{cached: make(map[int]float64)})
	}
	fleet.list(fleetEngines)
	fleet.warm()
	for range fleetRouters {
		router := &simRouter{loads: new(balance.Loads)}
		router.controller.Random = fleet.random.Float64
		router.chooser = &balance.Chooser{Loads: router.loads, CacheIndex: &fleet.index, Ejected: fleet.ejected, Multiple: 2, Slack: 1.5}
		fleet.routers = append(fleet.routers, router)
	}
	return fleet
}

// warm caches each shared part at the first engine of its rendezvous order.
func (fleet *simFleet) warm() {
	for part := range sharedParts {
		var order [1]int
		number := fleet.pool.Ranking.Rank(partKey(part), "", order[:])[0]
		fleet.index.RecordLocal(start, balance.CacheUpdate{Key: partKey(part), Upstream: engineID(number)})
		fleet.engines[number].cached[part] = 0
	}
}

// list lists the first engines in the pool.
func (fleet *simFleet) list(count int) {
	var upstreams []registry.Upstream
	for i := range count {
		upstreams = append(upstreams, registry.Upstream{ID: engineID(i), Service: "engines", Address: "10.0.0.1:1", Slots: engineSlots, Engine: true})
	}
	members := new(registry.Registry)
	members.Replace(start, 1, upstreams)
	fleet.pool = members.Pool("engines")
}

func (fleet *simFleet) time() time.Time { return start.Add(fleet.now) }

func (fleet *simFleet) inShortage() bool {
	return fleet.now >= shortageBegin && fleet.now < shortageEnd
}

// ejected reports whether an engine is ejected: shortly after it has stopped to respond.
func (fleet *simFleet) ejected(_ time.Time, id ident.UpstreamID) bool {
	return fleet.engines[engineNumber(id)].away && fleet.now >= shortageBegin+ejectedAfter
}

// run plays the traffic, which is factor times the usual one outside of the shortage.
func (fleet *simFleet) run(factor float64, withShortage bool) {
	for fleet.now = 0; fleet.now < fleetEnd; fleet.now += fleetTick {
		if withShortage {
			for i := remainingEngines; i < fleetEngines; i++ {
				fleet.setAway(fleet.engines[i], fleet.inShortage())
			}
			switch fleet.now {
			case shortageBegin + expiredAfter:
				fleet.list(remainingEngines)
			case shortageEnd:
				fleet.list(fleetEngines)
			}
		}
		if fleet.now%fleetUpdateInterval == 0 {
			fleet.exchange()
		}
		for _, job := range fleet.returns[fleet.now] {
			fleet.arrive(job)
		}
		delete(fleet.returns, fleet.now)
		for workspace := range fleetWorkspaces {
			rate := factor * usualPerSecond / fleetWorkspaces
			if withShortage && fleet.inShortage() {
				rate *= surge
				if workspace == 0 {
					rate *= loudSurge / surge
				}
			}
			for range fleet.poisson(rate * fleetTick.Seconds()) {
				fleet.arrive(fleet.newJob(workspace))
			}
		}
		for i, engine := range fleet.engines {
			fleet.step(i, engine)
		}
	}
}

func (fleet *simFleet) poisson(mean float64) int {
	limit, product, count := math.Exp(-mean), fleet.random.Float64(), 0
	for product > limit {
		product *= fleet.random.Float64()
		count++
	}
	return count
}

func (fleet *simFleet) newJob(workspace int) *job {
	fleet.numbers++
	draw, number := fleet.random.Float64(), 0
	for number < len(kinds)-1 && draw > kinds[number].share {
		draw -= kinds[number].share
		number++
	}
	job := &job{
		kind: number, workspace: workspace, part: fleet.random.IntN(sharedParts), router: fleet.random.IntN(fleetRouters),
		number: fleet.numbers, arrived: fleet.now, output: outputTokens/2 + fleet.random.IntN(outputTokens),
	}
	fleet.count(job, func(tally *tally) { tally.asked++ })
	return job
}

func (fleet *simFleet) count(job *job, add func(tally *tally)) {
	if job.arrived < shortageBegin || job.arrived >= shortageEnd {
		add(&fleet.kinds[job.kind])
		return
	}
	add(&fleet.shortage[job.kind])
	add(&fleet.workspaces[job.workspace])
}

// exchange applies the loads of the other routers as of fleetUpdateInterval ago.
func (fleet *simFleet) exchange() {
	total, each := make(balance.Sums), make([]balance.Sums, fleetRouters)
	for i, router := range fleet.routers {
		each[i] = router.loads.SumOf(nil)
		for key, load := range each[i] {
			total[key] = balance.Load{Requests: total[key].Requests + load.Requests, PendingPrefill: total[key].PendingPrefill + load.PendingPrefill}
		}
	}
	fleet.history, fleet.own = append(fleet.history, total), append(fleet.own, each)
	if len(fleet.history) < 2 {
		return
	}
	sequence := uint64(len(fleet.history))
	total, each = fleet.history[sequence-2], fleet.own[sequence-2]
	for i, router := range fleet.routers {
		others := make(balance.Sums)
		for key, load := range total {
			others[key] = balance.Load{Requests: load.Requests - each[i][key].Requests, PendingPrefill: load.PendingPrefill - each[i][key].PendingPrefill}
		}
		router.loads.ApplySums(balance.RemoteSums{Group: "others", Sender: "other", Sequence: sequence, Routers: fleetRouters - 1, Complete: true, Sums: others, ExpiresAt: fleet.time().Add(3 * time.Second)})
	}
}

// view returns what a router knows of the pool.
func (fleet *simFleet) view(router *simRouter, job *job) *overload.Pool {
	pool := &overload.Pool{Key: enginesKey, Routers: fleetRouters, Heard: fleetRouters, Delay: 2 * fleetUpdateInterval, LoadMultiple: 2, LoadSlack: 1.5, Upstreams: make([]overload.Upstream, len(fleet.pool.Upstreams))}
	cached := fleet.index.Upstreams(fleet.time(), partKey(job.part))
	router.loads.EstimateEach(fleet.time(), fleet.pool.Upstreams, func(i int, estimated, local balance.Load) {
		id := fleet.pool.Upstreams[i].ID
		pool.Upstreams[i] = overload.Upstream{
			ID: id, Usable: !fleet.ejected(fleet.time(), id), Requests: estimated.Requests, Local: local.Requests,
			Pending: estimated.PendingPrefill, Slots: engineSlots, Memory: engineMemory, Cached: slices.Contains(cached, id),
		}
	})
	return pool
}

func partKey(part int) ident.ChatID { return ident.ChatID(fmt.Sprint("part-", part)) }

// arrive handles a request of a caller at its router.
func (fleet *simFleet) arrive(job *job) {
	router := fleet.routers[job.router]
	job.triedAt = fleet.now
	router.requests++
	deadline := start.Add(job.arrived + kinds[job.kind].deadline)
	request := overload.Request{
		Prefill: sharedTokens + ownTokens, CachedPrefill: ownTokens, Memory: job.memory(), Priority: kinds[job.kind].priority,
		Target: ident.Milliseconds(kinds[job.kind].target.Milliseconds()), Deadline: deadline,
		Arrival: overload.Arrival{Workspace: ident.WorkspaceID(fmt.Sprint("w", job.workspace))},
	}
	var tried []ident.UpstreamID
	var full []bool
	if fleet.admission && router.controller.Arrived(fleet.time(), enginesKey, request.Arrival) {
		decision := router.controller.Decide(fleet.time(), fleet.view(router, job), request)
		if decision.Reason != "" {
			fleet.decisions[decision.Reason]++
			fleet.refuse(job, decision.RetryAfter)
			return
		}
		full = decision.Full
	}
	for {
		choice, found := router.chooser.Choose(fleet.time(), fleet.pool, balance.Request{
			Keys: []ident.ChatID{partKey(job.part)}, Tried: tried, Full: full, Target: request.Target, Retryable: true,
		})
		if !found {
			fleet.refuse(job, 500*time.Millisecond)
			return
		}
		tried = append(tried, choice.Upstream.ID)
		if fleet.offer(router, job, choice) {
			return
		}
		if fleet.admission {
			router.controller.TurnedAway(fleet.time(), enginesKey, choice.Upstream.ID, fleetUpdateInterval)
			request.Offered = true
			decision := router.controller.Decide(fleet.time(), fleet.view(router, job), request)
			full = decision.Full
			if decision.Reason != "" {
				fleet.refuse(job, decision.RetryAfter)
				return
			}
		}
		if float64(router.retries) >= retryShare*float64(router.requests) {
			fleet.refuse(job, time.Duration((0.25+0.5*fleet.random.Float64())*float64(time.Second)))
			return
		}
		router.retries++
	}
}

// offer sends the request to an engine, which may turn it away.
func (fleet *simFleet) offer(router *simRouter, job *job, choice balance.Choice) bool {
	number := engineNumber(choice.Upstream.ID)
	engine := fleet.engines[number]
	fleet.arrivals++
	if len(engine.waiting) >= engineQueue {
		fleet.turnedAway++
		return false
	}
	job.engine, job.prefill, job.began, job.over = number, -1, false, false
	job.pending = ownTokens
	if choice.Reason != balance.CacheHit {
		job.pending += sharedTokens
	}
	router.loads.Start(choice.Upstream.ID, job.pending)
	router.controller.Sent(fleet.time(), "engines", job.pending, job.memory())
	fleet.index.RecordLocal(fleet.time(), balance.CacheUpdate{Key: partKey(job.part), Upstream: choice.Upstream.ID})
	engine.waiting = append(engine.waiting, job)
	return true
}

// refuse tells the caller to return, which it does once if it has three times as long left.
func (fleet *simFleet) refuse(job *job, after time.Duration) {
	remaining := job.arrived + kinds[job.kind].deadline - fleet.now
	if job.returned || after > remaining/3 {
		fleet.count(job, func(tally *tally) { tally.refused++ })
		return
	}
	job.returned = true
	at := (fleet.now + max(after, fleetTick)).Truncate(fleetTick)
	fleet.returns[at] = append(fleet.returns[at], job)
}

// finish ends a request at its engine.
func (fleet *simFleet) finish(job *job, served bool) {
	if job.over {
		return
	}
	job.over = true
	router := fleet.routers[job.router]
	router.loads.End(engineID(job.engine), job.pending)
	router.controller.Ended(fleet.time(), "engines", job.memory())
	if served {
		router.controller.Answered("engines", engineID(job.engine), fleet.now-job.triedAt, 0, 0)
		return
	}
	fleet.count(job, func(tally *tally) { tally.failed++ })
}
