package standin

import (
	"math"

	"github.com/cespare/xxhash/v2"
	"github.com/hashicorp/golang-lru/v2/simplelru"

	"github.com/hickoryhead/hickoryhead/ident"
)

// prefix is the cached beginning of a chat.
type prefix struct {
	Tokens ident.Tokens
	// Length and Hash identify the text that the tokens were made from.
	Length int
	Hash   uint64
}

func prefixOf(text string) prefix {
	return prefix{Tokens: CountTokens(text), Length: len(text), Hash: xxhash.Sum64String(text)}
}

// begins reports whether text begins with the cached prefix.
func (prefix prefix) begins(text string) bool {
	return len(text) >= prefix.Length && xxhash.Sum64String(text[:prefix.Length]) == prefix.Hash
}

// prefixCache keeps the prefixes of the chats that were used last, bounded by
// their tokens. The zero value holds nothing. It is not safe for concurrent use.
type prefixCache struct {
	// limit is the most tokens held.
	limit ident.Tokens

	chats *simplelru.LRU[ident.ChatID, prefix]
	held  ident.Tokens
}

// find returns the number of tokens of text that are cached for chat.
func (cache *prefixCache) find(chat ident.ChatID, text string) ident.Tokens {
	found, ok := cache.get(chat)
	if !ok || !found.begins(text) {
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

// put keeps the prefix of chat and returns the chats that it displaced. A prefix
// longer than the limit is not kept.
func (cache *prefixCache) put(chat ident.ChatID, kept prefix) (displaced []ident.ChatID, stored bool) {
	if kept.Tokens > cache.limit {
		return nil, false
	}
	if cache.chats == nil {
		// The only error is of a size below one.
		cache.chats, _ = simplelru.NewLRU[ident.ChatID, prefix](math.MaxInt, nil)
	}
	if replaced, ok := cache.chats.Peek(chat); ok {
		cache.held -= replaced.Tokens
	}
	cache.chats.Add(chat, kept)
	cache.held += kept.Tokens
	for cache.held > cache.limit {
		oldest, dropped, _ := cache.chats.RemoveOldest()
		cache.held -= dropped.Tokens
		displaced = append(displaced, oldest)
	}
	return displaced, true
}
