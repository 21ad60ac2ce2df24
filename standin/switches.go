package standin

import (
	"time"

	"golang.org/x/time/rate"

	"github.com/hickoryhead/hickoryhead/ident"
	platformapi "github.com/hickoryhead/hickoryhead/platform"
)

// PlatformSwitches are the injected faults and the limits of a Platform. The zero
// value has none. POST /v1/switches changes the fields that its JSON body names.
type PlatformSwitches struct {
	// Outage refuses every request to the table and the object store with
	// status 503, before it takes effect.
	Outage bool
	// ListOutage refuses every request for the VM list.
	ListOutage bool
	// SlowMs delays each request to the table and the object store, in
	// milliseconds. A delayed write takes effect even if its sender has
	// disconnected in the meantime.
	SlowMs int64
	// LoseAnswers is the number of following commits that take effect but
	// whose connection is closed without an answer.
	LoseAnswers int
	// LoseShare is the share of all commits, from 0 to 1, whose answer is
	// lost in the same way. 0.25 loses every fourth answer.
	LoseShare float64
	// WritesPerSecond and ReadsPerSecond limit the rate of requests to the
	// table and the object store, with a burst of one second. Requests above
	// the limit are refused with status 503. Zero means no limit.
	WritesPerSecond float64
	ReadsPerSecond  float64
	// LagMs is the time in milliseconds until a change of the VM list becomes
	// visible.
	LagMs int64
}

// PlatformCounters count the requests to a Platform since its start.
type PlatformCounters struct {
	// Commits counts the transactions that were applied, and RowsWritten the
	// rows that they wrote or removed.
	Commits     int64
	RowsWritten int64
	// Conflicts counts the transactions whose checks failed.
	Conflicts int64
	// LostAnswers counts the applied transactions whose answer was lost.
	LostAnswers int64
	// Reads counts the reads of ranges and changes of the table, and RowsRead
	// the rows that they returned.
	Reads    int64
	RowsRead int64
	// ObjectWrites counts the writes and deletions of objects, ObjectReads the
	// reads.
	ObjectWrites int64
	ObjectReads  int64
	// Lists counts the reads of the VM list, and Unchanged those of them whose
	// caller already had the current version.
	Lists     int64
	Unchanged int64
	// Refused counts the requests refused because of an outage or a rate limit.
	Refused int64
}

// Switches returns the current switches.
func (platform *Platform) Switches() PlatformSwitches {
	platform.mu.Lock()
	defer platform.mu.Unlock()
	return platform.switches
}

// Switch replaces all switches.
func (platform *Platform) Switch(switches PlatformSwitches) {
	platform.mu.Lock()
	defer platform.mu.Unlock()
	platform.switches = switches
	platform.writeLimit.set(switches.WritesPerSecond)
	platform.readLimit.set(switches.ReadsPerSecond)
}

// Counters returns a snapshot of the counters.
func (platform *Platform) Counters() PlatformCounters {
	platform.mu.Lock()
	defer platform.mu.Unlock()
	return platform.counters
}

// rateLimit limits the requests per second, with a burst of one second. The zero
// value does not limit them.
type rateLimit struct {
	perSecond float64
	limiter   *rate.Limiter
}

func (rateLimit *rateLimit) set(perSecond float64) {
	if perSecond == rateLimit.perSecond {
		return
	}
	rateLimit.perSecond = perSecond
	rateLimit.limiter = nil
	if perSecond > 0 {
		rateLimit.limiter = rate.NewLimiter(rate.Limit(perSecond), max(1, int(perSecond)))
	}
}

func (rateLimit *rateLimit) allow(now time.Time) bool {
	return rateLimit.limiter == nil || rateLimit.limiter.AllowN(now, 1)
}

// allowStoreCall reports whether a request to the table or the object store is
// allowed now, and returns the delay to apply to it. It counts a refusal.
func (platform *Platform) allowStoreCall(limit *rateLimit) (time.Duration, bool) {
	platform.mu.Lock()
	defer platform.mu.Unlock()
	if platform.switches.Outage || !limit.allow(platform.now()) {
		platform.counters.Refused++
		return 0, false
	}
	return milliseconds(platform.switches.SlowMs), true
}

// readVMs returns the VM list as it is visible now, and whether its version is
// still after.
func (platform *Platform) readVMs(after ident.Revision) (records platformapi.Records, unchanged bool, err error) {
	platform.mu.Lock()
	defer platform.mu.Unlock()
	if platform.switches.ListOutage {
		platform.counters.Refused++
		return platformapi.Records{}, false, platformapi.ErrUnavailable
	}
	platform.counters.Lists++
	state := platform.list.at(platform.now().Add(-milliseconds(platform.switches.LagMs)))
	unchanged = state.version == after
	if unchanged {
		platform.counters.Unchanged++
	}
	return platformapi.Records{Records: state.records, Version: state.version}, unchanged, nil
}

// countRead counts one read of the table that returned the given number of rows.
// The caller holds mu.
func (platform *Platform) countRead(rows int) {
	platform.counters.Reads++
	platform.counters.RowsRead += int64(rows)
}

// loseAnswer reports whether to lose the answer to the present commit, and counts
// it if so. The caller holds mu.
func (platform *Platform) loseAnswer() bool {
	if platform.switches.LoseAnswers > 0 {
		platform.switches.LoseAnswers--
		platform.counters.LostAnswers++
		return true
	}
	platform.pendingLoss += platform.switches.LoseShare
	if platform.pendingLoss < 1 {
		return false
	}
	platform.pendingLoss--
	platform.counters.LostAnswers++
	return true
}

func milliseconds(count int64) time.Duration {
	return time.Duration(count) * time.Millisecond
}
