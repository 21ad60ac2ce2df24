package standin

import (
	"context"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/hickoryhead/hickoryhead/ident"
	"github.com/hickoryhead/hickoryhead/upstream"
)

// Limits of an Engine whose fields are zero.
const (
	DefaultLimit                    = 8
	DefaultMaxWaiting               = 64
	DefaultCacheTokens ident.Tokens = 1 << 18
)

// crashAfter is the number of tokens that a crashing answer still gives.
const crashAfter ident.Tokens = 1

var (
	errDead      = errors.New("engine dead")
	errCancelled = errors.New("request cancelled")
)

// Engine stands in for a model engine: it batches continuously, keeps prompt
// prefixes in a bounded cache, and streams an answer that depends on nothing but
// the prompt. The zero value answers every model at once. Its fields are set
// before first use.
type Engine struct {
	Clock

	// Model is the model that it holds. An engine without one answers every
	// model until it takes its first order.
	Model ident.ModelName
	// Limit is the most requests batched; zero means DefaultLimit.
	Limit int
	// MaxWaiting is the most requests that wait for the batch; zero means
	// DefaultMaxWaiting. More are refused with status 503.
	MaxWaiting int
	// Priorities are the priorities of the waiting queue, the first one first.
	// Others come after them.
	Priorities []ident.Priority
	// TokensPerSecond is the speed of one answer when it runs alone; zero
	// means without delay.
	TokensPerSecond float64
	// BatchShare lengthens the time of a token by this share for each further
	// request in the batch.
	BatchShare float64
	// PrefillPerSecond is the number of prompt tokens, not found in the cache,
	// that are taken in each second; zero means without delay.
	PrefillPerSecond float64
	// CacheTokens bounds the prefix cache; zero means DefaultCacheTokens.
	CacheTokens ident.Tokens
	// LoadLag is the age of the load report.
	LoadLag time.Duration
	// EventLag is the time until a cache event shows. Each event whose number
	// is a multiple of EventSkip is left out, where that is above zero.
	EventLag  time.Duration
	EventSkip uint64
	// CheckFence refuses an order with a fencing number below the highest
	// seen, with status 409.
	CheckFence bool
	// OrderTime is how long an order takes.
	OrderTime time.Duration
	// CrashMarker makes the engine crash after the first token of a prompt
	// whose text contains it; empty means never.
	CrashMarker string
	// OnCrash is called for a crash; nil means that Crash is called.
	OnCrash func()

	once sync.Once
	mux  *http.ServeMux

	batch batch

	mu       sync.Mutex
	dead     bool
	running  map[ident.AttemptID]context.CancelCauseFunc
	cache    prefixCache
	events   eventLog
	loads    lagged[upstream.Load]
	model    ident.ModelName
	placed   bool
	fence    ident.FencingNumber
	orders   []upstream.Order
	counters EngineCounters
}

// EngineCounters count the work of an Engine since its start.
type EngineCounters struct {
	// Requests counts the requests taken on, Answers those answered whole,
	// Resumed those that continued an answer, and Cancelled those cancelled.
	Requests  int64
	Answers   int64
	Resumed   int64
	Cancelled int64
	// PromptTokens counts the tokens of all prompts, of which CachedTokens
	// were found in the cache.
	PromptTokens ident.Tokens
	CachedTokens ident.Tokens
	// Tokens counts the tokens generated.
	Tokens ident.Tokens
	// Exports and Imports count the prefixes given and taken.
	Exports int64
	Imports int64
	// PeakRunning is the largest batch so far.
	PeakRunning int
}

func (engine *Engine) prepare() {
	engine.batch.limit = orDefault(engine.Limit, DefaultLimit)
	engine.batch.maxWaiting = orDefault(engine.MaxWaiting, DefaultMaxWaiting)
	engine.batch.changed = engine.loadChanged
	engine.cache.limit = orDefault(engine.CacheTokens, DefaultCacheTokens)
	engine.events.skip = engine.EventSkip
	engine.model = engine.Model
	engine.running = make(map[ident.AttemptID]context.CancelCauseFunc)
	engine.mux = engine.routes()
}

func orDefault[T comparable](value, fallback T) T {
	var zero T
	if value == zero {
		return fallback
	}
	return value
}

// Crash cuts every answer, and every later request, until Restart.
func (engine *Engine) Crash() {
	engine.mu.Lock()
	defer engine.mu.Unlock()
	engine.dead = true
	for _, cancel := range engine.running {
		cancel(errDead)
	}
}

// Restart lets a dead engine take requests again, with an empty cache.
func (engine *Engine) Restart() {
	engine.mu.Lock()
	defer engine.mu.Unlock()
	engine.dead = false
	engine.cache = prefixCache{limit: engine.cache.limit}
}

// Counters returns the counters.
func (engine *Engine) Counters() EngineCounters {
	engine.mu.Lock()
	defer engine.mu.Unlock()
	return engine.counters
}

// Orders returns the orders carried out so far.
func (engine *Engine) Orders() []upstream.Order {
	engine.mu.Lock()
	defer engine.mu.Unlock()
	return slices.Clone(engine.orders)
}

func (engine *Engine) triggerCrash() {
	if engine.OnCrash != nil {
		engine.OnCrash()
		return
	}
	engine.Crash()
}

func (engine *Engine) crashes(prompt upstream.Prompt) bool {
	return engine.CrashMarker != "" && strings.Contains(prompt.Text, engine.CrashMarker)
}

// rank returns the place of a priority in the waiting queue.
func (engine *Engine) rank(priority ident.Priority) int {
	at := slices.Index(engine.Priorities, priority)
	if at < 0 {
		return len(engine.Priorities)
	}
	return at
}

// start registers a request so that it can be cancelled.
func (engine *Engine) start(ctx context.Context, generate upstream.Generate) (context.Context, error) {
	engine.mu.Lock()
	defer engine.mu.Unlock()
	if !engine.serves(generate.Model) {
		return nil, errors.Newf("model %s is not loaded", generate.Model)
	}
	if _, found := engine.running[generate.Request]; found {
		return nil, errors.Newf("request %s is running already", generate.Request)
	}
	ctx, cancel := context.WithCancelCause(ctx)
	engine.running[generate.Request] = cancel
	engine.counters.Requests++
	if generate.ResumeTokens > 0 {
		engine.counters.Resumed++
	}
	return ctx, nil
}

func (engine *Engine) serves(model ident.ModelName) bool {
	if engine.model == "" {
		return !engine.placed
	}
	return engine.model == model
}

func (engine *Engine) finish(request ident.AttemptID) {
	engine.mu.Lock()
	defer engine.mu.Unlock()
	engine.running[request](nil)
	delete(engine.running, request)
}

// cancel stops a running or waiting request and reports whether there was one.
func (engine *Engine) cancel(request ident.AttemptID) bool {
	engine.mu.Lock()
	defer engine.mu.Unlock()
	cancel, found := engine.running[request]
	if !found {
		return false
	}
	engine.counters.Cancelled++
	cancel(errCancelled)
	return true
}

// prefill takes the prompt in and returns the tokens of it that were cached.
func (engine *Engine) prefill(ctx context.Context, generate upstream.Generate) (ident.Tokens, error) {
	prompt := CountTokens(generate.Prompt.Text)
	engine.mu.Lock()
	cached := engine.cache.find(generate.Chat, generate.Prompt.Text)
	engine.counters.PromptTokens += prompt
	engine.counters.CachedTokens += cached
	engine.mu.Unlock()
	if engine.PrefillPerSecond > 0 {
		missing := prompt - cached + generate.ResumeTokens
		if err := engine.sleep(ctx, seconds(float64(missing)/engine.PrefillPerSecond)); err != nil {
			return 0, err
		}
	}
	engine.keep(generate.Chat, prefixOf(generate.Prompt.Text))
	return cached, nil
}

// keep caches the prefix of a chat and logs what that changed.
func (engine *Engine) keep(chat ident.ChatID, kept prefix) {
	if chat == "" {
		return
	}
	engine.mu.Lock()
	defer engine.mu.Unlock()
	displaced, stored := engine.cache.put(chat, kept)
	now := engine.now()
	for _, evicted := range displaced {
		engine.events.add(now, upstream.CacheEvent{Chat: evicted, Evicted: true})
	}
	if stored {
		engine.events.add(now, upstream.CacheEvent{Chat: chat, Tokens: kept.Tokens})
	}
}

// step returns the time that one token takes in the present batch.
func (engine *Engine) step() time.Duration {
	if engine.TokensPerSecond <= 0 {
		return 0
	}
	others := max(0, engine.batch.size()-1)
	return seconds((1 + engine.BatchShare*float64(others)) / engine.TokensPerSecond)
}

func seconds(count float64) time.Duration {
	return time.Duration(count * float64(time.Second))
}

// loadChanged records a change of the batch.
func (engine *Engine) loadChanged(running, waiting int) {
	engine.mu.Lock()
	defer engine.mu.Unlock()
	engine.counters.PeakRunning = max(engine.counters.PeakRunning, running)
	now := engine.now()
	engine.loads.set(now, upstream.Load{Running: running, Waiting: waiting})
	engine.loads.get(now.Add(-engine.LoadLag))
}

// load returns the report of the load as it was LoadLag ago.
func (engine *Engine) load() upstream.Load {
	engine.mu.Lock()
	defer engine.mu.Unlock()
	load := engine.loads.get(engine.now().Add(-engine.LoadLag))
	load.Limit = engine.batch.limit
	load.LagMs = engine.LoadLag.Milliseconds()
	load.Model = engine.model
	return load
}

// order carries out an order and reports whether its fencing number is accepted.
func (engine *Engine) order(ctx context.Context, order upstream.Order) (bool, error) {
	if !engine.fenced(order.Fence) {
		return false, nil
	}
	if err := engine.sleep(ctx, engine.OrderTime); err != nil {
		return true, err
	}
	engine.mu.Lock()
	defer engine.mu.Unlock()
	engine.orders = append(engine.orders, order)
	engine.placed = true
	switch {
	case order.Kind == upstream.LoadModel:
		engine.model = order.Model
	case engine.model == order.Model:
		engine.model = ""
	}
	return true, nil
}

func (engine *Engine) fenced(fence ident.FencingNumber) bool {
	engine.mu.Lock()
	defer engine.mu.Unlock()
	if engine.CheckFence && fence < engine.fence {
		return false
	}
	engine.fence = max(engine.fence, fence)
	return true
}
