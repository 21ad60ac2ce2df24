package policybench

import (
	"github.com/hashicorp/golang-lru/v2/simplelru"

	"github.com/hickoryhead/hickoryhead/admission"
	"github.com/hickoryhead/hickoryhead/ident"
	"github.com/hickoryhead/hickoryhead/prefix"
)

// The fake engine. A prefix costs a prefill or a transfer; the duration of the
// rest of a request does not depend on the load.
const (
	cacheCapacityTokens       = 500_000
	prefillTokensPerSecond    = 8_000.0
	transferBytesPerSecond    = 2.5e9
	bytesPerToken             = 100_000
	meanDecodeSeconds         = 4.0
	evictionEventDelaySeconds = 2.0
	evictionEventLoss         = 0.1
)

// cache is an engine's prefix cache. It evicts the least recently used prefixes.
type cache struct {
	chats      *simplelru.LRU[ident.ChatID, ident.Tokens]
	usedTokens ident.Tokens
	// onEvict is called for each prefix that is evicted for lack of space.
	onEvict func(chat ident.ChatID)
}

func newCache(onEvict func(ident.ChatID)) *cache {
	chats, err := simplelru.NewLRU[ident.ChatID, ident.Tokens](1<<20, nil)
	if err != nil {
		panic(err)
	}
	return &cache{chats: chats, onEvict: onEvict}
}

func (cache *cache) put(chat ident.ChatID, tokens ident.Tokens) {
	previous, _ := cache.chats.Peek(chat)
	cache.chats.Add(chat, tokens)
	cache.usedTokens += tokens - previous
	for cache.usedTokens > cacheCapacityTokens {
		dropped, freed, _ := cache.chats.RemoveOldest()
		cache.usedTokens -= freed
		cache.onEvict(dropped)
	}
}

// get returns how many tokens of the chat's prefix are cached and marks the
// prefix as used.
func (cache *cache) get(chat ident.ChatID) ident.Tokens {
	tokens, _ := cache.chats.Get(chat)
	return tokens
}

// peek returns how many tokens of the chat's prefix are cached. It does not mark
// the prefix as used, since an export doesn't count as a use.
func (cache *cache) peek(chat ident.ChatID) ident.Tokens {
	tokens, _ := cache.chats.Peek(chat)
	return tokens
}

// engine is one upstream with its sidecar.
type engine struct {
	id            ident.UpstreamID
	simulation    *simulation
	controller    admission.Controller
	cache         *cache
	index         prefix.Index
	fetcher       prefix.Fetcher
	running       map[ident.AttemptID]*request
	queued        map[ident.AttemptID]*request
	exchangeRound uint64
	// reportedLoad is the load that routers see, which lags behind the true load.
	reportedLoad int
	leaving      bool
	removed      bool
}

func (simulation *simulation) newEngine(id ident.UpstreamID) *engine {
	engine := &engine{id: id, simulation: simulation, running: make(map[ident.AttemptID]*request), queued: make(map[ident.AttemptID]*request)}
	engine.cache = newCache(engine.reportEviction)
	engine.controller.Random = simulation.rand.Float64
	policy := admission.Policy{LoadMultiple: simulation.policy.multiple}
	if simulation.policy.bounded() {
		policy.EngineLimit = simulation.scenario.limit
	}
	if simulation.policy.queue {
		policy.QueueLimit = 64
	}
	if simulation.policy.marks {
		policy.Marks = map[ident.Priority]float64{batchPriority: 0.7}
	}
	engine.controller.SetPolicy(policy)
	engine.fetcher.SetPolicy(prefix.Policy{
		MinTokens: 512, PrefillRate: prefillTokensPerSecond, TransferRate: transferBytesPerSecond, TokenBytes: bytesPerToken,
		Budget: 1e9, Burst: 4e9,
	})
	return engine
}

// reportEviction sends the engine's cache event to the sidecar. The event
// arrives late and is lost with probability evictionEventLoss.
func (engine *engine) reportEviction(chat ident.ChatID) {
	if engine.simulation.rand.Float64() < evictionEventLoss {
		return
	}
	engine.simulation.clock.after(evictionEventDelaySeconds, func() { engine.index.Evicted(chat) })
}

// startRequest runs an admitted request.
func (engine *engine) startRequest(request *request) {
	simulation, chat := engine.simulation, request.chat
	engine.running[request.attempt] = request
	simulation.stats.recordWait(simulation, request)
	prepareSeconds := engine.preparePrefix(request)
	chat.lastUpstream = engine.id
	simulation.clock.after(prepareSeconds+chat.rand.ExpFloat64()*meanDecodeSeconds, func() { engine.finish(request) })
}

// preparePrefix puts the chat's prefix into the cache, by a fetch or a prefill,
// and returns the seconds that this takes.
func (engine *engine) preparePrefix(request *request) float64 {
	simulation, chat := engine.simulation, request.chat
	now := simulation.clock.now
	reused := min(chat.prefix, engine.cache.get(chat.id))
	seconds := 0.0
	if reused == 0 && chat.prefix > 0 && simulation.policy.transfer {
		seconds = engine.fetchPrefix(request)
		if seconds > 0 {
			reused = chat.prefix
		}
	} else if reused > 0 {
		simulation.stats.localHits += simulation.countAfterWarmUp(1)
	}
	if chat.prefix > 0 {
		simulation.stats.returning += simulation.countAfterWarmUp(1)
		if reused > 0 {
			simulation.stats.reused += simulation.countAfterWarmUp(1)
		}
	}
	prompt := chat.prefix + turnTokens
	engine.cache.put(chat.id, prompt)
	engine.index.RecordUse(now, chat.id, prompt)
	request.prompt = prompt
	return seconds + float64(prompt-reused)/prefillTokensPerSecond
}

// fetchPrefix fetches the chat's prefix from the upstream that served the chat
// last. It returns the seconds that the transfer takes, or zero if the prefix is
// not fetched.
func (engine *engine) fetchPrefix(request *request) float64 {
	simulation, chat := engine.simulation, request.chat
	now := simulation.clock.now
	reason := engine.fetcher.Begin(now, prefix.Request{
		Chat: chat.id, Self: engine.id, Source: chat.lastUpstream, Tokens: chat.prefix, Cached: engine.index.CachedTokens(chat.id) > 0,
	})
	simulation.stats.reasons[reason] += simulation.countAfterWarmUp(1)
	if reason != prefix.Fetch {
		return 0
	}
	holder := simulation.engines[chat.lastUpstream]
	outcome := prefix.Outcome{Source: chat.lastUpstream, Tokens: chat.prefix, Bytes: bytesPerToken * ident.Bytes(chat.prefix)}
	switch {
	case holder == nil || holder.removed:
		outcome.Reason = prefix.SourceFailed
	case holder.cache.peek(chat.id) < chat.prefix:
		outcome.Reason = prefix.HolderEvicted
	}
	if outcome.Reason != prefix.Fetch {
		engine.fetcher.End(now, outcome)
		simulation.stats.failedFetches += simulation.countAfterWarmUp(1)
		return 0
	}
	holder.index.Moved(chat.id)
	seconds := float64(outcome.Bytes) / transferBytesPerSecond
	simulation.stats.fetchedBytes += float64(simulation.countAfterWarmUp(int(outcome.Bytes)))
	simulation.clock.after(seconds, func() { engine.fetcher.End(simulation.clock.now, outcome) })
	return seconds
}

// finish ends a running request, unless the engine crashed in the meantime.
func (engine *engine) finish(request *request) {
	if engine.running[request.attempt] != request {
		return
	}
	delete(engine.running, request.attempt)
	engine.handleDequeued(engine.controller.Done(engine.simulation.clock.now, request.attempt))
	engine.simulation.finishServed(engine, request)
	engine.stopIfDrained()
}

// handleDequeued starts the requests that were admitted from the queue and
// refuses those that were dropped from it.
func (engine *engine) handleDequeued(dequeued []admission.Dequeued) {
	for _, start := range dequeued {
		request := engine.queued[start.Attempt]
		delete(engine.queued, start.Attempt)
		if start.Code == 0 {
			engine.startRequest(request)
			continue
		}
		engine.simulation.finishRefused(request, start.RetryAt)
	}
}

// exchangeLoads exchanges loads with the sidecars of this round's partners, and
// schedules the next round.
func (engine *engine) exchangeLoads() {
	if engine.removed {
		return
	}
	simulation := engine.simulation
	engine.simulation.clock.after(samplePeriodSeconds, engine.exchangeLoads)
	live := simulation.live
	self := indexOf(live, engine)
	if self < 0 {
		return
	}
	for _, index := range admission.Partners(len(live), self, engine.exchangeRound) {
		partner := live[index]
		if partner.removed {
			continue
		}
		simulation.stats.exchanges += simulation.countAfterWarmUp(1)
		engine.observe(partner)
		partner.observe(engine)
	}
	engine.exchangeRound++
}

// expireQueue drops expired requests from the queue every expirySeconds.
func (engine *engine) expireQueue() {
	if engine.removed {
		return
	}
	engine.handleDequeued(engine.controller.Expire(engine.simulation.clock.now))
	engine.simulation.clock.after(expirySeconds, engine.expireQueue)
}

// observe passes the load of another engine to this engine's sidecar.
func (engine *engine) observe(other *engine) {
	sample := admission.Sample{Upstream: other.id, Load: other.controller.Load(), SeenAt: engine.simulation.clock.now, Leaving: other.leaving}
	engine.controller.Observe(sample.SeenAt, []admission.Sample{sample})
}

// indexOf returns the index of wanted in engines, or -1.
func indexOf(engines []*engine, wanted *engine) int {
	for i, engine := range engines {
		if engine == wanted {
			return i
		}
	}
	return -1
}
