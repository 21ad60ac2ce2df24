package overload_test

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"time"

	"github.com/hickoryhead/hickoryhead/ident"
)

// simEngine is an engine with continuous batching and a cache of shared parts.
type simEngine struct {
	away    bool
	clock   float64
	waiting []*job
	running []*job
	// cached holds when each cached part was last used.
	cached map[int]float64
}

func engineID(i int) ident.UpstreamID { return ident.UpstreamID(fmt.Sprint("e-", i)) }

func engineNumber(id ident.UpstreamID) int {
	var number int
	_, _ = fmt.Sscanf(string(id), "e-%d", &number)
	return number
}

// setAway lets an engine stop to respond, or come back empty.
func (fleet *simFleet) setAway(engine *simEngine, away bool) {
	if away == engine.away {
		return
	}
	engine.away = away
	engine.clock = float64(fleet.now.Milliseconds())
	if away {
		for _, job := range append(engine.running, engine.waiting...) {
			fleet.finish(job, false)
		}
		engine.running, engine.waiting = nil, nil
		return
	}
	clear(engine.cached)
	for i, other := range fleet.engines {
		if other == engine {
			fleet.index.Forget(engineID(i))
		}
	}
}

// step lets an engine run until the end of the tick.
func (fleet *simFleet) step(number int, engine *simEngine) {
	end := float64((fleet.now + fleetTick).Milliseconds())
	if engine.away {
		engine.clock = end
		for _, job := range engine.waiting {
			if fleet.now-job.triedAt > time.Second {
				fleet.finish(job, false)
			}
		}
		engine.waiting = slices.DeleteFunc(engine.waiting, func(job *job) bool { return job.over })
		return
	}
	for engine.clock < end {
		fleet.start(engine)
		if len(engine.running) == 0 {
			engine.clock = end
			return
		}
		fleet.iterate(number, engine)
	}
}

// start starts waiting requests, the most urgent first, as long as there are slots and
// memory. Cached parts are evicted for them.
func (fleet *simFleet) start(engine *simEngine) {
	engine.waiting = slices.DeleteFunc(engine.waiting, func(job *job) bool {
		if time.Duration(engine.clock)*time.Millisecond > job.arrived+kinds[job.kind].deadline {
			fleet.finish(job, false)
			return true
		}
		return false
	})
	slices.SortStableFunc(engine.waiting, func(a, b *job) int { return cmp.Compare(a.kind, b.kind) })
	for len(engine.waiting) > 0 && len(engine.running) < engineSlots {
		job := engine.waiting[0]
		running := (len(engine.running) + 1) * int(job.memory())
		if running > engineMemory {
			return
		}
		engine.evict(running)
		engine.running = append(engine.running, job)
		engine.waiting = engine.waiting[1:]
	}
}

func (engine *simEngine) evict(running int) {
	for len(engine.cached) > 0 && running+len(engine.cached)*sharedTokens > engineMemory {
		oldest, at := 0, math.Inf(1)
		for part, used := range engine.cached {
			if used < at || used == at && part < oldest {
				oldest, at = part, used
			}
		}
		delete(engine.cached, oldest)
	}
}

// look determines how much of the prompt of a request is prefilled, as its prefill begins.
func (fleet *simFleet) look(engine *simEngine, job *job) {
	job.prefill = ownTokens
	if _, cached := engine.cached[job.part]; cached {
		engine.cached[job.part] = engine.clock
	} else {
		job.prefill += sharedTokens
		fleet.shared += sharedTokens
	}
	fleet.prefilled += job.prefill
}

// iterate runs one step of an engine: a chunk of a prefill, and a token for each request.
func (fleet *simFleet) iterate(number int, engine *simEngine) {
	chunk := float64(chunkTokens)
	for _, job := range engine.running {
		if job.prefill == 0 || chunk <= 0 {
			continue
		}
		if job.prefill < 0 {
			fleet.look(engine, job)
		}
		part := min(job.prefill, chunk)
		chunk -= part
		job.prefill -= part
		if job.prefill <= 0 {
			engine.cached[job.part] = engine.clock
			engine.evict(len(engine.running) * int(job.memory()))
		}
	}
	engine.clock += (chunkTokens-chunk)/enginePrefill + stepMs + stepMsEach*float64(len(engine.running))
	at := time.Duration(engine.clock) * time.Millisecond
	engine.running = slices.DeleteFunc(engine.running, func(job *job) bool {
		if job.prefill != 0 {
			return false
		}
		if !job.began {
			job.began = true
			fleet.first(job, at)
		}
		job.output--
		if job.output > 0 && at < job.arrived+kinds[job.kind].deadline {
			return false
		}
		fleet.finish(job, true)
		return true
	})
}

// first records the first event of an answer.
func (fleet *simFleet) first(job *job, at time.Duration) {
	fleet.routers[job.router].loads.PrefillDone(engineID(job.engine), job.pending)
	job.pending = 0
	if at-job.triedAt <= kinds[job.kind].target {
		fleet.inTime[int(at/time.Second)]++
		fleet.count(job, func(tally *tally) { tally.inTime++ })
		return
	}
	fleet.count(job, func(tally *tally) { tally.late++ })
}
