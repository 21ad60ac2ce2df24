package balance_test

import (
	"fmt"
	"strings"
	"testing"
	"time"
	"unsafe"

	"github.com/hickoryhead/hickoryhead/balance"
	"github.com/hickoryhead/hickoryhead/ident"
)

// TestPendingUpdatesAreBounded guards against a router that exceeds its memory (Fault): callers name
// more new parts of prompts than messages to other routers can carry.
func TestPendingUpdatesAreBounded(t *testing.T) {
	const uses = 200_000
	index := new(balance.CacheIndex)
	now := time.Now()
	key := func(n int) ident.ChatID { return ident.ChatID(fmt.Sprintf("%08x", n)) }
	for n := range uses {
		index.RecordLocal(now, balance.CacheUpdate{Key: key(n), Upstream: "i-1"})
	}
	var taken []balance.CacheUpdate
	for updates := index.TakePending(); len(updates) > 0; updates = index.TakePending() {
		taken = append(taken, updates...)
	}
	if got, want := len(taken), balance.MaxPendingUpdates; got != want {
		t.Errorf("got %d updates that wait to be sent, want %d", got, want)
	}
	if got, want := taken[len(taken)-1].Key, key(uses-1); got != want {
		t.Errorf("got the last update for %s, want %s, the newest", got, want)
	}
}

// TestIndexHoldsNoHeaders guards against a router that exceeds its memory (Fault): a key that is a
// part of a header keeps all of that in memory, and a key may be as long as a header.
func TestIndexHoldsNoHeaders(t *testing.T) {
	index := new(balance.CacheIndex)
	now := time.Now()
	header := strings.Repeat("5c1e07a2:800,", 1000)
	for range 2 {
		index.RecordLocal(now, balance.CacheUpdate{Key: ident.ChatID(header[:8]), Upstream: "i-1"})
	}
	held := append(index.All(now), index.TakePending()...)
	if len(held) != 3 {
		t.Fatalf("got %d updates, want the entry and two that wait to be sent", len(held))
	}
	for _, update := range held {
		if got := string(update.Key); got != header[:8] || unsafe.StringData(got) == unsafe.StringData(header) {
			t.Errorf("got key %q in the memory of its header: %t, want a copy", got, unsafe.StringData(got) == unsafe.StringData(header))
		}
	}
	long := balance.CacheUpdate{Key: ident.ChatID(strings.Repeat("a", 10_000)), Upstream: "i-1"}
	index.RecordLocal(now, long)
	if unknown := index.ApplyRemote(now, []balance.CacheUpdate{long}); len(unknown) != 0 || len(index.All(now)) != 1 || len(index.TakePending()) != 0 {
		t.Error("got a key of 10,000 bytes recorded, want it left out")
	}
}
