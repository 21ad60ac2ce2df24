package balance_test

import (
	"testing"
	"time"

	"github.com/hickoryhead/hickoryhead/balance"
)

// TestCacheIndexReportsWhatIsNew uses one prompt at an upstream again and
// again.
func TestCacheIndexReportsWhatIsNew(t *testing.T) {
	index := new(balance.CacheIndex)
	start := time.Unix(1_000_000, 0)
	update := balance.CacheUpdate{Key: "p", Upstream: "a"}
	steps := []struct {
		name  string
		after time.Duration
		want  int
	}{
		{"first use", 0, 1},
		{"second use, in case the first message was lost", time.Second, 1},
		{"known to all", 2 * time.Second, 0},
		{"still known", 5 * time.Second, 0},
		{"in use for long", 7 * time.Second, 1},
		{"just told", 8 * time.Second, 0},
	}
	for _, step := range steps {
		index.RecordLocal(start.Add(step.after), update)
		if got := len(index.TakePending()); got != step.want {
			t.Errorf("%s: got %d news, want %d", step.name, got, step.want)
		}
	}
	index.Forget("a")
	index.RecordLocal(start.Add(9*time.Second), update)
	if got := len(index.TakePending()); got != 1 {
		t.Errorf("got %d news of an upstream that started anew, want 1", got)
	}
}
