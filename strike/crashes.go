package strike

import (
	"cmp"
	"slices"
	"time"

	"github.com/hickoryhead/hickoryhead/ident"
	"github.com/hickoryhead/hickoryhead/registry"
)

// maxCrashesPerRequest limits the crashes that are kept of one request.
const maxCrashesPerRequest = 8

// crash is one crash of an upstream.
type crash struct {
	incarnation registry.Incarnation
	at          time.Time
	// own is set if this process saw the crash itself.
	own bool
}

// crashes holds the crashes of each upstream while it ran one request, up to
// neverStrikes per upstream and maxCrashesPerRequest in all.
type crashes map[ident.UpstreamID][]crash

// add records a strike and reports whether it was new. A strike is dropped if
// its crash is known or if there are too many already.
func (crashes crashes) add(strike Strike) bool {
	known := crashes[strike.Upstream]
	for _, crash := range known {
		if crash.sameAs(strike) {
			return false
		}
	}
	if len(known) >= neverStrikes || crashes.strikes() >= maxCrashesPerRequest {
		return false
	}
	crashes[strike.Upstream] = append(known, crash{incarnation: strike.Incarnation, at: strike.At, own: strike.Own})
	return true
}

// sameAs reports whether strike, which is of the same upstream, belongs to the
// same crash. An incarnation crashes once; without one the time decides.
func (crash crash) sameAs(strike Strike) bool {
	if crash.incarnation != 0 && strike.Incarnation != 0 {
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
	return Strike{Fingerprint: fingerprint, Upstream: upstream, Incarnation: crash.incarnation, At: crash.at, Own: crash.own}
}

// list returns the crashes as strikes, the latest first.
func (crashes crashes) list(fingerprint ident.Fingerprint) []Strike {
	var list []Strike
	for upstream, known := range crashes {
		for _, crash := range known {
			list = append(list, crash.strike(fingerprint, upstream))
		}
	}
	slices.SortFunc(list, func(a, b Strike) int {
		return cmp.Or(b.At.Compare(a.At), cmp.Compare(a.Upstream, b.Upstream))
	})
	return list
}

// strikes returns the number of crashes.
func (crashes crashes) strikes() int {
	strikes := 0
	for _, known := range crashes {
		strikes += len(known)
	}
	return strikes
}

// latest returns the time of the most recent crash.
func (crashes crashes) latest() time.Time {
	var latest time.Time
	for _, known := range crashes {
		for _, crash := range known {
			if crash.at.After(latest) {
				latest = crash.at
			}
		}
	}
	return latest
}

// ownSince reports whether this process saw one of the crashes after the given
// time.
func (crashes crashes) ownSince(after time.Time) bool {
	for _, known := range crashes {
		for _, crash := range known {
			if crash.own && crash.at.After(after) {
				return true
			}
		}
	}
	return false
}
