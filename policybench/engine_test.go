package policybench

import (
	"github.com/hashicorp/golang-lru/v2/simplelru"

	"github.com/hickoryhead/hickoryhead/admission"
	"github.com/hickoryhead/hickoryhead/ident"
	"github.com/hickoryhead/hickoryhead/prefix"
)

// The fake engine. A prefix costs a prefill or a transfer; the rest of a
// request takes the same time whatever the load.
const (
	cacheTokens  = 500_000
	prefillRate  = 8_000.0
	transferRate = 2.5e9
	tokenBytes   = 100_000
	decodeMean   = 4.0
	eventDelay   = 2.0
	eventLoss    = 0.1
)

// cache is an engine's prefix cache: the least recently used goes first.
type cache struct {
	chats *simplelru.LRU[ident.ChatID, ident.Tokens]
	held  ident.Tokens
	// evicted is told of each prefix that is dropped for want of room.
	evicted func(chat ident.ChatID)
}

func newCache(evicted func(ident.ChatID)) *cache {
	chats, err := simplelru.NewLRU[ident.ChatID, ident.Tokens](1<<20, nil)
	if err != nil {
		panic(err)
	}
	return &cache{chats: chats, evicted: evicted}
}

func (cache *cache) put(chat ident.ChatID, tokens ident.Tokens) {
	held, _ := cache.chats.Peek(chat)
	cache.chats.Add(chat, tokens)
	cache.held += tokens - held
	for cache.held > cacheTokens {
		dropped, freed, _ := cache.chats.RemoveOldest()
		cache.held -= freed
		cache.evicted(dropped)
	}
}

// get returns how much of the chat's prefix is held and marks it as used.
func (cache *cache) get(chat ident.ChatID) ident.Tokens {
	tokens, _ := cache.chats.Get(chat)
	return tokens
}

// peek returns how much of the chat's prefix is held. To export it does not
// count as a use of it.
func (cache *cache) peek(chat ident.ChatID) ident.Tokens {
	tokens, _ := cache.chats.Peek(chat)
	return tokens
}

// engine is one upstream with its sidecar.
type engine struct {
	id         ident.UpstreamID
	bench      *bench
	controller admission.Controller
	cache      *cache
	index      prefix.Index
	fetcher    prefix.Fetcher
	running    map[ident.AttemptID]*request
	queued     map[ident.AttemptID]*request
	round      uint64
	// reported is the load as the lagging report has it.
	reported int
	leaving  bool
	gone     bool
}

func (bench *bench) newEngine(id ident.UpstreamID) *engine {
	engine := &engine{id: id, bench: bench, running: make(map[ident.AttemptID]*request), queued: make(map[ident.AttemptID]*request)}
	engine.cache = newCache(engine.reportEviction)
	engine.controller.Random = bench.rand.Float64
	policy := admission.Policy{LoadMultiple: bench.policy.multiple}
	if bench.policy.bounded() {
		policy.EngineLimit = bench.scenario.limit
	}
	if bench.policy.queue {
		policy.QueueLimit = 64
	}
	if bench.policy.marks {
		policy.Marks = map[ident.Priority]float64{batch: 0.7}
	}
	engine.controller.SetPolicy(policy)
	engine.fetcher.SetPolicy(prefix.Policy{
		MinTokens: 512, PrefillRate: prefillRate, TransferRate: transferRate, TokenBytes: tokenBytes,
		Budget: 1e9, Burst: 4e9,
	})
	return engine
}

// reportEviction is the engine's cache event: late, and now and then lost.
func (engine *engine) reportEviction(chat ident.ChatID) {
	if engine.bench.rand.Float64() < eventLoss {
		return
	}
	engine.bench.clock.after(eventDelay, func() { engine.index.Evicted(chat) })
}

// start runs an admitted request.
func (engine *engine) start(request *request) {
	bench, chat := engine.bench, request.chat
	engine.running[request.attempt] = request
	bench.counts.wait(bench, request)
	prepare := engine.prepare(request)
	chat.holder = engine.id
	bench.clock.after(prepare+chat.rand.ExpFloat64()*decodeMean, func() { engine.end(request) })
}

// prepare brings the chat's prefix into the cache and returns the seconds that
// it takes.
func (engine *engine) prepare(request *request) float64 {
	bench, chat := engine.bench, request.chat
	now := bench.clock.now
	reused := min(chat.prefix, engine.cache.get(chat.id))
	seconds := 0.0
	if reused == 0 && chat.prefix > 0 && bench.policy.transfer {
		seconds = engine.fetch(request)
		if seconds > 0 {
			reused = chat.prefix
		}
	} else if reused > 0 {
		bench.counts.local += bench.measured(1)
	}
	if chat.prefix > 0 {
		bench.counts.returning += bench.measured(1)
		if reused > 0 {
			bench.counts.reused += bench.measured(1)
		}
	}
	prompt := chat.prefix + turnTokens
	engine.cache.put(chat.id, prompt)
	engine.index.RecordUse(now, chat.id, prompt)
	request.prompt = prompt
	return seconds + float64(prompt-reused)/prefillRate
}

// fetch asks the holder for the prefix. It returns the seconds that it took, or
// zero if the prefix is not to be had.
func (engine *engine) fetch(request *request) float64 {
	bench, chat := engine.bench, request.chat
	now := bench.clock.now
	reason := engine.fetcher.Begin(now, prefix.Request{
		Chat: chat.id, Self: engine.id, Source: chat.holder, Tokens: chat.prefix, Cached: engine.index.CachedTokens(chat.id) > 0,
	})
	bench.counts.reasons[reason] += bench.measured(1)
	if reason != prefix.Fetch {
		return 0
	}
	holder := bench.engines[chat.holder]
	outcome := prefix.Outcome{Source: chat.holder, Tokens: chat.prefix, Bytes: tokenBytes * ident.Bytes(chat.prefix)}
	switch {
	case holder == nil || holder.gone:
		outcome.Reason = prefix.HolderFailed
	case holder.cache.peek(chat.id) < chat.prefix:
		outcome.Reason = prefix.HolderEvicted
	}
	if outcome.Reason != prefix.Fetch {
		engine.fetcher.End(now, outcome)
		bench.counts.vain += bench.measured(1)
		return 0
	}
	holder.index.Moved(chat.id)
	seconds := float64(outcome.Bytes) / transferRate
	bench.counts.moved += float64(bench.measured(int(outcome.Bytes)))
	bench.clock.after(seconds, func() { engine.fetcher.End(bench.clock.now, outcome) })
	return seconds
}

// end finishes a running request, unless the engine was lost under it.
func (engine *engine) end(request *request) {
	if engine.running[request.attempt] != request {
		return
	}
	delete(engine.running, request.attempt)
	engine.take(engine.controller.Done(engine.bench.clock.now, request.attempt))
	engine.bench.answered(engine, request)
	engine.stopIfDrained()
}

// take acts on what left the queue.
func (engine *engine) take(starts []admission.Dequeued) {
	for _, start := range starts {
		request := engine.queued[start.Attempt]
		delete(engine.queued, start.Attempt)
		if start.Code == 0 {
			engine.start(request)
			continue
		}
		engine.bench.refused(request, start.RetryAt)
	}
}

// exchange tells some of the pool this sidecar's load, and hears theirs.
func (engine *engine) exchange() {
	if engine.gone {
		return
	}
	bench := engine.bench
	engine.bench.clock.after(samplePeriod, engine.exchange)
	live := bench.live
	self := indexOf(live, engine)
	if self < 0 {
		return
	}
	for _, place := range admission.Partners(len(live), self, engine.round) {
		partner := live[place]
		if partner.gone {
			continue
		}
		bench.counts.exchanges += bench.measured(1)
		engine.observe(partner)
		partner.observe(engine)
	}
	engine.round++
}

// expire looks after the queue, ten times a second.
func (engine *engine) expire() {
	if engine.gone {
		return
	}
	engine.take(engine.controller.Expire(engine.bench.clock.now))
	engine.bench.clock.after(expirePeriod, engine.expire)
}

func (engine *engine) observe(other *engine) {
	sample := admission.Sample{Upstream: other.id, Load: other.controller.Load(), SeenAt: engine.bench.clock.now, Leaving: other.leaving}
	engine.controller.Observe(sample.SeenAt, []admission.Sample{sample})
}

func indexOf(engines []*engine, wanted *engine) int {
	for i, engine := range engines {
		if engine == wanted {
			return i
		}
	}
	return -1
}
