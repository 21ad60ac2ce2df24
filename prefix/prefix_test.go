package prefix_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/hickoryhead/hickoryhead/ident"
	"github.com/hickoryhead/hickoryhead/prefix"
)

var start = time.Unix(1000, 0)

var policy = prefix.Policy{
	MinTokens: 100, PrefillRate: 1000, TransferRate: 1e6, TokenBytes: 100,
	Budget: 1e6, Burst: 1e6, MaxRunning: 2,
}

func ExampleFetcher() {
	var fetcher prefix.Fetcher
	fetcher.SetPolicy(policy)
	now := time.Unix(1000, 0)
	request := prefix.Request{Chat: "chat-7", Self: "engine-2", Source: "engine-1", Tokens: 4000}
	fmt.Println(fetcher.Begin(now, request) == prefix.Fetch)
	fetcher.End(now, prefix.Outcome{Source: "engine-1", Reason: prefix.SourceFailed})
	fmt.Println(fetcher.Begin(now, request))
	// Output:
	// true
	// HolderFailed
}

func TestBeginGivesTheReason(t *testing.T) {
	request := prefix.Request{Chat: "c", Self: "a", Source: "b", Tokens: 1000}
	for _, test := range []struct {
		name   string
		change func(policy *prefix.Policy, request *prefix.Request)
		want   prefix.Reason
	}{
		{"fetched", func(*prefix.Policy, *prefix.Request) {}, prefix.Fetch},
		{"unknown source", func(_ *prefix.Policy, request *prefix.Request) { request.Source = "" }, prefix.NoSource},
		{"last served here", func(_ *prefix.Policy, request *prefix.Request) { request.Source = "a" }, prefix.NoSource},
		{"cached here", func(_ *prefix.Policy, request *prefix.Request) { request.Cached = true }, prefix.CachedHere},
		{"too short", func(_ *prefix.Policy, request *prefix.Request) { request.Tokens = 99 }, prefix.TooShort},
		{"slow network", func(policy *prefix.Policy, _ *prefix.Request) { policy.TransferRate = 99e3 }, prefix.Slower},
		{"larger than the burst", func(policy *prefix.Policy, _ *prefix.Request) { policy.Burst = 99e3 }, prefix.OverBudget},
		{"no budget", func(policy *prefix.Policy, _ *prefix.Request) { policy.Budget = 0 }, prefix.OverBudget},
	} {
		t.Run(test.name, func(t *testing.T) {
			policy, request := policy, request
			test.change(&policy, &request)
			var fetcher prefix.Fetcher
			fetcher.SetPolicy(policy)
			if got := fetcher.Begin(start, request); got != test.want {
				t.Errorf("got %q, want %q", got, test.want)
			}
		})
	}
}

func TestFetchesStayWithinTheBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var fetcher prefix.Fetcher
		fetcher.SetPolicy(policy)
		now, running, bytes := start, 0, 0.0
		for range rapid.IntRange(1, 100).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 500).Draw(t, "ms")) * time.Millisecond)
			if running > 0 && rapid.Bool().Draw(t, "end") {
				fetcher.End(now, prefix.Outcome{Source: "b", Reason: prefix.HolderEvicted})
				running--
			}
			tokens := ident.Tokens(rapid.IntRange(0, 12000).Draw(t, "tokens"))
			if fetcher.Begin(now, prefix.Request{Self: "a", Source: "b", Tokens: tokens}) != prefix.Fetch {
				continue
			}
			running++
			bytes += float64(tokens) * float64(policy.TokenBytes)
			maxBytes := float64(policy.Burst) + float64(policy.Budget)*now.Sub(start).Seconds()
			if running > policy.MaxRunning || bytes > maxBytes+1 {
				t.Fatalf("got %d running fetches and %v bytes, want at most %d and %v", running, bytes, policy.MaxRunning, maxBytes)
			}
		}
	})
}

func TestTheSizeOfATokenIsLearned(t *testing.T) {
	var fetcher prefix.Fetcher
	fetcher.SetPolicy(policy)
	request := prefix.Request{Self: "a", Source: "b", Tokens: 1000}
	now, fetched := start, 0
	for fetcher.Begin(now, request) == prefix.Fetch {
		fetched++
		fetcher.End(now, prefix.Outcome{Source: "b", Tokens: 1000, Bytes: 2e6})
		now = now.Add(time.Second)
	}
	// The estimated size of a token rises from 100 to 480, 784 and 1027 bytes.
	if got, want := fetched, 3; got != want {
		t.Errorf("got %d fetches before a transfer takes longer than the prefill, want %d", got, want)
	}
	if got, want := fetcher.Begin(now, request), prefix.Slower; got != want {
		t.Errorf("got %q, want %q", got, want)
	}
}

func TestHottestPrefersRecentUsesWithinTheLimit(t *testing.T) {
	var index prefix.Index
	index.RecordUse(start, "cold", 500)
	index.RecordUse(start, "often", 500)
	index.RecordUse(start.Add(time.Minute), "often", 600)
	index.RecordUse(start.Add(2*time.Minute), "new", 500)
	index.RecordUse(start.Add(2*time.Minute), "often", 700)
	index.RecordUse(start.Add(2*time.Minute), "short", 10)
	index.RecordUse(start.Add(2*time.Minute), "gone", 500)
	index.Evicted("gone")
	got := fmt.Sprint(index.Hottest(start.Add(3*time.Minute), 100, 1300))
	if want := "[{often 700} {new 500}]"; got != want {
		t.Errorf("got %s, want %s", got, want)
	}
}

func TestIndexIsBounded(t *testing.T) {
	index := prefix.Index{MaxChats: 3}
	for i := range 10 {
		index.RecordUse(start, ident.ChatID(fmt.Sprint(i)), 100)
	}
	if got, want := len(index.Hottest(start, 1, 1e6)), 3; got != want {
		t.Errorf("got %d chats, want %d", got, want)
	}
	if got, want := index.CachedTokens("9"), ident.Tokens(100); got != want {
		t.Errorf("got %d tokens, want %d", got, want)
	}
	index.Forget()
	if got := index.CachedTokens("9"); got != 0 {
		t.Errorf("got %d tokens after Forget, want 0", got)
	}
}

func TestACopyThatMovedOnIsNotPassedOn(t *testing.T) {
	var index prefix.Index
	index.RecordUse(start, "stays", 500)
	index.RecordUse(start, "fetched", 500)
	index.Moved("fetched")
	if got, want := fmt.Sprint(index.Hottest(start, 1, 1e6)), "[{stays 500}]"; got != want {
		t.Errorf("got %s, want %s", got, want)
	}
	if index.WantsImport(prefix.CachedPrefix{Chat: "stays", Tokens: 400}) {
		t.Errorf("got a shorter prefix imported, want only a longer one")
	}
	if !index.WantsImport(prefix.CachedPrefix{Chat: "stays", Tokens: 600}) {
		t.Errorf("got a longer prefix rejected, want it imported")
	}
}
