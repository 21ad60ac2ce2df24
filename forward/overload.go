package forward

import (
	"log/slog"
	"net/http"
	"slices"
	"time"

	"github.com/hickoryhead/hickoryhead/balance"
	"github.com/hickoryhead/hickoryhead/ident"
	"github.com/hickoryhead/hickoryhead/overload"
	"github.com/hickoryhead/hickoryhead/registry"
	"github.com/hickoryhead/hickoryhead/result"
	"github.com/hickoryhead/hickoryhead/routing"
	"github.com/hickoryhead/hickoryhead/strike"
)

const (
	// defaultOutput is the assumed length of an answer in tokens, if the request doesn't
	// say.
	defaultOutput ident.Tokens = 256
	// maxOutputDivisor is the part of the longest answer that is assumed without a hint.
	maxOutputDivisor = 2
	// defaultLoadDelay is the assumed age of what other routers have in flight.
	defaultLoadDelay = 300 * time.Millisecond
)

// room is what was decided about the room for a request.
type room struct {
	decision overload.Decision
	// pool is the pool that was decided on, or nil if none was.
	pool *registry.Pool
}

// full returns which upstreams of pool have no room for the request, or nil if that is not
// known or there is ample room.
func (room *room) full(pool *registry.Pool) []bool {
	if room.pool != pool {
		return nil
	}
	return room.decision.Full
}

// admit decides whether the request may be sent to an upstream of the pool now. It returns OK
// or the code with which it is refused.
func (exchange *exchange) admit(pool *registry.Pool) result.Code {
	if !exchange.roomMatters(pool) {
		return result.OK
	}
	key := exchange.roomKey(pool)
	if !exchange.admission.Arrived(time.Now(), key, exchange.arrival()) {
		return result.OK
	}
	return exchange.decide(pool, key, false)
}

// roomKey returns the key of the pool in admission control. The pool may be nil.
func (exchange *exchange) roomKey(pool *registry.Pool) overload.Key {
	key := overload.Key{Service: exchange.service, Version: exchange.binding.version}
	if pool != nil {
		key.Regions = pool.RegionKey
	}
	return key
}

// roomElsewhere reports whether an upstream is known to have room for a request that another
// one turned away.
func (exchange *exchange) roomElsewhere(pool *registry.Pool) bool {
	if !exchange.roomMatters(pool) {
		return true
	}
	return exchange.decide(pool, exchange.roomKey(pool), true) == result.OK
}

// roomMatters reports whether the request depends on the room of the pool: what its upstreams
// hold is known, the request doesn't have to run alone and isn't the rest of a stream.
func (exchange *exchange) roomMatters(pool *registry.Pool) bool {
	if exchange.admission == nil || pool == nil || len(pool.Upstreams) == 0 || exchange.head.TakesUp() {
		return false
	}
	slots, _ := exchange.capacity(pool.Upstreams[0])
	return slots > 0 && exchange.standing().Allowance == strike.Free
}

// capacity returns the slots and the memory of an upstream of the request's service. They are
// zero if they are not known.
func (exchange *exchange) capacity(upstream registry.Upstream) (int, ident.Tokens) {
	service, _ := exchange.table.Service(exchange.service)
	return capacityOf(&service, upstream)
}

// capacityOf returns the slots and the memory of an upstream of a service.
func capacityOf(service *routing.Service, upstream registry.Upstream) (int, ident.Tokens) {
	switch {
	case service.Slots > 0 && service.CacheTokens > 0:
		return service.Slots, service.CacheTokens
	case upstream.Engine:
		return 0, 0
	}
	return upstream.Slots, 0
}

// decide decides on the request with what is known of the pool. offered is set if an upstream
// has turned it away.
func (exchange *exchange) decide(pool *registry.Pool, key overload.Key, offered bool) result.Code {
	now := time.Now()
	_, capacity := exchange.capacity(pool.Upstreams[0])
	request := overload.Request{
		Prefill:       exchange.prefill(),
		CachedPrefill: exchange.prefill(),
		Memory:        boundedMemory(exchange.memory(), capacity),
		Priority:      exchange.priority(),
		Target:        exchange.route.Target,
		Deadline:      exchange.deadline,
		Arrival:       exchange.arrival(),
		Offered:       offered,
	}
	if len(exchange.prefixIDs) > 0 {
		request.CachedPrefill = ownTokens(exchange.head.Prompt)
	}
	exchange.room = room{decision: exchange.admission.Decide(now, exchange.view(now, pool, key), request), pool: pool}
	if !offered {
		exchange.handler.noteShortage(now, key.Service, exchange.room.decision)
	}
	switch exchange.room.decision.Reason {
	case overload.NoRoom:
		return result.PoolFull
	case overload.TooLate:
		return result.TooLate
	case overload.WorkspaceExcess:
		return result.WorkspaceAboveUsual
	}
	return result.OK
}

// arrival describes who sent the request.
func (exchange *exchange) arrival() overload.Arrival {
	return overload.Arrival{Workspace: exchange.workspaceID()}
}

// view returns what is known of the upstreams of a pool.
func (exchange *exchange) view(now time.Time, pool *registry.Pool, key overload.Key) *overload.Pool {
	handler := exchange.handler
	chooser := handler.tuning.Load().Chooser
	view := &overload.Pool{
		Key:          key,
		Upstreams:    make([]overload.Upstream, len(pool.Upstreams)),
		Routers:      handler.slackRouters(),
		Heard:        handler.Routers(),
		Delay:        handler.loadDelay(),
		LoadMultiple: chooser.Multiple,
		LoadSlack:    chooser.Slack,
	}
	var cachedAt []ident.UpstreamID
	if len(exchange.prefixIDs) > 0 {
		cachedAt = handler.CacheIndex.Upstreams(now, exchange.prefixIDs[0])
	}
	handler.Loads.EstimateEach(now, pool.Upstreams, func(i int, estimated, local balance.Load) {
		view.Upstreams[i] = overload.Upstream{Requests: estimated.Requests, Local: local.Requests, Pending: estimated.PendingPrefill}
	})
	service, _ := exchange.table.Service(exchange.service)
	for i, upstream := range pool.Upstreams {
		known := &view.Upstreams[i]
		known.ID = upstream.ID
		known.Slots, known.Memory = capacityOf(&service, upstream)
		known.Cached = slices.Contains(cachedAt, upstream.ID)
		known.Usable = !chooser.Ejected(now, upstream.ID)
		known.Excluded = slices.Contains(exchange.tried, upstream.ID) || !chooser.Eligible(now, upstream, exchange.route.Retryable())
	}
	return view
}

// prefill returns how many prompt tokens an upstream has to prefill that has none of the prompt
// cached.
func (exchange *exchange) prefill() ident.Tokens {
	if len(exchange.head.Prompt) == 0 {
		return exchange.head.PromptTokens
	}
	return promptTokens(exchange.head.Prompt)
}

// memory returns the tokens that the request takes at an engine: those of its prompt and of
// the answer that is expected.
func (exchange *exchange) memory() ident.Tokens {
	head := &exchange.head
	output := head.LengthHint
	switch {
	case output == 0 && head.MaxOutput > 0:
		output = head.MaxOutput / maxOutputDivisor
	case output == 0:
		output = defaultOutput
	case head.MaxOutput > 0:
		output = min(output, head.MaxOutput)
	}
	return max(promptTokens(head.Prompt), head.PromptTokens) + output
}

// boundedMemory returns the memory that a request takes at an upstream with the given capacity in
// tokens, or zero for a plain service: callers may state any length of the answer.
func boundedMemory(memory, capacity ident.Tokens) ident.Tokens {
	if capacity <= 0 {
		return memory
	}
	return min(memory, capacity)
}

// priority returns the priority of the request: that of its workspace if it has one, and
// otherwise that of its route.
func (exchange *exchange) priority() int {
	if exchange.workspace != nil && exchange.workspace.Priority != nil {
		return *exchange.workspace.Priority
	}
	return exchange.route.Priority
}

// countRoom counts a request that is sent to the chosen upstream. The returned function counts
// its end, and whether it was answered completely.
func (exchange *exchange) countRoom(upstream registry.Upstream, prefill ident.Tokens) func(answered bool) {
	controller := exchange.admission
	if controller == nil {
		return func(bool) {}
	}
	service, sentAt := exchange.service, time.Now()
	slots, capacity := exchange.capacity(upstream)
	inFlight := exchange.choice.Load.Requests
	memory := controller.Sent(sentAt, service, prefill, boundedMemory(exchange.memory(), capacity))
	return func(answered bool) {
		now := time.Now()
		controller.Ended(now, service, memory)
		if answered {
			controller.Answered(service, upstream.ID, now.Sub(sentAt), slots, inFlight)
		}
	}
}

// recordTurnedAway records that an upstream turned the request away because it is full.
func (exchange *exchange) recordTurnedAway(answer *answer) {
	handler := exchange.handler
	if exchange.admission == nil || answer.response.StatusCode != http.StatusServiceUnavailable || answer.head.Leaving {
		return
	}
	if slots, _ := exchange.capacity(answer.upstream); slots == 0 {
		return
	}
	exchange.admission.TurnedAway(time.Now(), exchange.roomKey(exchange.pool()), answer.upstream.ID, handler.loadDelay())
}

// loadDelay returns the time within which the requests of a router are known to all others.
func (handler *Handler) loadDelay() time.Duration {
	if handler.LoadDelay == nil {
		return defaultLoadDelay
	}
	return handler.LoadDelay()
}

// retryAfterRoom returns the Retry-After of a request that was refused for lack of room, by
// admission control or by upstreams. It returns zero for other codes, and if the room of the
// pool is not known.
func (exchange *exchange) retryAfterRoom(code result.Code) time.Duration {
	switch {
	case refusedForRoom(code):
		return max(exchange.room.decision.RetryAfter, minRetryAfter)
	case code == result.QueueFull:
		if pool := exchange.pool(); exchange.table != nil && exchange.roomMatters(pool) {
			return max(exchange.admission.RetryAfter(time.Now(), exchange.roomKey(pool), exchange.callerDeadline), minRetryAfter)
		}
	}
	return 0
}

// refusedForRoom reports whether code means that a pool has no room for a request.
func refusedForRoom(code result.Code) bool {
	return code == result.PoolFull || code == result.TooLate || code == result.WorkspaceAboveUsual
}

// roomAttributes describes what was known of the room of the pool.
func (exchange *exchange) roomAttributes() []slog.Attr {
	decision := &exchange.room.decision
	return []slog.Attr{
		slog.Float64("Usage", decision.Usage),
		slog.Float64("Room", decision.Room),
		slog.Float64("RoomPart", decision.Part),
		slog.Float64("MayUse", decision.Level),
		slog.Int64("WaitMs", decision.Wait.Milliseconds()),
		slog.Int64("RetryAfterMs", decision.RetryAfter.Milliseconds()),
	}
}

// shortage is a period in which requests to a service are refused because there is no room.
type shortage struct {
	refused int
	lastAt  time.Time
	since   time.Time
}

// shortageQuiet is the time without a refusal after which a shortage is over.
const shortageQuiet = 3 * time.Second

// noteShortage counts a refusal, and logs the first one of a shortage.
func (handler *Handler) noteShortage(now time.Time, service ident.ServiceName, decision overload.Decision) {
	if decision.Reason == "" {
		return
	}
	handler.mu.Lock()
	if handler.shortages == nil {
		handler.shortages = make(map[ident.ServiceName]*shortage)
	}
	current := handler.shortages[service]
	first := current == nil
	if first {
		current = &shortage{since: now}
		handler.shortages[service] = current
	}
	current.refused++
	current.lastAt = now
	handler.mu.Unlock()
	if first {
		handler.Metrics.CountEvent("overload.began")
		handler.Logger.Warn("Requests are refused for lack of room.", "Service", service, "Reason", string(decision.Reason), "Usage", decision.Usage,
			"Room", decision.Room, "RoomPart", decision.Part, "Routers", handler.slackRouters(), "Heard", handler.Routers(), "DelayMs", handler.loadDelay().Milliseconds())
	}
}

// ReportShortages logs the end of shortages of room.
func (handler *Handler) ReportShortages(now time.Time) {
	handler.mu.Lock()
	if len(handler.shortages) == 0 {
		handler.mu.Unlock()
		return
	}
	ended := make(map[ident.ServiceName]shortage)
	for service, current := range handler.shortages {
		if now.Sub(current.lastAt) > shortageQuiet {
			ended[service] = *current
			delete(handler.shortages, service)
		}
	}
	handler.mu.Unlock()
	for service, past := range ended {
		handler.Metrics.CountEvent("overload.ended")
		handler.Logger.Info("No request is refused for lack of room any more.", "Service", service, "Refused", past.refused, "Ms", past.lastAt.Sub(past.since).Milliseconds())
	}
}
