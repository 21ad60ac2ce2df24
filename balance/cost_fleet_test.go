package balance_test

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/hickoryhead/hickoryhead/balance"
	"github.com/hickoryhead/hickoryhead/cost"
	"github.com/hickoryhead/hickoryhead/ident"
	"github.com/hickoryhead/hickoryhead/registry"
)

// chooserKind says what the choices of an engine fleet go by.
type chooserKind int

const (
	byPendingPrefill chooserKind = iota
	byExpectedTime
	// byTruth knows the state of all engines at the moment.
	byTruth
)

// The engines of the simulation.
const (
	engineStepMs    = 2.6
	engineRunningMs = 0.12
	engineChunk     = 3072
	// fetchRate is how many tokens of a cached prefix an engine fetches from another one
	// in a millisecond.
	fetchRate    = 400
	networkMs    = 2
	paceInterval = 600 * time.Millisecond
	maxSimPace   = 2.5
	// variableShare is the share of VMs whose pace changes, and oddSpeed how much slower
	// or faster unequal engines are.
	variableShare = 0.15
	oddSpeed      = 1.3
	// enginePrefixes is how many prefixes an engine keeps.
	enginePrefixes = 24
)

// requestKind is a kind of requests, with the means of what they need.
type requestKind struct {
	name         string
	share        float64
	prefixes     int
	prefixTokens int
	ownTokens    float64
	output       float64
	target       ident.Milliseconds
}

var requestKinds = []requestKind{
	{"question", 0.5, 80, 1500, 250, 90, 500},
	{"chat", 0.38, 400, 4500, 600, 220, 900},
	{"document", 0.12, 200, 2500, 6000, 350, 2500},
}

// fleetPlan describes a run of an engine fleet.
type fleetPlan struct {
	engines, routers int
	perSecond        float64
	rate             float64
	age              time.Duration
	length           time.Duration
	// unequal, variable and reported say that one engine in three has a speed of its
	// own, that the pace of some VMs changes, and that engines report it.
	unequal, variable, reported bool
	// hintError is by how much hints are off.
	hintError float64
}

// simRequest is a request of the simulation.
type simRequest struct {
	kind              int
	key               ident.ChatID
	router, engine    int
	upstream          registry.Upstream
	arrived           time.Time
	work              cost.Work
	believed          ident.Tokens
	remaining         float64
	output, generated int
	lastEvent         time.Time
	lastCount         int
	cost              cost.Request
	expected          time.Duration
}

type simEngine struct {
	queue, decoding []*simRequest
	prefixes        []ident.ChatID
	busy            bool
	speed, pace     float64
	variable        bool
}

type simRouter struct {
	chooser *balance.Chooser
	model   *cost.Model
}

// simEvent is something that happens at a time.
type simEvent struct {
	at       time.Time
	sequence int
	act      func(now time.Time)
}

type simEvents []simEvent

func (events simEvents) Len() int { return len(events) }
func (events simEvents) Less(i, j int) bool {
	return events[i].at.Before(events[j].at) || events[i].at.Equal(events[j].at) && events[i].sequence < events[j].sequence
}
func (events simEvents) Swap(i, j int) { events[i], events[j] = events[j], events[i] }
func (events *simEvents) Push(event any) {
	*events = append(*events, event.(simEvent))
}

func (events *simEvents) Pop() any {
	last := (*events)[len(*events)-1]
	*events = (*events)[:len(*events)-1]
	return last
}

// engineFleet simulates routers before model engines which prefill and decode.
type engineFleet struct {
	plan    fleetPlan
	by      chooserKind
	random  *rand.Rand
	pool    *registry.Pool
	engines []*simEngine
	routers []*simRouter
	events  simEvents
	count   int
	// words holds the loads of each router at past exchanges.
	words    []map[ident.UpstreamID]balance.Load
	own      [][]balance.Counts
	sequence uint64
	// firstMs are the times to the first event by kind, errors the logarithms of their
	// ratios to the predictions, and differing counts the choices that differ from the
	// one by pending prefill.
	firstMs   [][]float64
	errors    []float64
	chosen    int
	differing int
	inTime    int
	finished  int
	prefilled float64
}

func newEngineFleet(seed uint64, plan fleetPlan, by chooserKind) *engineFleet {
	fleet := &engineFleet{plan: plan, by: by, random: rand.New(rand.NewPCG(seed, 0)), pool: poolOf(plan.engines), firstMs: make([][]float64, len(requestKinds))}
	for i := range plan.engines {
		engine := &simEngine{speed: 1, pace: 1}
		if plan.unequal && i%3 == 0 {
			engine.speed = oddSpeed
			if i%2 == 0 {
				engine.speed = 1 / oddSpeed
			}
		}
		engine.variable = plan.variable && float64(i%20) < 20*variableShare
		fleet.engines = append(fleet.engines, engine)
	}
	for range plan.routers {
		router := &simRouter{model: new(cost.Model), chooser: chooserWith(nil, nil)}
		router.chooser.Loads = new(balance.Loads)
		router.chooser.Random = fleet.random.IntN
		switch by {
		case byExpectedTime:
			router.chooser.FirstEvent = func(now time.Time, upstream registry.Upstream, work balance.Work) (time.Duration, bool) {
				return router.model.FirstEvent(now, upstream, costOf(work))
			}
		case byTruth:
			router.chooser.FirstEvent = fleet.trueFirstEvent
		}
		fleet.routers = append(fleet.routers, router)
	}
	return fleet
}

// trueFirstEvent is the time to the first event at the present speed and pace.
func (fleet *engineFleet) trueFirstEvent(_ time.Time, upstream registry.Upstream, work balance.Work) (time.Duration, bool) {
	speed, running := 1.0, 0
	if upstream.ID != "" {
		engine := fleet.engines[indexOf(upstream.ID)]
		speed, running = engine.speed*engine.pace, len(engine.decoding)
	}
	tokens := float64(work.Pending + work.Prefill)
	step := engineStepMs + engineRunningMs*float64(running)
	ms := networkMs + speed*(tokens/fleet.plan.rate+step*math.Ceil(tokens/engineChunk+0.5))
	return time.Duration(ms * float64(time.Millisecond)), true
}

// costOf returns the work as package cost knows it.
func costOf(work balance.Work) cost.Work {
	return cost.Work{Prefill: work.Prefill, Local: work.Local, Remote: work.Pending - work.Local}
}

func indexOf(upstream ident.UpstreamID) int {
	var index int
	_, _ = fmt.Sscanf(string(upstream), "i-%d", &index)
	return index
}

func (fleet *engineFleet) at(when time.Time, act func(now time.Time)) {
	fleet.count++
	heap.Push(&fleet.events, simEvent{at: when, sequence: fleet.count, act: act})
}

func ms(milliseconds float64) time.Duration {
	return time.Duration(milliseconds * float64(time.Millisecond))
}

// run plays the fleet. Requests of the first third are not counted.
func (fleet *engineFleet) run() *engineFleet {
	fleet.at(start, fleet.arrive)
	for step := range int(fleet.plan.length / wordInterval) {
		fleet.at(start.Add(time.Duration(step)*wordInterval), fleet.exchange)
	}
	for i, engine := range fleet.engines {
		if engine.variable {
			fleet.at(start.Add(time.Duration(i)*time.Millisecond), func(now time.Time) { fleet.changePace(now, engine) })
		}
	}
	end := start.Add(fleet.plan.length)
	for len(fleet.events) > 0 && fleet.events[0].at.Before(end) {
		event := heap.Pop(&fleet.events).(simEvent)
		event.act(event.at)
	}
	return fleet
}

func (fleet *engineFleet) changePace(now time.Time, engine *simEngine) {
	engine.pace = 1
	if fleet.random.Float64() < 0.5 {
		engine.pace = 1 + (maxSimPace-1)*fleet.random.Float64()
	}
	fleet.at(now.Add(time.Duration((0.5+fleet.random.Float64())*float64(paceInterval))), func(now time.Time) { fleet.changePace(now, engine) })
}

// spread returns a random factor with a mean of about one.
func (fleet *engineFleet) spread(deviation float64) float64 {
	return math.Exp(deviation*fleet.random.NormFloat64() - deviation*deviation/2)
}

func (fleet *engineFleet) arrive(now time.Time) {
	fleet.at(now.Add(ms(1000*fleet.random.ExpFloat64()/fleet.plan.perSecond)), fleet.arrive)
	drawn, index := fleet.random.Float64(), 0
	for drawn > requestKinds[index].share && index < len(requestKinds)-1 {
		drawn -= requestKinds[index].share
		index++
	}
	kind := requestKinds[index]
	prefix := int(math.Pow(fleet.random.Float64(), 1.5) * float64(kind.prefixes))
	request := &simRequest{kind: index, key: ident.ChatID(fmt.Sprint(kind.name, prefix)), router: fleet.random.IntN(len(fleet.routers)), arrived: now}
	own := max(kind.ownTokens*fleet.spread(0.7), 1)
	request.output = int(max(kind.output*fleet.spread(0.6), 1))
	hint := float64(request.output)
	switch off := fleet.random.Float64(); {
	case off < 0.2 && fleet.plan.hintError > 1:
		hint *= fleet.plan.hintError
	case off < 0.4 && fleet.plan.hintError > 1:
		hint /= fleet.plan.hintError
	}
	request.cost = cost.Request{Route: ident.RouteName(kind.name), Workspace: "w", Hint: ident.Tokens(max(hint, 1)), MaxOutput: 4096}
	fleet.send(now, request, own)
}

func (fleet *engineFleet) send(now time.Time, request *simRequest, own float64) {
	router, kind := fleet.routers[request.router], requestKinds[request.kind]
	described := balance.Request{
		Keys: []ident.ChatID{request.key}, Target: kind.target, Retryable: true,
		Own: ident.Tokens(own), Prompt: ident.Tokens(own) + ident.Tokens(kind.prefixTokens),
	}
	if fleet.by == byTruth {
		fleet.tellTruth(router.chooser)
	}
	choice, found := router.chooser.Choose(now, fleet.pool, described)
	if !found {
		return
	}
	fleet.compare(now, router, described, choice)
	request.upstream, request.engine = choice.Upstream, indexOf(choice.Upstream.ID)
	engine := fleet.engines[request.engine]
	request.believed = described.Prompt
	if choice.Reason == balance.CacheHit || choice.Source != "" {
		request.believed = described.Own
	}
	request.work = cost.Work{Prefill: request.believed, Local: choice.Local, Remote: choice.Load.PendingPrefill - choice.Local}
	request.expected = choice.Expected
	request.remaining = own
	delay := ms(networkMs / 2)
	if position := slices.Index(engine.prefixes, request.key); position >= 0 {
		engine.prefixes = slices.Delete(engine.prefixes, position, position+1)
	} else if choice.Source != "" && slices.Contains(fleet.engines[indexOf(choice.Source)].prefixes, request.key) {
		delay += ms(float64(kind.prefixTokens) / fetchRate)
	} else {
		request.remaining += float64(kind.prefixTokens)
	}
	engine.prefixes = append(engine.prefixes, request.key)
	if len(engine.prefixes) > enginePrefixes {
		engine.prefixes = slices.Delete(engine.prefixes, 0, 1)
	}
	fleet.prefilled += request.remaining
	if fleet.by != byTruth {
		router.chooser.Loads.Start(choice.Upstream.ID, request.believed)
	}
	update := balance.CacheUpdate{Key: request.key, Upstream: choice.Upstream.ID}
	router.chooser.CacheIndex.RecordLocal(now, update)
	others := func(now time.Time) {
		for _, other := range fleet.routers {
			other.chooser.CacheIndex.ApplyRemote(now, []balance.CacheUpdate{update})
		}
	}
	if fleet.by == byTruth {
		others(now)
	} else {
		fleet.at(now.Add(fleet.plan.age/2), others)
	}
	fleet.at(now.Add(delay), func(now time.Time) {
		engine.queue = append(engine.queue, request)
		if !engine.busy {
			fleet.step(now, engine)
		}
	})
}

// compare counts a choice that differs from the one by pending prefill.
func (fleet *engineFleet) compare(now time.Time, router *simRouter, described balance.Request, choice balance.Choice) {
	if fleet.by != byExpectedTime || !fleet.counted(now) || choice.Reason == balance.LeastLoaded {
		return
	}
	today := *router.chooser
	today.FirstEvent, today.Random = nil, nil
	other, _ := today.Choose(now, fleet.pool, described)
	fleet.chosen++
	if other.Upstream.ID != choice.Upstream.ID {
		fleet.differing++
	}
}

// tellTruth gives a chooser the load of all engines at the moment.
func (fleet *engineFleet) tellTruth(chooser *balance.Chooser) {
	counts := make(balance.Counts)
	for i, engine := range fleet.engines {
		load := balance.Load{Requests: len(engine.queue) + len(engine.decoding)}
		for _, request := range engine.queue {
			load.PendingPrefill += ident.Tokens(request.remaining)
		}
		counts[id(i)] = load
	}
	fleet.sequence++
	chooser.Loads.ApplyRemote(start, balance.RemoteCounts{Router: "truth", Sequence: fleet.sequence, Complete: true, Counts: counts, ExpiresAt: start.Add(time.Hour)})
}

// step begins a step of an engine: one token of each stream, and a chunk of prompts.
func (fleet *engineFleet) step(now time.Time, engine *simEngine) {
	if len(engine.queue)+len(engine.decoding) == 0 {
		engine.busy = false
		return
	}
	engine.busy = true
	took := engineStepMs + engineRunningMs*float64(len(engine.decoding))
	streams, room := slices.Clone(engine.decoding), float64(engineChunk)
	var prefilled []*simRequest
	for _, request := range engine.queue {
		part := min(room, request.remaining)
		request.remaining -= part
		room -= part
		if request.remaining > 0 {
			break
		}
		prefilled = append(prefilled, request)
	}
	took += (engineChunk - room) / fleet.plan.rate
	fleet.at(now.Add(ms(took*engine.speed*engine.pace)), func(now time.Time) {
		engine.queue = engine.queue[len(prefilled):]
		for _, request := range append(streams, prefilled...) {
			fleet.generate(now, engine, request)
		}
		engine.decoding = slices.DeleteFunc(append(engine.decoding, prefilled...), func(request *simRequest) bool { return request.generated >= request.output })
		fleet.step(now, engine)
	})
}

// eventTokens is how many tokens an event holds.
const eventTokens = 10

// generate adds a token to a stream, and sends an event that is full.
func (fleet *engineFleet) generate(now time.Time, engine *simEngine, request *simRequest) {
	request.generated++
	done := request.generated >= request.output
	if request.generated > 1 && request.generated%eventTokens != 0 && !done {
		return
	}
	running, pace, count := len(engine.decoding)+len(engine.queue), engine.pace, request.generated
	fleet.at(now.Add(ms(networkMs/2)), func(now time.Time) { fleet.receive(now, request, count, running, pace) })
}

// receive gives an event to the router.
func (fleet *engineFleet) receive(now time.Time, request *simRequest, count, running int, pace float64) {
	router, upstream := fleet.routers[request.router], request.upstream
	if request.lastEvent.IsZero() {
		took := now.Sub(request.arrived)
		if fleet.counted(request.arrived) {
			fleet.firstMs[request.kind] = append(fleet.firstMs[request.kind], took.Seconds()*1000)
			fleet.finished++
			if took <= requestKinds[request.kind].target.Duration() {
				fleet.inTime++
			}
			if request.expected > 0 {
				fleet.errors = append(fleet.errors, math.Log(took.Seconds()/request.expected.Seconds()))
			}
		}
		if fleet.plan.reported {
			router.model.ObservePace(now, upstream, pace)
		}
		router.model.ObserveFirstEvent(now, upstream, request.work, took)
		if fleet.by != byTruth {
			router.chooser.Loads.PrefillDone(upstream.ID, request.believed)
		}
	} else if load := router.chooser.Loads.Estimate(now, upstream.ID); load.PendingPrefill == 0 {
		router.model.ObserveGap(now, upstream, load.Requests, count-request.lastCount, now.Sub(request.lastEvent))
	}
	request.lastEvent, request.lastCount = now, count
	if count >= request.output {
		if fleet.by != byTruth {
			router.chooser.Loads.End(upstream.ID, 0)
		}
		router.model.ObserveOutput(now, request.cost, request.output)
	}
}

// counted reports whether what happens at a time counts.
func (fleet *engineFleet) counted(at time.Time) bool {
	return at.Sub(start) > fleet.plan.length/3
}

// exchange gives all routers what the others had in flight, as of age before.
func (fleet *engineFleet) exchange(now time.Time) {
	if fleet.by == byTruth {
		return
	}
	var current []balance.Counts
	total := make(map[ident.UpstreamID]balance.Load)
	for _, router := range fleet.routers {
		local := router.chooser.Loads.Local()
		current = append(current, local)
		for upstream, load := range local {
			sum := total[upstream]
			total[upstream] = balance.Load{Requests: sum.Requests + load.Requests, PendingPrefill: sum.PendingPrefill + load.PendingPrefill}
		}
	}
	fleet.own, fleet.words = append(fleet.own, current), append(fleet.words, total)
	past := len(fleet.words) - 1 - int(fleet.plan.age/wordInterval)
	if past < 0 {
		return
	}
	fleet.sequence++
	for i, router := range fleet.routers {
		others := make(balance.Sums)
		for upstream, load := range fleet.words[past] {
			mine := fleet.own[past][i][upstream]
			load = balance.Load{Requests: load.Requests - mine.Requests, PendingPrefill: load.PendingPrefill - mine.PendingPrefill}
			if load != (balance.Load{}) {
				others[balance.KeyOf(upstream)] = load
			}
		}
		router.chooser.Loads.ApplySums(balance.RemoteSums{Group: "others", Sender: "other", Sequence: fleet.sequence, Routers: len(fleet.routers) - 1, Complete: true, Sums: others, ExpiresAt: now.Add(time.Hour)})
	}
}

// percentile returns a percentile of the values.
func percentile(values []float64, share float64) float64 {
	sorted := slices.Sorted(slices.Values(values))
	if len(sorted) == 0 {
		return 0
	}
	return sorted[min(int(share*float64(len(sorted))), len(sorted)-1)]
}

// fleetResult is what the callers of several runs got.
type fleetResult struct {
	// lateMs is the 99th percentile of the time to the first event, by kind.
	lateMs    []float64
	inTime    float64
	differing float64
}

// playFleet plays a plan with the given number of seeds.
func playFleet(plan fleetPlan, by chooserKind, seeds uint64) fleetResult {
	times := make([][]float64, len(requestKinds))
	inTime, finished, differing, chosen := 0, 0, 0, 0
	for seed := range seeds {
		fleet := newEngineFleet(seed+1, plan, by).run()
		for kind := range times {
			times[kind] = append(times[kind], fleet.firstMs[kind]...)
		}
		inTime, finished = inTime+fleet.inTime, finished+fleet.finished
		differing, chosen = differing+fleet.differing, chosen+fleet.chosen
	}
	result := fleetResult{inTime: float64(inTime) / float64(max(finished, 1)), differing: float64(differing) / float64(max(chosen, 1))}
	for _, values := range times {
		result.lateMs = append(result.lateMs, percentile(values, 0.99))
	}
	return result
}

// TestExpectedTimesInAFleet plays routers whose information is 1 s old before engines, with
// requests of mixed sizes whose hints are often ten times off, and compares the choice by
// predicted times with the one by pending prefill and with one that knows everything. It
// guards against predictions that make any kind of request wait longer, that change the
// choices where engines are equal and have room, and that don't help where engines are
// unequal and busy.
func TestExpectedTimesInAFleet(t *testing.T) {
	const (
		// maxHarm is by how much the 99th percentile of a kind may be above that of the
		// choice by pending prefill, as a factor, and maxLateShare by how much the share
		// of requests in time may be below.
		maxHarm      = 1.1
		maxLateShare = 0.002
		// maxDiffering is the largest share of choices that differ at equal engines with
		// room, and minGapClosed the smallest part of the distance from the choice by
		// pending prefill to the one that knows everything.
		maxDiffering = 0.1
		minGapClosed = 0.5
	)
	plan := fleetPlan{engines: 36, routers: 23, rate: 66, age: time.Second, length: 24 * time.Second, hintError: 10}
	tests := []struct {
		name      string
		perSecond float64
		// seeds is the number of runs: with few requests a percentile needs several.
		seeds                       uint64
		unequal, variable, reported bool
		room, helps                 bool
	}{
		{name: "equal engines with room", perSecond: 200, seeds: 3, room: true},
		{name: "equal engines", perSecond: 500, seeds: 1},
		{name: "unequal engines with a changing pace", perSecond: 500, seeds: 1, unequal: true, variable: true, reported: true},
		{name: "busy unequal engines with a changing pace", perSecond: 700, seeds: 1, unequal: true, variable: true, reported: true, helps: true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			plan := plan
			plan.perSecond, plan.unequal, plan.variable, plan.reported = test.perSecond, test.unequal, test.variable, test.reported
			before, got, ideal := playFleet(plan, byPendingPrefill, test.seeds), playFleet(plan, byExpectedTime, test.seeds), playFleet(plan, byTruth, test.seeds)
			t.Logf("by pending prefill: %.0f ms, %.4f in time; by expected time: %.0f ms, %.4f in time, %.3f differing; ideal: %.0f ms, %.4f in time",
				before.lateMs, before.inTime, got.lateMs, got.inTime, got.differing, ideal.lateMs, ideal.inTime)
			for kind, late := range got.lateMs {
				name := requestKinds[kind].name
				if late > maxHarm*before.lateMs[kind] {
					t.Errorf("%s: got a 99th percentile of %.0f ms, want at most %.1f times that by pending prefill, %.0f ms", name, late, maxHarm, before.lateMs[kind])
				}
				if closed := (before.lateMs[kind] - late) / (before.lateMs[kind] - ideal.lateMs[kind]); test.helps && closed < minGapClosed {
					t.Errorf("%s: got %.2f of the way from %.0f to %.0f ms, want at least %.1f", name, closed, before.lateMs[kind], ideal.lateMs[kind], minGapClosed)
				}
			}
			if got.inTime < before.inTime-maxLateShare {
				t.Errorf("got %.4f of the requests in time, want at least %.4f less %.3f", got.inTime, before.inTime, maxLateShare)
			}
			if test.room && got.differing > maxDiffering {
				t.Errorf("got %.3f of the choices other than by pending prefill, want at most %.2f", got.differing, maxDiffering)
			}
		})
	}
}
