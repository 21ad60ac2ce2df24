package strike

import (
	"time"

	"github.com/hickoryhead/hickoryhead/ident"
	"github.com/hickoryhead/hickoryhead/registry"
)

const (
	// withdrawMargin is how long after a crash an upstream has to write its row
	// before the crash is taken back: a write that was sent before the crash may
	// take effect later.
	withdrawMargin = 5 * time.Second
	// breakLifetime is how long after it broke off an upstream is assumed to be
	// away, and maxBreaks limits the upstreams of which that is remembered.
	breakLifetime = 3 * time.Second
	maxBreaks     = 1024
	// awayTime is how long after it broke off an upstream that was not seen to run
	// since doesn't count as one that serves: its row may stay as long.
	awayTime = 6 * time.Second
)

// incarnationKey identifies one run of an upstream.
type incarnationKey struct {
	upstream    ident.UpstreamID
	incarnation registry.Incarnation
}

// breakTimes are when an incarnation broke off first, when it or a successor that is
// not known yet did so last, and when one of them last succeeded.
type breakTimes struct {
	first       time.Time
	last        time.Time
	succeededAt time.Time
}

// recent reports whether the upstream may still be away at a time.
func (times breakTimes) recent(at time.Time) bool {
	return !times.last.IsZero() && at.Sub(times.last) < breakLifetime
}

// succeededSince reports whether the upstream has been seen to run since it broke off.
func (times breakTimes) succeededSince() bool {
	return !times.last.IsZero() && !times.succeededAt.Before(times.last)
}

// AwayUntil returns the time until which an incarnation of an upstream is assumed to be
// away since it broke off, and the zero time for one that is assumed to run.
func (guard *Guard) AwayUntil(now time.Time, upstream ident.UpstreamID, incarnation registry.Incarnation) time.Time {
	if guard == nil {
		return time.Time{}
	}
	guard.mu.Lock()
	defer guard.mu.Unlock()
	times, broke := guard.breaks[incarnationKey{upstream: upstream, incarnation: incarnation}]
	until := times.last.Add(awayTime)
	if !broke || times.succeededSince() || now.After(until) {
		return time.Time{}
	}
	return until
}

// breaksOf returns when the incarnation of a strike, or the one that it followed, broke
// off. The caller holds mu.
func (guard *Guard) breaksOf(strike Strike) breakTimes { return guard.breaks[breakKey(strike)] }

func breakKey(strike Strike) incarnationKey {
	known, _ := strike.Incarnation.Predecessor()
	return incarnationKey{upstream: strike.Upstream, incarnation: known}
}

// wasAway reports whether the upstream had broken off before the request was
// sent, so that the request did not crash it. A connection that was established
// since proves that the upstream runs again. The caller holds mu.
func (guard *Guard) wasAway(strike Strike) bool {
	times := guard.breaksOf(strike)
	seenSince := strike.ConnectedAt.After(times.last) || times.succeededSince()
	return strike.SentAt.After(times.last) && times.recent(strike.SentAt) && !seenSince
}

// hitSuccessor reports whether the request ran at a process that started after the
// incarnation of the strike had broken off. The caller holds mu.
func (guard *Guard) hitSuccessor(strike Strike) bool {
	times := guard.breaksOf(strike)
	return strike.Incarnation > 0 && times.recent(strike.SentAt) && strike.ConnectedAt.After(times.first)
}

// recordBreak records when the upstream broke off, unless it was away already. The
// caller holds mu.
func (guard *Guard) recordBreak(strike Strike) {
	times := guard.breaksOf(strike)
	_, successor := strike.Incarnation.Predecessor()
	switch {
	case guard.wasAway(strike):
		return
	case !times.recent(strike.At):
		times = breakTimes{first: strike.At, last: strike.At, succeededAt: times.succeededAt}
	case (successor || times.succeededSince()) && strike.SentAt.After(times.last):
		times.last = strike.At
	default:
		return
	}
	if guard.breaks == nil || len(guard.breaks) >= maxBreaks {
		guard.breaks = make(map[incarnationKey]breakTimes)
	}
	guard.breaks[breakKey(strike)] = times
}

// ranOn reports whether the incarnation wrote its row some time after it is said
// to have crashed.
func (guard *Guard) ranOn(strike Strike) bool {
	if guard.WroteAfter == nil || strike.Incarnation == 0 {
		return false
	}
	known, _ := strike.Incarnation.Predecessor()
	return guard.WroteAfter(strike.Upstream, known).After(strike.At.Add(withdrawMargin))
}
