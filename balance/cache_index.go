package balance

import (
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"github.com/hickoryhead/hickoryhead/ident"
)

const (
	// maxCachedPrefixes bounds the shared prompt prefixes in the index.
	maxCachedPrefixes = 65536
	// cacheEntryTTL is how long after its last use a prefix is assumed to be
	// cached. Upstreams evict the least recently used prefixes first.
	cacheEntryTTL = 30 * time.Second
	// initialAnnouncements is how many consecutive uses of a prefix are announced
	// to the other routers, so that one lost message does no harm. Later uses are
	// announced at most once per announceInterval.
	initialAnnouncements = 2
	announceInterval     = 5 * time.Second
	// maxUpstreamsPerPrefix bounds the upstreams that are recorded for a prefix.
	maxUpstreamsPerPrefix = 8
	// maxUpdatesPerMessage bounds the updates that are sent in one message.
	maxUpdatesPerMessage = 512
	// MaxPendingUpdates bounds the updates that wait to be sent, to a second or two of messages.
	// Beyond that the oldest are dropped: a later use announces its prefix again.
	MaxPendingUpdates = 16 * maxUpdatesPerMessage
	// maxKeyBytes bounds the IDs of prefixes in the index. A longer one is not recorded: its requests
	// go to any upstream.
	maxKeyBytes = 64
)

// CacheUpdate says that an upstream has cached a shared prompt prefix.
type CacheUpdate struct {
	//lint:ignore U1000 msgpack reads its tag: it is written as an array
	_msgpack struct{} `msgpack:",as_array"`

	Key      ident.ChatID
	Upstream ident.UpstreamID
}

// cacheEntry records that an upstream has a shared prompt prefix cached.
type cacheEntry struct {
	upstream ident.UpstreamID
	usedAt   time.Time
	// announcements counts the announcements to other routers, by this one or
	// received from another, and announcedAt is the time of the last one.
	announcements int
	announcedAt   time.Time
}

// announce reports whether a use of the prefix should be announced to the other
// routers, and if so records that it is.
func (entry *cacheEntry) announce(now time.Time) bool {
	if entry.announcements >= initialAnnouncements && now.Before(entry.announcedAt.Add(announceInterval)) {
		return false
	}
	entry.announcements++
	entry.announcedAt = now
	return true
}

// CacheIndex records which upstreams have which shared prompt prefixes cached,
// as far as is known from the requests of this router and of others. The zero
// value is an empty index. It is safe for concurrent use.
type CacheIndex struct {
	mu       sync.Mutex
	prefixes *simplelru.LRU[ident.ChatID, []cacheEntry]
	pending  []CacheUpdate
}

// RecordLocal records that an upstream has a shared prompt prefix cached, because
// this router sent a request with it there or the upstream listed it. The update
// becomes pending for the other routers unless it was announced recently.
func (index *CacheIndex) RecordLocal(now time.Time, update CacheUpdate) {
	index.mu.Lock()
	defer index.mu.Unlock()
	if entry := index.recordUse(now, update); entry != nil && entry.announce(now) {
		update.Key = copyKey(update.Key)
		index.pending = AppendPending(index.pending, update)
	}
}

// AppendPending appends updates to those that wait to be sent, and drops the oldest beyond
// MaxPendingUpdates.
func AppendPending(pending []CacheUpdate, updates ...CacheUpdate) []CacheUpdate {
	pending = append(pending, updates...)
	return pending[max(len(pending)-MaxPendingUpdates, 0):]
}

// copyKey returns a copy of a key. A key of a request is a part of one of its headers, all of which
// it would keep in memory.
func copyKey(key ident.ChatID) ident.ChatID { return ident.ChatID(strings.Clone(string(key))) }

// ApplyRemote records updates from another router. It returns those that were not
// announced recently, which routers that don't receive its messages may not know.
func (index *CacheIndex) ApplyRemote(now time.Time, updates []CacheUpdate) []CacheUpdate {
	index.mu.Lock()
	defer index.mu.Unlock()
	var unknown []CacheUpdate
	for _, update := range updates {
		if entry := index.recordUse(now, update); entry != nil && entry.announce(now) {
			unknown = append(unknown, update)
		}
	}
	return unknown
}

// TakePending removes and returns the oldest pending updates, at most as many as
// fit in one message.
func (index *CacheIndex) TakePending() []CacheUpdate {
	index.mu.Lock()
	defer index.mu.Unlock()
	count := min(len(index.pending), maxUpdatesPerMessage)
	updates := index.pending[:count:count]
	index.pending = index.pending[count:]
	return updates
}

// All returns the unexpired entries, to be sent to a router that has just started.
func (index *CacheIndex) All(now time.Time) []CacheUpdate {
	index.mu.Lock()
	defer index.mu.Unlock()
	if index.prefixes == nil {
		return nil
	}
	var updates []CacheUpdate
	for _, key := range index.prefixes.Keys() {
		entries, _ := index.prefixes.Peek(key)
		for _, entry := range entries {
			if !now.After(entry.usedAt.Add(cacheEntryTTL)) {
				updates = append(updates, CacheUpdate{Key: key, Upstream: entry.upstream})
			}
		}
	}
	return updates
}

// recordUse adds or refreshes the entry for update and returns it, or nil if the key is longer
// than maxKeyBytes. The pointer is valid until the index changes. The caller holds mu.
func (index *CacheIndex) recordUse(now time.Time, update CacheUpdate) *cacheEntry {
	if len(update.Key) > maxKeyBytes {
		return nil
	}
	if index.prefixes == nil {
		// NewLRU fails only if the size is not positive.
		index.prefixes, _ = simplelru.NewLRU[ident.ChatID, []cacheEntry](maxCachedPrefixes, nil)
	}
	entries, known := index.prefixes.Get(update.Key)
	if !known {
		update.Key = copyKey(update.Key)
	}
	for i := range entries {
		if entries[i].upstream == update.Upstream {
			entries[i].usedAt = now
			return &entries[i]
		}
	}
	entries = slices.DeleteFunc(entries, func(entry cacheEntry) bool { return now.After(entry.usedAt.Add(cacheEntryTTL)) })
	if len(entries) == maxUpstreamsPerPrefix {
		entries = slices.Delete(entries, 0, 1)
	}
	entries = append(entries, cacheEntry{upstream: update.Upstream, usedAt: now})
	index.prefixes.Add(update.Key, entries)
	return &entries[len(entries)-1]
}

// Upstreams returns the upstreams that are assumed to have the prompt prefix key
// cached, in the order in which they were recorded.
func (index *CacheIndex) Upstreams(now time.Time, key ident.ChatID) []ident.UpstreamID {
	index.mu.Lock()
	defer index.mu.Unlock()
	if index.prefixes == nil {
		return nil
	}
	entries, _ := index.prefixes.Get(key)
	var upstreams []ident.UpstreamID
	for _, entry := range entries {
		if !now.After(entry.usedAt.Add(cacheEntryTTL)) {
			upstreams = append(upstreams, entry.upstream)
		}
	}
	return upstreams
}

// Forget removes all entries of an upstream. It is called when the upstream has
// restarted, which empties its cache.
func (index *CacheIndex) Forget(upstream ident.UpstreamID) {
	index.mu.Lock()
	defer index.mu.Unlock()
	if index.prefixes == nil {
		return
	}
	for _, key := range index.prefixes.Keys() {
		entries, _ := index.prefixes.Peek(key)
		remaining := slices.DeleteFunc(entries, func(entry cacheEntry) bool { return entry.upstream == upstream })
		if len(remaining) == 0 {
			index.prefixes.Remove(key)
			continue
		}
		index.prefixes.Add(key, remaining)
	}
}
