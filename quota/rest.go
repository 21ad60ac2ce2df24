package quota

import (
	"time"

	"github.com/hickoryhead/hickoryhead/ident"
	"github.com/hickoryhead/hickoryhead/registry"
)

// maxRests limits the rests that are remembered.
const maxRests = 4096

// Rest records that an incarnation of an upstream asked this router for rest. A rest is
// this router's alone, and is not cut short by a later one.
func (tracker *Tracker) Rest(now time.Time, upstream ident.UpstreamID, incarnation registry.Incarnation, rest time.Duration) {
	if tracker == nil || rest <= 0 {
		return
	}
	tracker.mu.Lock()
	defer tracker.mu.Unlock()
	if tracker.restUntil == nil {
		tracker.restUntil = make(map[key]time.Time)
	}
	if len(tracker.restUntil) >= maxRests {
		tracker.endRests(now)
	}
	identity := key{upstream: upstream, incarnation: incarnation}
	if until := now.Add(rest); until.After(tracker.restUntil[identity]) {
		tracker.restUntil[identity] = until
	}
}

// RestsUntil returns when the rest of an upstream ends, or the zero time if it has none.
func (tracker *Tracker) RestsUntil(now time.Time, upstream registry.Upstream) time.Time {
	if tracker == nil {
		return time.Time{}
	}
	tracker.mu.Lock()
	defer tracker.mu.Unlock()
	return tracker.restsUntil(now, upstream)
}

// restsUntil returns RestsUntil. The caller holds mu.
func (tracker *Tracker) restsUntil(now time.Time, upstream registry.Upstream) time.Time {
	until := tracker.restUntil[keyOf(upstream)]
	if !now.Before(until) {
		return time.Time{}
	}
	return until
}

// endRests removes the rests that are over, and, if that leaves too many, the others. The
// caller holds mu.
func (tracker *Tracker) endRests(now time.Time) {
	for identity, until := range tracker.restUntil {
		if !now.Before(until) {
			delete(tracker.restUntil, identity)
		}
	}
	if len(tracker.restUntil) >= maxRests {
		clear(tracker.restUntil)
	}
}
