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
	// firstTellings is how many uses of a prompt in a row the others are told of,
	// so that a lost message does no harm; from then on they are told of a use
	// each retellAfter.
	firstTellings = 2
	retellAfter   = 5 * time.Second
	// maxHolders bounds the upstreams that are remembered for one prompt.
	maxHolders = 8
)

// CacheUpdate says that an upstream read a shared prompt.
type CacheUpdate struct {
	//lint:ignore U1000 msgpack reads its tag: it is written as an array
	_msgpack struct{} `msgpack:",as_array"`

	Key      ident.ChatID
	Upstream ident.UpstreamID
}

// holder is an upstream that has a shared prompt cached.
type holder struct {
	upstream ident.UpstreamID
	usedAt   time.Time
	// own says that this router sent it there, or was told by the upstream.
	own bool
	// tellings counts how often the others were told, and toldAt when last.
	tellings int
	toldAt   time.Time
}

// tell reports whether the others are to be told that the upstream has the
// prompt cached, and notes that they are.
func (one *holder) tell(now time.Time) bool {
	if one.tellings >= firstTellings && now.Before(one.toldAt.Add(retellAfter)) {
		return false
	}
	one.tellings++
	one.toldAt = now
	return true
}

// CacheIndex remembers which upstreams have which shared prompts cached, from
// what this router and others sent there. The zero value knows of none. It is
// safe for concurrent use.
type CacheIndex struct {
	mu      sync.Mutex
	prompts *simplelru.LRU[ident.ChatID, []holder]
	pending []CacheUpdate
}

// maxNews bounds what is told to other routers at once.
const maxNews = 512

// RecordLocal takes in that this router sent a request with a shared prompt to
// an upstream, and keeps it to be told to others unless they know.
func (index *CacheIndex) RecordLocal(now time.Time, update CacheUpdate) {
	index.mu.Lock()
	defer index.mu.Unlock()
	one := index.remember(now, update)
	one.own = true
	if one.tell(now) {
		index.pending = append(index.pending, update)
	}
}

// ApplyRemote takes in what another router sent.
func (index *CacheIndex) ApplyRemote(now time.Time, updates []CacheUpdate) {
	index.mu.Lock()
	defer index.mu.Unlock()
	for _, update := range updates {
		index.remember(now, update)
	}
}

// TakePending returns what this router sent since the last call, or a part of
// it.
func (index *CacheIndex) TakePending() []CacheUpdate {
	index.mu.Lock()
	defer index.mu.Unlock()
	count := min(len(index.pending), maxNews)
	updates := index.pending[:count:count]
	index.pending = index.pending[count:]
	return updates
}

// Local returns what this router knows at first hand, for one that has just
// started.
func (index *CacheIndex) Local(now time.Time) []CacheUpdate {
	index.mu.Lock()
	defer index.mu.Unlock()
	if index.prompts == nil {
		return nil
	}
	var updates []CacheUpdate
	for _, key := range index.prompts.Keys() {
		known, _ := index.prompts.Peek(key)
		for _, one := range known {
			if one.own && !now.After(one.usedAt.Add(holderLifetime)) {
				updates = append(updates, CacheUpdate{Key: key, Upstream: one.upstream})
			}
		}
	}
	return updates
}

// remember notes the use of a prompt and returns what is known of the upstream
// that has it cached. The caller holds mu.
func (index *CacheIndex) remember(now time.Time, update CacheUpdate) *holder {
	if index.prompts == nil {
		// The size is positive, which is all that NewLRU asks for.
		index.prompts, _ = simplelru.NewLRU[ident.ChatID, []holder](maxPrompts, nil)
	}
	known, _ := index.prompts.Get(update.Key)
	for i := range known {
		if known[i].upstream == update.Upstream {
			known[i].usedAt = now
			return &known[i]
		}
	}
	known = slices.DeleteFunc(known, func(old holder) bool { return now.After(old.usedAt.Add(holderLifetime)) })
	if len(known) == maxHolders {
		known = slices.Delete(known, 0, 1)
	}
	known = append(known, holder{upstream: update.Upstream, usedAt: now})
	index.prompts.Add(update.Key, known)
	return &known[len(known)-1]
}

// Upstreams returns the upstreams that have the shared prompt key cached.
func (index *CacheIndex) Upstreams(now time.Time, key ident.ChatID) []ident.UpstreamID {
	index.mu.Lock()
	defer index.mu.Unlock()
	if index.prompts == nil {
		return nil
	}
	known, _ := index.prompts.Get(key)
	var current []ident.UpstreamID
	for _, one := range known {
		if !now.After(one.usedAt.Add(holderLifetime)) {
			current = append(current, one.upstream)
		}
	}
	return current
}

// Forget drops an upstream that started anew: nothing is cached there.
func (index *CacheIndex) Forget(upstream ident.UpstreamID) {
	index.mu.Lock()
	defer index.mu.Unlock()
	if index.prompts == nil {
		return
	}
	for _, key := range index.prompts.Keys() {
		known, _ := index.prompts.Peek(key)
		left := slices.DeleteFunc(known, func(one holder) bool { return one.upstream == upstream })
		if len(left) == 0 {
			index.prompts.Remove(key)
			continue
		}
		index.prompts.Add(key, left)
	}
}
