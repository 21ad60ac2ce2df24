package entry

import (
	"testing"
	"testing/synctest"
	"time"
)

// TestLastStallIsRecorded guards against a log line that names no stall, or an older one, for a
// request that ended beside one, also before the next check; and against one where there was none.
func TestLastStallIsRecorded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var recorder stallRecorder
		checkLast := func(when string, want, wantAgo time.Duration) {
			t.Helper()
			length, until := recorder.last()
			if length != want || want > 0 && time.Since(until) != wantAgo {
				t.Errorf("%s: got a stall of %v that ended %v ago, want %v, %v ago", when, length, time.Since(until), want, wantAgo)
			}
		}
		checkLast("before the first check", 0, 0)
		recorder.check(time.Now())
		time.Sleep(stallRecordInterval + minRecordedStall - time.Millisecond)
		recorder.check(time.Now())
		checkLast("after a short delay", 0, 0)
		time.Sleep(stallRecordInterval + 400*time.Millisecond)
		checkLast("before the check after a stall", 400*time.Millisecond, 0)
		time.Sleep(50 * time.Millisecond)
		recorder.check(time.Now())
		checkLast("after the check", 450*time.Millisecond, 0)
		time.Sleep(stallRecordInterval)
		recorder.check(time.Now())
		checkLast("later", 450*time.Millisecond, stallRecordInterval)
	})
}
