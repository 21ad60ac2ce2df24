package prefix

import (
	"math"
	"slices"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"github.com/hickoryhead/hickoryhead/ident"
)

// DefaultChats is the most chats that an Index remembers.
const DefaultChats = 16384

// HalfLife is the time in which the heat of a chat that is not used halves.
const HalfLife = time.Minute

// Index remembers which chats' prefixes the engine is believed to hold, from
// the requests that ran on it and from its cache events, which come late and
// with gaps. The zero value is empty and ready. It is not safe for concurrent
// use.
type Index struct {
	// MaxChats is the most chats remembered; zero means DefaultChats.
	MaxChats int

	chats *simplelru.LRU[ident.ChatID, entry]
}

// entry is what is known of one chat's prefix.
type entry struct {
	tokens ident.Tokens
	// heat counts the uses, each halved for every HalfLife up to usedAt.
	heat   float64
	usedAt time.Time
}

func (entry entry) heatAt(now time.Time) float64 {
	return entry.heat * math.Exp2(-now.Sub(entry.usedAt).Seconds()/HalfLife.Seconds())
}

// RecordUse tells that the engine ran a request of chat at the time now, after
// which it holds a prefix of tokens.
func (index *Index) RecordUse(now time.Time, chat ident.ChatID, tokens ident.Tokens) {
	if index.chats == nil {
		index.chats = index.make()
	}
	held, _ := index.chats.Get(chat)
	index.chats.Add(chat, entry{tokens: tokens, heat: held.heatAt(now) + 1, usedAt: now})
}

func (index *Index) make() *simplelru.LRU[ident.ChatID, entry] {
	size := index.MaxChats
	if size <= 0 {
		size = DefaultChats
	}
	made, err := simplelru.NewLRU[ident.ChatID, entry](size, nil)
	if err != nil {
		panic(err) // The size is positive, which is all that NewLRU asks for.
	}
	return made
}

// Evicted tells that the engine dropped the prefix of chat.
func (index *Index) Evicted(chat ident.ChatID) {
	if index.chats != nil {
		index.chats.Remove(chat)
	}
}

// Moved tells that another upstream has fetched the prefix of chat: the chat is
// served there from now on, so that the copy here is not worth passing on.
func (index *Index) Moved(chat ident.ChatID) { index.Evicted(chat) }

// WantsImport reports whether a prefix that another upstream passes on is of
// use here: it is longer than what the engine is believed to hold.
func (index *Index) WantsImport(cached CachedPrefix) bool {
	return cached.Tokens > index.CachedTokens(cached.Chat)
}

// Forget drops everything, as after a restart of the engine.
func (index *Index) Forget() { index.chats = nil }

// CachedTokens returns the length of the prefix of chat that the engine is
// believed to hold, zero for none.
func (index *Index) CachedTokens(chat ident.ChatID) ident.Tokens {
	if index.chats == nil {
		return 0
	}
	held, _ := index.chats.Peek(chat)
	return held.tokens
}

// CachedPrefix is one prefix that the engine is believed to hold.
type CachedPrefix struct {
	Chat   ident.ChatID
	Tokens ident.Tokens
}

// Hottest returns the prefixes that are most worth passing on at the time now,
// the best first, of at most limit tokens together: those with the most recent
// uses first, since a chat that paused long is the least likely to return.
func (index *Index) Hottest(now time.Time, minimum, limit ident.Tokens) []CachedPrefix {
	if index.chats == nil {
		return nil
	}
	var chosen []CachedPrefix
	heat := make(map[ident.ChatID]float64)
	for _, chat := range index.chats.Keys() {
		held, _ := index.chats.Peek(chat)
		if held.tokens < max(1, minimum) {
			continue
		}
		heat[chat] = held.heatAt(now)
		chosen = append(chosen, CachedPrefix{Chat: chat, Tokens: held.tokens})
	}
	slices.SortFunc(chosen, func(a, b CachedPrefix) int { return hotter(heat, a, b) })
	return within(chosen, limit)
}

func hotter(heat map[ident.ChatID]float64, a, b CachedPrefix) int {
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

// within returns the first of chosen that fit into limit tokens, leaving out
// those that do not fit where a later one does.
func within(chosen []CachedPrefix, limit ident.Tokens) []CachedPrefix {
	fitting := chosen[:0]
	for _, cached := range chosen {
		if cached.Tokens > limit {
			continue
		}
		limit -= cached.Tokens
		fitting = append(fitting, cached)
	}
	return fitting
}
