package balance_test

import (
	"testing"
	"time"

	"github.com/hickoryhead/hickoryhead/balance"
)

// TestHoldersTellWhatIsNew uses one prompt at an upstream again and again.
func TestHoldersTellWhatIsNew(t *testing.T) {
	holders := new(balance.CacheIndex)
	start := time.Unix(1_000_000, 0)
	served := balance.CacheUpdate{Key: "p", Upstream: "a"}
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
		holders.RecordLocal(start.Add(step.after), served)
		if got := len(holders.TakePending()); got != step.want {
			t.Errorf("%s: got %d news, want %d", step.name, got, step.want)
		}
	}
	holders.Forget("a")
	holders.RecordLocal(start.Add(9*time.Second), served)
	if got := len(holders.TakePending()); got != 1 {
		t.Errorf("got %d news of an upstream that started anew, want 1", got)
	}
}
