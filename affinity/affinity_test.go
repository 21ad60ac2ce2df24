package affinity_test

import (
	"fmt"
	"math"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"github.com/hickoryhead/hickoryhead/affinity"
	"github.com/hickoryhead/hickoryhead/ident"
)

func ExamplePool_Rank() {
	pool := affinity.NewPool([]affinity.Candidate{{Upstream: "engine-1"}, {Upstream: "engine-2"}, {Upstream: "engine-3"}})
	var order [2]int
	for _, i := range pool.Rank("chat-7", "engine-3", order[:]) {
		fmt.Println(pool.At(i).Upstream)
	}
	// Output:
	// engine-3
	// engine-2
}

// candidates returns count candidates named engine-0, engine-1 and so on.
func candidates(count int, weight func(i int) float64) []affinity.Candidate {
	list := make([]affinity.Candidate, count)
	for i := range list {
		list[i] = affinity.Candidate{Upstream: ident.UpstreamID(fmt.Sprintf("engine-%d", i)), Weight: weight(i)}
	}
	return list
}

// equalWeight gives each candidate the default weight.
func equalWeight(int) float64 { return 0 }

func upstreams(pool *affinity.Pool, order []int) []ident.UpstreamID {
	ranked := make([]ident.UpstreamID, len(order))
	for position, i := range order {
		ranked[position] = pool.At(i).Upstream
	}
	return ranked
}

func rank(pool *affinity.Pool, chat ident.ChatID, hint ident.UpstreamID, length int) []ident.UpstreamID {
	return upstreams(pool, pool.Rank(chat, hint, make([]int, length)))
}

func drawCandidates(t *rapid.T) []affinity.Candidate {
	weight := equalWeight
	if rapid.Bool().Draw(t, "weighted") {
		weight = func(i int) float64 { return float64(1 + i%3) }
	}
	return candidates(rapid.IntRange(1, 40).Draw(t, "count"), weight)
}

func TestRankIsIndependentOfCandidateOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		listed := drawCandidates(t)
		shuffled := rapid.Permutation(listed).Draw(t, "shuffled")
		chat := ident.ChatID(rapid.String().Draw(t, "chat"))
		hint := rapid.SampledFrom(listed).Draw(t, "hint").Upstream
		length := rapid.IntRange(0, len(listed)+2).Draw(t, "length")
		got := rank(affinity.NewPool(shuffled), chat, hint, length)
		want := rank(affinity.NewPool(listed), chat, hint, length)
		if !slices.Equal(got, want) {
			t.Fatalf("got order %v, want %v", got, want)
		}
		if length > 0 && got[0] != hint {
			t.Fatalf("got %v first, want the hint %v", got[0], hint)
		}
		if full := rank(affinity.NewPool(listed), chat, hint, len(listed)); !slices.Equal(got, full[:len(got)]) {
			t.Fatalf("got order %v, want a prefix of the full order %v", got, full)
		}
	})
}

func TestRemovedUpstreamDoesNotReorderOthers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		listed := drawCandidates(t)
		removed := rapid.IntRange(0, len(listed)-1).Draw(t, "removed")
		chat := ident.ChatID(rapid.String().Draw(t, "chat"))
		want := rank(affinity.NewPool(listed), chat, "", len(listed))
		want = slices.DeleteFunc(want, func(upstream ident.UpstreamID) bool { return upstream == listed[removed].Upstream })
		rest := slices.Delete(slices.Clone(listed), removed, removed+1)
		got := rank(affinity.NewPool(rest), chat, "", len(listed))
		if !slices.Equal(got, want) {
			t.Fatalf("got order %v, want %v", got, want)
		}
	})
}

func TestChatsSpreadInProportionToWeights(t *testing.T) {
	const chats = 30000
	for name, weight := range map[string]func(int) float64{
		"equal":    equalWeight,
		"weighted": func(i int) float64 { return float64(1 + i%3) },
	} {
		listed := candidates(12, weight)
		pool := affinity.NewPool(listed)
		first := make(map[ident.UpstreamID]int)
		for i := range chats {
			first[rank(pool, ident.ChatID(fmt.Sprintf("chat-%d", i)), "", 1)[0]]++
		}
		sum := 0.0
		for i := range pool.Len() {
			sum += pool.At(i).Weight
		}
		for i := range pool.Len() {
			want := chats * pool.At(i).Weight / sum
			if got := float64(first[pool.At(i).Upstream]); math.Abs(got-want) > 5*math.Sqrt(want) {
				t.Errorf("%s: got %v chats on %s, want about %v", name, got, pool.At(i).Upstream, want)
			}
		}
	}
}

func TestRankDoesNotAllocate(t *testing.T) {
	pool := affinity.NewPool(candidates(210, equalWeight))
	order := make([]int, 8)
	got := testing.AllocsPerRun(100, func() { pool.Rank("chat-1", "engine-9", order) })
	if want := 0.0; got != want {
		t.Errorf("got %v allocations, want %v", got, want)
	}
}

func TestDuplicateCandidateCountsOnce(t *testing.T) {
	pool := affinity.NewPool([]affinity.Candidate{{Upstream: "a"}, {Upstream: "b"}, {Upstream: "a", Weight: 3}})
	if got, want := pool.Len(), 2; got != want {
		t.Errorf("got %d candidates, want %d", got, want)
	}
}

func BenchmarkRank(b *testing.B) {
	for _, count := range []int{18, 210, 2300} {
		for name, weight := range map[string]func(int) float64{
			"equal":    equalWeight,
			"weighted": func(i int) float64 { return float64(1 + i%3) },
		} {
			pool := affinity.NewPool(candidates(count, weight))
			b.Run(fmt.Sprintf("%s/%d", name, count), func(b *testing.B) {
				var order [5]int
				b.ReportAllocs()
				for b.Loop() {
					pool.Rank("chat-0123456789", "engine-3", order[:])
				}
			})
		}
	}
}
