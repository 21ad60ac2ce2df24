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

// The limits of an Engine whose corresponding fields are zero.
const (
	DefaultLimit                    = 8
	DefaultMaxWaiting               = 64
	DefaultCacheTokens ident.Tokens = 1 << 18
)

// tokensBeforeCrash is the number of tokens that an engine sends before it crashes
// on a prompt with the crash marker.
const tokensBeforeCrash ident.Tokens = 1

var (
	errCrashed   = errors.New("engine crashed")
	errCancelled = errors.New("request cancelled")
)

// Engine is a stand-in for a model engine: it uses continuous batching, keeps
// prompt prefixes in a bounded cache, and streams an answer that depends on
// nothing but the prompt. The zero value answers requests for every model
// without delay. Its fields must be set before first use.
type Engine struct {
	Clock

	// Model is the model that is loaded at the start. An engine without one
	// answers requests for every model until it carries out its first order.
	Model ident.ModelName
	// Limit is the maximum batch size; zero means DefaultLimit.
	Limit int
	// MaxWaiting is the length of the waiting queue; zero means
	// DefaultMaxWaiting. Requests beyond it are refused with status 503.
	MaxWaiting int
	// Priorities orders the waiting queue, most urgent first. Requests with
	// other priorities come last.
	Priorities []ident.Priority
	// TokensPerSecond is the generation speed of an answer that is alone in
	// the batch; zero means no delay.
	TokensPerSecond float64
	// BatchShare is the share by which each further request in the batch
	// lengthens the time of a token.
	BatchShare float64
	// PrefillPerSecond is the number of uncached prompt tokens that are
	// prefilled per second; zero means no delay.
	PrefillPerSecond float64
	// CacheTokens is the size of the prefix cache; zero means
	// DefaultCacheTokens.
	CacheTokens ident.Tokens
	// LoadLag is the age of the load report.
	LoadLag time.Duration
	// EventLag is the time until a cache event becomes visible. If EventSkip
	// is above zero, each event whose number is a multiple of it is dropped.
	EventLag  time.Duration
	EventSkip uint64
	// CheckFence refuses orders with a fencing number below the highest one
	// received, with status 409.
	CheckFence bool
	// OrderTime is the time that an order takes.
	OrderTime time.Duration
	// CrashMarker makes the engine crash after the first token of a prompt
	// whose text contains it; empty means never.
	CrashMarker string
	// OnCrash is called when the engine crashes on CrashMarker; nil means
	// Crash.
	OnCrash func()

	once sync.Once
	mux  *http.ServeMux

	batch batch

	mu           sync.Mutex
	crashed      bool
	running      map[ident.AttemptID]context.CancelCauseFunc
	cache        prefixCache
	events       eventLog
	loads        lagged[upstream.Load]
	model        ident.ModelName
	ordered      bool
	highestFence ident.FencingNumber
	orders       []upstream.Order
	counters     EngineCounters
}

// EngineCounters count the work of an Engine since its start. Restart does not
// reset them.
type EngineCounters struct {
	// Requests counts the accepted requests, Answers the complete answers,
	// Resumed the requests that continued an answer, and Cancelled the
	// cancelled requests.
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
	// Exports and Imports count the exported and imported prefixes.
	Exports int64
	Imports int64
	// PeakRunning is the largest batch size so far.
	PeakRunning int
}

func (engine *Engine) prepare() {
	engine.batch.limit = orDefault(engine.Limit, DefaultLimit)
	engine.batch.maxWaiting = orDefault(engine.MaxWaiting, DefaultMaxWaiting)
	engine.batch.onChange = engine.loadChanged
	engine.cache.limit = orDefault(engine.CacheTokens, DefaultCacheTokens)
	engine.events.skipEvery = engine.EventSkip
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

// Crash closes the connection of every running request, and of every later
// request until Restart, without completing the answer.
func (engine *Engine) Crash() {
	engine.mu.Lock()
	defer engine.mu.Unlock()
	engine.crashed = true
	for _, cancel := range engine.running {
		cancel(errCrashed)
	}
}

// Restart lets a crashed engine accept requests again, with an empty prefix
// cache.
func (engine *Engine) Restart() {
	engine.mu.Lock()
	defer engine.mu.Unlock()
	engine.crashed = false
	engine.cache = prefixCache{limit: engine.cache.limit}
}

// Counters returns a snapshot of the counters.
func (engine *Engine) Counters() EngineCounters {
	engine.mu.Lock()
	defer engine.mu.Unlock()
	return engine.counters
}

// Orders returns a copy of the orders carried out so far, in order of completion.
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

func (engine *Engine) hasCrashMarker(prompt upstream.Prompt) bool {
	return engine.CrashMarker != "" && strings.Contains(prompt.Text, engine.CrashMarker)
}

// rank returns the rank of a priority in the waiting queue, lowest first.
func (engine *Engine) rank(priority ident.Priority) int {
	at := slices.Index(engine.Priorities, priority)
	if at < 0 {
		return len(engine.Priorities)
	}
	return at
}

// register adds a request to the running ones, so that it can be cancelled, and
// returns its context. It fails if the engine does not accept the model or if
// the request is already running.
func (engine *Engine) register(ctx context.Context, generate upstream.Generate) (context.Context, error) {
	engine.mu.Lock()
	defer engine.mu.Unlock()
	if !engine.accepts(generate.Model) {
		return nil, errors.Newf("model %s is not loaded", generate.Model)
	}
	if _, found := engine.running[generate.Request]; found {
		return nil, errors.Newf("request %s is already running", generate.Request)
	}
	ctx, cancel := context.WithCancelCause(ctx)
	engine.running[generate.Request] = cancel
	engine.counters.Requests++
	if generate.ResumeTokens > 0 {
		engine.counters.Resumed++
	}
	return ctx, nil
}

func (engine *Engine) accepts(model ident.ModelName) bool {
	if engine.model == "" {
		return !engine.ordered
	}
	return engine.model == model
}

func (engine *Engine) unregister(request ident.AttemptID) {
	engine.mu.Lock()
	defer engine.mu.Unlock()
	engine.running[request](nil)
	delete(engine.running, request)
}

// cancel cancels a running or waiting request and reports whether it was found.
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

// prefill waits for the prefill of the prompt, caches its prefix, and returns the
// number of prompt tokens that were already cached.
func (engine *Engine) prefill(ctx context.Context, generate upstream.Generate) (ident.Tokens, error) {
	prompt := CountTokens(generate.Prompt.Text)
	engine.mu.Lock()
	cached := engine.cache.cachedTokens(generate.Chat, generate.Prompt.Text)
	engine.counters.PromptTokens += prompt
	engine.counters.CachedTokens += cached
	engine.mu.Unlock()
	if engine.PrefillPerSecond > 0 {
		missing := prompt - cached + generate.ResumeTokens
		if err := engine.sleep(ctx, seconds(float64(missing)/engine.PrefillPerSecond)); err != nil {
			return 0, err
		}
	}
	engine.cachePrefix(generate.Chat, prefixOf(generate.Prompt.Text))
	return cached, nil
}

// cachePrefix stores the prefix of a chat in the cache and records the resulting
// cache events. It ignores prefixes without a chat.
func (engine *Engine) cachePrefix(chat ident.ChatID, cached prefix) {
	if chat == "" {
		return
	}
	engine.mu.Lock()
	defer engine.mu.Unlock()
	evictions, stored := engine.cache.put(chat, cached)
	now := engine.now()
	for _, evicted := range evictions {
		engine.events.add(now, upstream.CacheEvent{Chat: evicted, Evicted: true})
	}
	if stored {
		engine.events.add(now, upstream.CacheEvent{Chat: chat, Tokens: cached.Tokens})
	}
}

// tokenTime returns the time that one token takes with the current batch size.
func (engine *Engine) tokenTime() time.Duration {
	if engine.TokensPerSecond <= 0 {
		return 0
	}
	others := max(0, engine.batch.runningCount()-1)
	return seconds((1 + engine.BatchShare*float64(others)) / engine.TokensPerSecond)
}

func seconds(count float64) time.Duration {
	return time.Duration(count * float64(time.Second))
}

// loadChanged records a new state of the batch.
func (engine *Engine) loadChanged(running, waiting int) {
	engine.mu.Lock()
	defer engine.mu.Unlock()
	engine.counters.PeakRunning = max(engine.counters.PeakRunning, running)
	now := engine.now()
	engine.loads.set(now, upstream.Load{Running: running, Waiting: waiting})
	// Reading drops the states that are no longer needed.
	engine.loads.get(now.Add(-engine.LoadLag))
}

// load returns the load report, which shows the batch as it was LoadLag ago.
func (engine *Engine) load() upstream.Load {
	engine.mu.Lock()
	defer engine.mu.Unlock()
	load := engine.loads.get(engine.now().Add(-engine.LoadLag))
	load.Limit = engine.batch.limit
	load.LagMs = engine.LoadLag.Milliseconds()
	load.Model = engine.model
	return load
}

// order carries out an order. It returns false if the fencing number of the order
// is refused.
func (engine *Engine) order(ctx context.Context, order upstream.Order) (bool, error) {
	if !engine.acceptFence(order.Fence) {
		return false, nil
	}
	if err := engine.sleep(ctx, engine.OrderTime); err != nil {
		return true, err
	}
	engine.mu.Lock()
	defer engine.mu.Unlock()
	engine.orders = append(engine.orders, order)
	engine.ordered = true
	switch {
	case order.Kind == upstream.LoadModel:
		engine.model = order.Model
	case engine.model == order.Model:
		engine.model = ""
	}
	return true, nil
}

func (engine *Engine) acceptFence(fence ident.FencingNumber) bool {
	engine.mu.Lock()
	defer engine.mu.Unlock()
	if engine.CheckFence && fence < engine.highestFence {
		return false
	}
	engine.highestFence = max(engine.highestFence, fence)
	return true
}
