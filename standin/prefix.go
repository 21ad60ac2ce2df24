package standin

import (
	"math"

	"github.com/cespare/xxhash/v2"
	"github.com/hashicorp/golang-lru/v2/simplelru"

	"github.com/hickoryhead/hickoryhead/ident"
)

// prefix describes the cached beginning of a chat. It is the JSON header of an
// exported KV cache.
type prefix struct {
	Tokens ident.Tokens
	// Length, in bytes, and Hash identify the text of the prefix.
	Length int
	Hash   uint64
}

func prefixOf(text string) prefix {
	return prefix{Tokens: CountTokens(text), Length: len(text), Hash: xxhash.Sum64String(text)}
}

// matches reports whether text begins with the cached prefix.
func (prefix prefix) matches(text string) bool {
	return len(text) >= prefix.Length && xxhash.Sum64String(text[:prefix.Length]) == prefix.Hash
}

// prefixCache is an LRU cache of prefixes, one per chat, bounded by the total
// number of their tokens. The zero value stores nothing. It is not safe for
// concurrent use.
type prefixCache struct {
	// limit is the maximum of tokens.
	limit ident.Tokens

	chats  *simplelru.LRU[ident.ChatID, prefix]
	tokens ident.Tokens
}

// cachedTokens returns the number of tokens of text that are cached for chat,
// and marks the entry as recently used.
func (cache *prefixCache) cachedTokens(chat ident.ChatID, text string) ident.Tokens {
	found, ok := cache.get(chat)
	if !ok || !found.matches(text) {
		return 0
	}
	return found.Tokens
}

func (cache *prefixCache) get(chat ident.ChatID) (prefix, bool) {
	if cache.chats == nil {
		return prefix{}, false
	}
	return cache.chats.Get(chat)
}

// put stores the prefix of chat and returns the chats that it evicted. A prefix
// longer than the limit is not stored.
func (cache *prefixCache) put(chat ident.ChatID, cached prefix) (evicted []ident.ChatID, stored bool) {
	if cached.Tokens > cache.limit {
		return nil, false
	}
	if cache.chats == nil {
		// NewLRU fails only for a size below one.
		cache.chats, _ = simplelru.NewLRU[ident.ChatID, prefix](math.MaxInt, nil)
	}
	if replaced, ok := cache.chats.Peek(chat); ok {
		cache.tokens -= replaced.Tokens
	}
	cache.chats.Add(chat, cached)
	cache.tokens += cached.Tokens
	for cache.tokens > cache.limit {
		oldest, dropped, _ := cache.chats.RemoveOldest()
		cache.tokens -= dropped.Tokens
		evicted = append(evicted, oldest)
	}
	return evicted, true
}
