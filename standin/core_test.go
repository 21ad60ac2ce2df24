package standin

import (
	"context"
	"slices"
	"testing"

	"github.com/cockroachdb/errors"
	"pgregory.net/rapid"

	"github.com/hickoryhead/hickoryhead/ident"
)

// TestPrefixCacheEvictsLeastRecentlyUsed compares the cache with a list of the
// chats in the order of their last use.
func TestPrefixCacheEvictsLeastRecentlyUsed(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cache := prefixCache{limit: 20}
		var chats []ident.ChatID
		tokens := make(map[ident.ChatID]ident.Tokens)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			chat := rapid.SampledFrom([]ident.ChatID{"a", "b", "c", "d", "e"}).Draw(t, "chat")
			if rapid.Bool().Draw(t, "read") {
				cached, found := cache.get(chat)
				if found != slices.Contains(chats, chat) || cached.Tokens != tokens[chat] {
					t.Fatalf("got %+v, %t for chat %s, want %d tokens, cached chats %v", cached, found, chat, tokens[chat], chats)
				}
				chats = moveLast(chats, chat, found)
				continue
			}
			size := ident.Tokens(rapid.IntRange(1, 22).Draw(t, "tokens"))
			evicted, stored := cache.put(chat, prefix{Tokens: size})
			if stored != (size <= 20) {
				t.Fatalf("got stored %t for %d tokens, want %t", stored, size, size <= 20)
			}
			if !stored {
				continue
			}
			chats = moveLast(chats, chat, true)
			tokens[chat] = size
			var want []ident.ChatID
			for sum(tokens) > 20 {
				want = append(want, chats[0])
				delete(tokens, chats[0])
				chats = chats[1:]
			}
			if !slices.Equal(evicted, want) {
				t.Fatalf("got evicted chats %v, want %v", evicted, want)
			}
			if cache.tokens != sum(tokens) {
				t.Fatalf("got %d cached tokens, want %d", cache.tokens, sum(tokens))
			}
		}
	})
}

func moveLast(chats []ident.ChatID, chat ident.ChatID, present bool) []ident.ChatID {
	if !present {
		return chats
	}
	chats = slices.DeleteFunc(chats, func(other ident.ChatID) bool { return other == chat })
	return append(chats, chat)
}

func sum(tokens map[ident.ChatID]ident.Tokens) ident.Tokens {
	var total ident.Tokens
	for _, count := range tokens {
		total += count
	}
	return total
}

func TestPrefixOfAnotherTextIsNotFound(t *testing.T) {
	cache := prefixCache{limit: 20}
	cache.put("chat", prefixOf("the first text"))
	for text, want := range map[string]ident.Tokens{
		"the first text and more": 4,
		"the first":               0,
		"THE FIRST TEXT and more": 0,
	} {
		if got := cache.cachedTokens("chat", text); got != want {
			t.Errorf("got %d cached tokens for %q, want %d", got, text, want)
		}
	}
}

func TestBatchAdmitsByRankThenArrival(t *testing.T) {
	batch := &batch{limit: 1, maxWaiting: 4}
	if err := batch.enter(t.Context(), 0); err != nil {
		t.Fatal(err)
	}
	var waiters []*waiter
	for _, rank := range []int{2, 1, 2, 0} {
		joined, err := batch.enqueue(rank)
		if err != nil {
			t.Fatal(err)
		}
		waiters = append(waiters, joined)
	}
	if _, err := batch.enqueue(0); !errors.Is(err, errWaitingFull) {
		t.Errorf("got %v for a full queue, want errWaitingFull", err)
	}
	for _, want := range []int{3, 1, 0, 2} {
		batch.leave()
		got := slices.IndexFunc(waiters, isAdmitted)
		if got != want {
			t.Errorf("got waiter %d admitted, want %d", got, want)
		}
		if got >= 0 {
			waiters[got].admitted = nil
		}
	}
}

func isAdmitted(waiter *waiter) bool {
	select {
	case <-waiter.admitted:
		return waiter.admitted != nil
	default:
		return false
	}
}

func TestCancelledWaiterReleasesItsSlot(t *testing.T) {
	batch := &batch{limit: 1, maxWaiting: 4}
	if err := batch.enter(t.Context(), 0); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	if err := batch.enter(ctx, 0); !errors.Is(err, context.Canceled) {
		t.Errorf("got %v for a cancelled context, want context.Canceled", err)
	}
	batch.leave()
	if err := batch.enter(t.Context(), 0); err != nil {
		t.Errorf("got %v after the running request left, want admission", err)
	}
	if got := batch.runningCount(); got != 1 {
		t.Errorf("got %d running, want 1", got)
	}
}
