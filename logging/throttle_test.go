package logging_test

import (
	"testing"
	"time"

	"github.com/hickoryhead/hickoryhead/logging"
)

// TestThrottleCountsWhatItLeavesOut guards against a log line for each occurrence, and against
// occurrences that no line counts.
func TestThrottleCountsWhatItLeavesOut(t *testing.T) {
	var throttle logging.Throttle
	start := time.Now()
	for _, step := range []struct {
		after time.Duration
		count int
		due   bool
	}{
		{0, 1, true},
		{300 * time.Millisecond, 1, false},
		{900 * time.Millisecond, 2, false},
		{time.Second, 3, true},
		{1500 * time.Millisecond, 1, false},
	} {
		if count, due := throttle.Add(start.Add(step.after)); count != step.count || due != step.due {
			t.Errorf("after %v: got %d and %t, want %d and %t", step.after, count, due, step.count, step.due)
		}
	}
}
