package strike

import (
	"time"

	"github.com/hickoryhead/hickoryhead/ident"
)

const (
	// successSlots is the number of requests whose last success is remembered.
	successSlots = 4096
	// successWindow is how long a success makes a crash count less: a request that
	// is sent often runs at an upstream that crashes for another reason.
	successWindow = 30 * time.Second
)

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

// within reports whether the request succeeded in the successWindow before at.
func (successes *successes) within(at time.Time, fingerprint ident.Fingerprint) bool {
	if successes.slots == nil {
		return false
	}
	slot := successes.slots[fingerprint%successSlots]
	return slot.fingerprint == fingerprint && at.Sub(slot.at) <= successWindow
}
