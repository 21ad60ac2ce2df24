package sidecar

import (
	"context"
	"io"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/hickoryhead/hickoryhead/ident"
	"github.com/hickoryhead/hickoryhead/metrics"
	"github.com/hickoryhead/hickoryhead/prefix"
	"github.com/hickoryhead/hickoryhead/upstream"
	"github.com/hickoryhead/hickoryhead/wait"
)

const (
	// prefixFetchTimeout limits one transfer and with it the time that a request
	// waits for the transfer.
	prefixFetchTimeout = 500 * time.Millisecond
	// eventPollInterval is the time between two polls for cache events.
	eventPollInterval = 2 * time.Second
	// bytesPerToken is used to estimate the tokens of a prompt from its length.
	bytesPerToken = 5
	// maxPushTokens limits the prefixes that a leaving upstream offers to others.
	maxPushTokens = ident.Tokens(25_000)
)

// DefaultPrefixPolicy decides which prefixes are worth fetching if the settings
// file does not specify a policy.
var DefaultPrefixPolicy = prefix.Policy{
	MinTokens:  64,
	TokenBytes: 512,
	Budget:     64 << 20,
	Burst:      256 << 20,
}

// Prefixes transfers cached prompt prefixes between the engines of a pool. A
// failed transfer only means that the engine has to prefill the prompt. Its
// methods are safe for concurrent use. Set its exported fields and call SetPolicy
// before the first use.
type Prefixes struct {
	Self   ident.UpstreamID
	Client *upstream.Client
	// SidecarAddress returns the address at which the sidecar of an upstream serves
	// routers and other sidecars, and whether it is known.
	SidecarAddress func(source ident.UpstreamID) (string, bool)
	// Open returns a reader of the prefix of a chat, served by the sidecar at
	// address.
	Open    func(ctx context.Context, address string, chat ident.ChatID) (io.ReadCloser, error)
	Metrics *metrics.Set

	mu      sync.Mutex
	fetcher prefix.Fetcher
	index   prefix.Index
	// lastEvent is the number of the newest cache event that was read.
	lastEvent uint64
}

// SetPolicy replaces the policy and resets the transfer budget.
func (prefixes *Prefixes) SetPolicy(policy prefix.Policy) {
	prefixes.mu.Lock()
	defer prefixes.mu.Unlock()
	prefixes.fetcher.SetPolicy(policy)
}

// Fetch imports the prefix of chat from the engine of source if the policy allows
// it. tokens is the estimated length of the prefix. Failures are only counted.
func (prefixes *Prefixes) Fetch(ctx context.Context, chat ident.ChatID, source ident.UpstreamID, tokens ident.Tokens) {
	address, found := prefixes.SidecarAddress(source)
	if !found {
		return
	}
	if reason := prefixes.begin(chat, source, tokens); reason != prefix.Fetch {
		prefixes.Metrics.CountEvent("prefix.skipped." + string(reason))
		return
	}
	ctx, cancel := context.WithTimeout(ctx, prefixFetchTimeout)
	defer cancel()
	size, err := prefixes.transfer(ctx, address, chat)
	prefixes.end(chat, prefix.Outcome{Source: source, Reason: fetchReason(err), Tokens: tokens, Bytes: size})
}

func (prefixes *Prefixes) begin(chat ident.ChatID, source ident.UpstreamID, tokens ident.Tokens) prefix.Reason {
	prefixes.mu.Lock()
	defer prefixes.mu.Unlock()
	request := prefix.Request{Chat: chat, Self: prefixes.Self, Source: source, Tokens: tokens}
	request.Cached = prefixes.index.CachedTokens(chat) > 0
	return prefixes.fetcher.Begin(time.Now(), request)
}

func (prefixes *Prefixes) end(chat ident.ChatID, outcome prefix.Outcome) {
	prefixes.mu.Lock()
	defer prefixes.mu.Unlock()
	now := time.Now()
	prefixes.fetcher.End(now, outcome)
	if outcome.Reason != prefix.Fetch {
		prefixes.Metrics.CountEvent("prefix.failed." + string(outcome.Reason))
		return
	}
	prefixes.index.RecordUse(now, chat, outcome.Tokens)
	prefixes.Metrics.CountEvent("prefix.fetched")
}

// fetchReason returns the outcome of a transfer that ended with err. It
// distinguishes an upstream that no longer has the prefix from one that failed.
func fetchReason(err error) prefix.Reason {
	switch {
	case err == nil:
		return prefix.Fetch
	case errors.Is(err, errNoPrefix):
		return prefix.HolderEvicted
	}
	return prefix.SourceFailed
}

var errNoPrefix = errors.New("the upstream does not have the prefix cached")

// transfer streams the prefix of chat from the sidecar at address into the local
// engine and returns the number of bytes read.
func (prefixes *Prefixes) transfer(ctx context.Context, address string, chat ident.ChatID) (ident.Bytes, error) {
	body, err := prefixes.Open(ctx, address, chat)
	if err != nil {
		return 0, err
	}
	defer body.Close()
	counted := &countingReader{reader: body}
	err = prefixes.Client.Import(ctx, chat, counted)
	return counted.count, err
}

// countingReader counts the bytes read from reader.
type countingReader struct {
	reader io.Reader
	count  ident.Bytes
}

// Read implements io.Reader.
func (counted *countingReader) Read(buffer []byte) (int, error) {
	n, err := counted.reader.Read(buffer)
	counted.count += ident.Bytes(n)
	return n, err
}

// HasCached reports whether the engine is assumed to have a prefix of chat cached.
func (prefixes *Prefixes) HasCached(chat ident.ChatID) bool {
	prefixes.mu.Lock()
	defer prefixes.mu.Unlock()
	return prefixes.index.CachedTokens(chat) > 0
}

// Moved records that another upstream has fetched the prefix of chat.
func (prefixes *Prefixes) Moved(chat ident.ChatID) {
	prefixes.mu.Lock()
	defer prefixes.mu.Unlock()
	prefixes.index.Moved(chat)
}

// WantsImport reports whether a prefix offered by another upstream is worth
// importing.
func (prefixes *Prefixes) WantsImport(chat ident.ChatID, tokens ident.Tokens) bool {
	prefixes.mu.Lock()
	defer prefixes.mu.Unlock()
	return prefixes.index.WantsImport(prefix.CachedPrefix{Chat: chat, Tokens: tokens})
}

// RecordUse records that the engine ran a request of chat whose prompt has the
// given number of tokens.
func (prefixes *Prefixes) RecordUse(chat ident.ChatID, tokens ident.Tokens) {
	prefixes.mu.Lock()
	defer prefixes.mu.Unlock()
	prefixes.index.RecordUse(time.Now(), chat, tokens)
}

// Hottest returns the prefixes to offer to other upstreams before a planned
// leave, most used first.
func (prefixes *Prefixes) Hottest() []prefix.CachedPrefix {
	prefixes.mu.Lock()
	defer prefixes.mu.Unlock()
	return prefixes.index.Hottest(time.Now(), DefaultPrefixPolicy.MinTokens, maxPushTokens)
}

// Run periodically reads the engine's cache events until ctx ends.
func (prefixes *Prefixes) Run(ctx context.Context) {
	wait.Every(ctx, eventPollInterval, prefixes.readEvents)
}

// readEvents records which prefixes the engine evicted. Events are late and may
// be missing, so the index is only a hint that saves some useless transfers.
func (prefixes *Prefixes) readEvents(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, eventPollInterval)
	defer cancel()
	events, err := prefixes.Client.Events(ctx, prefixes.lastEvent)
	if err != nil {
		return
	}
	prefixes.mu.Lock()
	defer prefixes.mu.Unlock()
	for _, event := range events {
		prefixes.lastEvent = max(prefixes.lastEvent, event.Number)
		if event.Evicted {
			prefixes.index.Evicted(event.Chat)
		}
	}
}
