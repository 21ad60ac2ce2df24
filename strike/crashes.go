package strike

import (
	"cmp"
	"iter"
	"slices"
	"time"

	"github.com/hickoryhead/hickoryhead/ident"
	"github.com/hickoryhead/hickoryhead/registry"
)

const (
	// maxCrashesPerRequest limits the crashes that are kept of one request.
	maxCrashesPerRequest = 16
	// simultaneousWindow is how long after a crash another one belongs to it if the
	// request was running at both, and maxSimultaneous how many of those count:
	// upstreams that go down together were hardly crashed by one request, unless it was
	// sent to all of them at once.
	simultaneousWindow = 250 * time.Millisecond
	maxSimultaneous    = 2
)

// crash is one crash of an upstream.
type crash struct {
	incarnation registry.Incarnation
	sentAt      time.Time
	at          time.Time
	// own is set if this process saw the crash itself, and part if the crash is
	// one of a part of a prompt.
	own  bool
	part bool
}

// crashAt is a crash with its upstream.
type crashAt struct {
	crash
	upstream ident.UpstreamID
}

func (crashAt crashAt) run() incarnationKey {
	return incarnationKey{upstream: crashAt.upstream, incarnation: crashAt.incarnation}
}

// crashes holds the crashes of each upstream while it ran one request, up to
// maxCrashesPerRequest in all.
type crashes map[ident.UpstreamID][]crash

// all yields each crash with its upstream, in no particular order.
func (crashes crashes) all() iter.Seq2[ident.UpstreamID, crash] {
	return func(yield func(ident.UpstreamID, crash) bool) {
		for upstream, known := range crashes {
			for _, crash := range known {
				if !yield(upstream, crash) {
					return
				}
			}
		}
	}
}

// add records a strike and reports whether it was new. A strike is dropped if
// its crash is known or if there are too many already.
func (crashes crashes) add(strike Strike) bool {
	known := crashes[strike.Upstream]
	for _, crash := range known {
		if crash.sameAs(strike) {
			return false
		}
	}
	if crashes.len() >= maxCrashesPerRequest && !crashes.dropOldest(strike.At) {
		return false
	}
	added := crash{incarnation: strike.Incarnation, sentAt: strike.SentAt, at: strike.At, own: strike.Own, part: strike.Part}
	crashes[strike.Upstream] = append(crashes[strike.Upstream], added)
	return true
}

// dropOldest removes the oldest crash if it is older than the given time, and
// reports whether it did.
func (crashes crashes) dropOldest(than time.Time) bool {
	oldest := than
	for _, crash := range crashes.all() {
		if crash.at.Before(oldest) {
			oldest = crash.at
		}
	}
	if !oldest.Before(than) {
		return false
	}
	crashes.removeIf(0, func(strike Strike) bool { return strike.At.Equal(oldest) })
	return true
}

// sameAs reports whether strike, which is of the same upstream, belongs to the
// same crash. A known incarnation crashes once; without one the time decides.
func (crash crash) sameAs(strike Strike) bool {
	if crash.incarnation > 0 && strike.Incarnation > 0 {
		return crash.incarnation == strike.Incarnation
	}
	return strike.At.Sub(crash.at).Abs() <= duplicateWindow
}

// removeIf removes the crashes for which remove reports true, and returns them
// as strikes of the request with the given fingerprint.
func (crashes crashes) removeIf(fingerprint ident.Fingerprint, remove func(strike Strike) bool) []Strike {
	var removed []Strike
	for upstream, known := range crashes {
		remaining := known[:0]
		for _, crash := range known {
			strike := crash.strike(fingerprint, upstream)
			if remove(strike) {
				removed = append(removed, strike)
				continue
			}
			remaining = append(remaining, crash)
		}
		crashes[upstream] = remaining
		if len(remaining) == 0 {
			delete(crashes, upstream)
		}
	}
	return removed
}

func (crash crash) strike(fingerprint ident.Fingerprint, upstream ident.UpstreamID) Strike {
	return Strike{Fingerprint: fingerprint, Part: crash.part, Upstream: upstream, Incarnation: crash.incarnation, SentAt: crash.sentAt, At: crash.at, Own: crash.own}
}

// list returns the crashes as strikes, the latest first.
func (crashes crashes) list(fingerprint ident.Fingerprint) []Strike {
	var list []Strike
	for upstream, crash := range crashes.all() {
		list = append(list, crash.strike(fingerprint, upstream))
	}
	slices.SortFunc(list, func(a, b Strike) int {
		return cmp.Or(b.At.Compare(a.At), cmp.Compare(a.Upstream, b.Upstream))
	})
	return list
}

// len returns the number of crashes.
func (crashes crashes) len() int {
	count := 0
	for _, known := range crashes {
		count += len(known)
	}
	return count
}

// strikes returns the number of crashes that count.
func (crashes crashes) strikes() int {
	if len(crashes) == 0 {
		return 0
	}
	return len(crashes.counted())
}

// counted returns the crashes that count, the earliest first.
func (crashes crashes) counted() []crashAt { return withoutSimultaneous(crashes.sorted()) }

// sorted returns all crashes, the earliest first.
func (crashes crashes) sorted() []crashAt {
	sorted := make([]crashAt, 0, maxCrashesPerRequest)
	for upstream, crash := range crashes.all() {
		sorted = append(sorted, crashAt{crash: crash, upstream: upstream})
	}
	slices.SortFunc(sorted, func(a, b crashAt) int { return a.at.Compare(b.at) })
	return sorted
}

// withoutSimultaneous returns sorted crashes without those beyond maxSimultaneous that
// belong to an earlier one. It reuses the array.
func withoutSimultaneous(sorted []crashAt) []crashAt {
	counted := sorted[:0]
	var first crashAt
	group := 0
	for _, crash := range sorted {
		if group == 0 || !crash.partOf(first.crash) {
			first, group = crash, 0
		}
		group++
		if group <= maxSimultaneous {
			counted = append(counted, crash)
		}
	}
	return counted
}

// partOf reports whether the crash belongs to an earlier one of another upstream.
func (crash crash) partOf(earlier crash) bool {
	simultaneous := crash.at.Sub(earlier.at) <= simultaneousWindow
	return simultaneous && !crash.sentAt.IsZero() && !crash.sentAt.After(earlier.at)
}

// latest returns the time of the most recent crash.
func (crashes crashes) latest() time.Time {
	var latest time.Time
	for _, crash := range crashes.all() {
		if crash.at.After(latest) {
			latest = crash.at
		}
	}
	return latest
}

// ownSince reports whether this process saw one of the crashes after the given
// time.
func (crashes crashes) ownSince(after time.Time) bool {
	for _, crash := range crashes.all() {
		if crash.own && crash.at.After(after) {
			return true
		}
	}
	return false
}
