package balance_test

import (
	"testing"
	"time"

	"github.com/hickoryhead/hickoryhead/balance"
)

// TestRepeatedUseIsAnnouncedSparingly uses one prefix at an upstream repeatedly.
// Other routers have to learn of it even if one message is lost, without a
// message for each use.
func TestRepeatedUseIsAnnouncedSparingly(t *testing.T) {
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
		{"already announced twice", 2 * time.Second, 0},
		{"last announced 4 s ago", 5 * time.Second, 0},
		{"last announced 6 s ago", 7 * time.Second, 1},
		{"just announced again", 8 * time.Second, 0},
	}
	for _, step := range steps {
		index.RecordLocal(start.Add(step.after), update)
		if got := len(index.TakePending()); got != step.want {
			t.Errorf("%s: got %d updates, want %d", step.name, got, step.want)
		}
	}
	index.Forget("a")
	index.RecordLocal(start.Add(9*time.Second), update)
	if got := len(index.TakePending()); got != 1 {
		t.Errorf("got %d updates for an upstream that restarted, want 1", got)
	}
}
