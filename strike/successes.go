package strike

import (
	"time"

	"github.com/hickoryhead/hickoryhead/ident"
)

// successSlots is the number of keys whose last success is remembered, so that a strike
// from before it that is received afterwards doesn't count.
const successSlots = 4096

// success is the last success of one request.
type success struct {
	fingerprint ident.Fingerprint
	at          time.Time
}

// successes remembers which requests succeeded lately, in a fixed amount of
// memory: two requests may share a slot, and the later one keeps it.
type successes struct {
	slots []success
}

func (successes *successes) record(now time.Time, fingerprint ident.Fingerprint) {
	if successes.slots == nil {
		successes.slots = make([]success, successSlots)
	}
	successes.slots[fingerprint%successSlots] = success{fingerprint: fingerprint, at: now}
}

// since reports whether the request is known to have succeeded later than at.
func (successes *successes) since(at time.Time, fingerprint ident.Fingerprint) bool {
	if successes.slots == nil {
		return false
	}
	slot := successes.slots[fingerprint%successSlots]
	return slot.fingerprint == fingerprint && slot.at.After(at)
}
