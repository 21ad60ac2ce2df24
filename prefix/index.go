package prefix

import (
	"math"
	"slices"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"github.com/hickoryhead/hickoryhead/ident"
)

// DefaultMaxChats is the maximum number of chats in an Index if it sets none.
const DefaultMaxChats = 16384

// HeatHalfLife is the time in which the heat of an unused chat is halved.
const HeatHalfLife = time.Minute

// Index tracks which chats have their prefix in the engine's cache. It is derived
// from the requests that ran on the engine and from its cache events, which may
// arrive late or be lost, so it may be wrong in both directions. The zero value is
// an empty index. An Index is not safe for concurrent use.
type Index struct {
	// MaxChats is the maximum number of chats; zero means DefaultMaxChats. The least
	// recently used chats are dropped first.
	MaxChats int

	chats *simplelru.LRU[ident.ChatID, entry]
}

// entry is the cached prefix of one chat.
type entry struct {
	tokens ident.Tokens
	// heat is the number of uses, decayed by half per HeatHalfLife until usedAt.
	heat   float64
	usedAt time.Time
}

func (entry entry) heatAt(now time.Time) float64 {
	return entry.heat * math.Exp2(-now.Sub(entry.usedAt).Seconds()/HeatHalfLife.Seconds())
}

// RecordUse records that the engine ran a request of chat at the time now, and
// has a prefix of this many tokens cached since.
func (index *Index) RecordUse(now time.Time, chat ident.ChatID, tokens ident.Tokens) {
	if index.chats == nil {
		index.chats = index.newLRU()
	}
	previous, _ := index.chats.Get(chat)
	index.chats.Add(chat, entry{tokens: tokens, heat: previous.heatAt(now) + 1, usedAt: now})
}

func (index *Index) newLRU() *simplelru.LRU[ident.ChatID, entry] {
	size := index.MaxChats
	if size <= 0 {
		size = DefaultMaxChats
	}
	lru, err := simplelru.NewLRU[ident.ChatID, entry](size, nil)
	if err != nil {
		panic(err) // NewLRU fails only if the size is not positive.
	}
	return lru
}

// Evicted records that the engine evicted the prefix of chat.
func (index *Index) Evicted(chat ident.ChatID) {
	if index.chats != nil {
		index.chats.Remove(chat)
	}
}

// Moved records that another upstream has fetched the prefix of chat. That upstream
// serves the chat from now on, so the index drops the local copy.
func (index *Index) Moved(chat ident.ChatID) { index.Evicted(chat) }

// WantsImport reports whether a prefix that another upstream offers is worth
// importing, that is, longer than the one that is cached here.
func (index *Index) WantsImport(cached CachedPrefix) bool {
	return cached.Tokens > index.CachedTokens(cached.Chat)
}

// Forget removes all entries, for example after a restart of the engine.
func (index *Index) Forget() { index.chats = nil }

// CachedTokens returns the length of the cached prefix of chat as far as the index
// knows, or zero if there is none.
func (index *Index) CachedTokens(chat ident.ChatID) ident.Tokens {
	if index.chats == nil {
		return 0
	}
	entry, _ := index.chats.Peek(chat)
	return entry.tokens
}

// CachedPrefix is the prefix of a chat in the cache of an engine.
type CachedPrefix struct {
	Chat   ident.ChatID
	Tokens ident.Tokens
}

// Hottest returns the prefixes that are most worth sending to another upstream at
// the time now, in descending order of heat, because chats that have paused for
// long are the least likely to continue. Each prefix has at least minTokens
// tokens, and all of them together at most maxTotal.
func (index *Index) Hottest(now time.Time, minTokens, maxTotal ident.Tokens) []CachedPrefix {
	if index.chats == nil {
		return nil
	}
	var candidates []CachedPrefix
	heat := make(map[ident.ChatID]float64)
	for _, chat := range index.chats.Keys() {
		entry, _ := index.chats.Peek(chat)
		if entry.tokens < max(1, minTokens) {
			continue
		}
		heat[chat] = entry.heatAt(now)
		candidates = append(candidates, CachedPrefix{Chat: chat, Tokens: entry.tokens})
	}
	slices.SortFunc(candidates, func(a, b CachedPrefix) int { return compareHeat(heat, a, b) })
	return selectFitting(candidates, maxTotal)
}

// compareHeat sorts by descending heat, and by chat ID if the heat is equal.
func compareHeat(heat map[ident.ChatID]float64, a, b CachedPrefix) int {
	switch {
	case heat[a.Chat] > heat[b.Chat]:
		return -1
	case heat[a.Chat] < heat[b.Chat]:
		return 1
	case a.Chat < b.Chat:
		return -1
	}
	return 1
}

// selectFitting returns the candidates that fit into the remaining tokens together.
// It takes them in order and skips each one that doesn't fit. It reuses the slice.
func selectFitting(candidates []CachedPrefix, remaining ident.Tokens) []CachedPrefix {
	fitting := candidates[:0]
	for _, cached := range candidates {
		if cached.Tokens > remaining {
			continue
		}
		remaining -= cached.Tokens
		fitting = append(fitting, cached)
	}
	return fitting
}
