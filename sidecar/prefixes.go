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
	// prefixTimeout bounds one transfer. A request waits no longer for it.
	prefixTimeout = 500 * time.Millisecond
	// eventInterval is the time between two readings of cache events.
	eventInterval = 2 * time.Second
	// bytesPerToken estimates the length of a prompt in tokens.
	bytesPerToken = 5
	// pushTokens bounds the prefixes that a leaving upstream passes on.
	pushTokens = ident.Tokens(25_000)
)

// DefaultPrefixPolicy says when fetching a prefix is worth it where the
// settings file names nothing.
var DefaultPrefixPolicy = prefix.Policy{
	MinTokens:  64,
	TokenBytes: 512,
	Budget:     64 << 20,
	Burst:      256 << 20,
}

// Prefixes moves cached prompt prefixes between the engines of a pool. Any
// failure of it costs a prefill and nothing else. Set its exported fields and
// call SetPolicy before the first use.
type Prefixes struct {
	Self   ident.UpstreamID
	Client *upstream.Client
	// HopOf returns the hop address of an upstream's sidecar.
	HopOf func(holder ident.UpstreamID) (string, bool)
	// Open reads the prefix of a chat from the sidecar at address.
	Open    func(ctx context.Context, address string, chat ident.ChatID) (io.ReadCloser, error)
	Metrics *metrics.Set

	mu      sync.Mutex
	fetcher prefix.Fetcher
	index   prefix.Index
	event   uint64
}

// SetPolicy puts policy in force.
func (prefixes *Prefixes) SetPolicy(policy prefix.Policy) {
	prefixes.mu.Lock()
	defer prefixes.mu.Unlock()
	prefixes.fetcher.SetPolicy(policy)
}

// Fetch brings the prefix of chat from holder if that is worth it.
func (prefixes *Prefixes) Fetch(ctx context.Context, chat ident.ChatID, holder ident.UpstreamID, tokens ident.Tokens) {
	address, found := prefixes.HopOf(holder)
	if !found {
		return
	}
	if reason := prefixes.begin(chat, holder, tokens); reason != prefix.Fetch {
		prefixes.Metrics.CountEvent("prefix.skipped." + string(reason))
		return
	}
	ctx, cancel := context.WithTimeout(ctx, prefixTimeout)
	defer cancel()
	size, err := prefixes.transfer(ctx, address, chat)
	prefixes.end(chat, prefix.Outcome{Holder: holder, Reason: reasonOf(err), Tokens: tokens, Bytes: size})
}

func (prefixes *Prefixes) begin(chat ident.ChatID, holder ident.UpstreamID, tokens ident.Tokens) prefix.Reason {
	prefixes.mu.Lock()
	defer prefixes.mu.Unlock()
	request := prefix.Request{Chat: chat, Self: prefixes.Self, Holder: holder, Tokens: tokens}
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

// reasonOf tells a holder that has no such prefix from one that failed.
func reasonOf(err error) prefix.Reason {
	switch {
	case err == nil:
		return prefix.Fetch
	case errors.Is(err, errNoPrefix):
		return prefix.HolderEvicted
	}
	return prefix.HolderFailed
}

var errNoPrefix = errors.New("the holder has no such prefix")

// transfer streams the prefix from the holder's engine into the own one.
func (prefixes *Prefixes) transfer(ctx context.Context, address string, chat ident.ChatID) (ident.Bytes, error) {
	body, err := prefixes.Open(ctx, address, chat)
	if err != nil {
		return 0, err
	}
	defer body.Close()
	counted := &countedReader{reader: body}
	err = prefixes.Client.Import(ctx, chat, counted)
	return counted.count, err
}

type countedReader struct {
	reader io.Reader
	count  ident.Bytes
}

// Read reads and counts.
func (counted *countedReader) Read(buffer []byte) (int, error) {
	n, err := counted.reader.Read(buffer)
	counted.count += ident.Bytes(n)
	return n, err
}

// HasCached reports whether the engine is believed to hold a prefix of chat.
func (prefixes *Prefixes) HasCached(chat ident.ChatID) bool {
	prefixes.mu.Lock()
	defer prefixes.mu.Unlock()
	return prefixes.index.CachedTokens(chat) > 0
}

// Moved tells that another upstream has fetched the prefix of chat.
func (prefixes *Prefixes) Moved(chat ident.ChatID) {
	prefixes.mu.Lock()
	defer prefixes.mu.Unlock()
	prefixes.index.Moved(chat)
}

// WantsImport reports whether a prefix that another upstream passes on is of
// use.
func (prefixes *Prefixes) WantsImport(chat ident.ChatID, tokens ident.Tokens) bool {
	prefixes.mu.Lock()
	defer prefixes.mu.Unlock()
	return prefixes.index.WantsImport(prefix.CachedPrefix{Chat: chat, Tokens: tokens})
}

// RecordUse tells that the engine ran a request of chat with a prompt of
// tokens.
func (prefixes *Prefixes) RecordUse(chat ident.ChatID, tokens ident.Tokens) {
	prefixes.mu.Lock()
	defer prefixes.mu.Unlock()
	prefixes.index.RecordUse(time.Now(), chat, tokens)
}

// Hottest returns the prefixes to pass on at a planned leave, hottest first.
func (prefixes *Prefixes) Hottest() []prefix.CachedPrefix {
	prefixes.mu.Lock()
	defer prefixes.mu.Unlock()
	return prefixes.index.Hottest(time.Now(), DefaultPrefixPolicy.MinTokens, pushTokens)
}

// Run reads the engine's cache events until ctx ends.
func (prefixes *Prefixes) Run(ctx context.Context) {
	wait.Every(ctx, eventInterval, prefixes.readEvents)
}

// readEvents takes in which prefixes the engine dropped. They come late and
// with gaps, so they only spare a vain request.
func (prefixes *Prefixes) readEvents(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, eventInterval)
	defer cancel()
	events, err := prefixes.Client.Events(ctx, prefixes.event)
	if err != nil {
		return
	}
	prefixes.mu.Lock()
	defer prefixes.mu.Unlock()
	for _, event := range events {
		prefixes.event = max(prefixes.event, event.Number)
		if event.Evicted {
			prefixes.index.Evicted(event.Chat)
		}
	}
}
