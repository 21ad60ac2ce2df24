package balance

import (
	"slices"
	"sync"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"github.com/hickoryhead/hickoryhead/ident"
)

const (
	// maxPrompts bounds the shared prompts whose holders are remembered.
	maxPrompts = 65536
	// holderLifetime is how long after its last use a shared prompt is taken to
	// be cached. Upstreams drop what was used least recently.
	holderLifetime = 30 * time.Second
	// maxHolders bounds the upstreams that are remembered for one prompt.
	maxHolders = 8
)

// Served says that an upstream read a shared prompt.
type Served struct {
	Key      ident.ChatID
	Upstream ident.UpstreamID
}

// holder is an upstream that has a shared prompt cached.
type holder struct {
	upstream ident.UpstreamID
	usedAt   time.Time
}

// Holders remembers which upstreams have which shared prompts cached, from what
// this router and others sent there. The zero value knows of none. It is safe
// for concurrent use.
type Holders struct {
	mu      sync.Mutex
	prompts *simplelru.LRU[ident.ChatID, []holder]
	news    []Served
}

// maxNews bounds what waits to be told to other routers.
const maxNews = 256

// Served takes in that this router sent a request with a shared prompt to an
// upstream, and keeps it to be told to others.
func (holders *Holders) Served(now time.Time, served Served) {
	holders.mu.Lock()
	defer holders.mu.Unlock()
	holders.remember(now, served)
	if len(holders.news) < maxNews {
		holders.news = append(holders.news, served)
	}
}

// Heard takes in what another router sent.
func (holders *Holders) Heard(now time.Time, served []Served) {
	holders.mu.Lock()
	defer holders.mu.Unlock()
	for _, one := range served {
		holders.remember(now, one)
	}
}

// News returns what this router sent since the last call.
func (holders *Holders) News() []Served {
	holders.mu.Lock()
	defer holders.mu.Unlock()
	news := holders.news
	holders.news = nil
	return news
}

func (holders *Holders) remember(now time.Time, served Served) {
	if holders.prompts == nil {
		// The size is positive, which is all that NewLRU asks for.
		holders.prompts, _ = simplelru.NewLRU[ident.ChatID, []holder](maxPrompts, nil)
	}
	known, _ := holders.prompts.Get(served.Key)
	for i := range known {
		if known[i].upstream == served.Upstream {
			known[i].usedAt = now
			return
		}
	}
	known = slices.DeleteFunc(known, func(old holder) bool { return now.After(old.usedAt.Add(holderLifetime)) })
	if len(known) == maxHolders {
		known = slices.Delete(known, 0, 1)
	}
	holders.prompts.Add(served.Key, append(known, holder{upstream: served.Upstream, usedAt: now}))
}

// Of returns the upstreams that have the shared prompt key cached.
func (holders *Holders) Of(now time.Time, key ident.ChatID) []ident.UpstreamID {
	holders.mu.Lock()
	defer holders.mu.Unlock()
	if holders.prompts == nil {
		return nil
	}
	known, _ := holders.prompts.Get(key)
	var current []ident.UpstreamID
	for _, one := range known {
		if !now.After(one.usedAt.Add(holderLifetime)) {
			current = append(current, one.upstream)
		}
	}
	return current
}

// Forget drops an upstream that started anew: nothing is cached there.
func (holders *Holders) Forget(upstream ident.UpstreamID) {
	holders.mu.Lock()
	defer holders.mu.Unlock()
	if holders.prompts == nil {
		return
	}
	for _, key := range holders.prompts.Keys() {
		known, _ := holders.prompts.Peek(key)
		left := slices.DeleteFunc(known, func(one holder) bool { return one.upstream == upstream })
		if len(left) == 0 {
			holders.prompts.Remove(key)
			continue
		}
		holders.prompts.Add(key, left)
	}
}
