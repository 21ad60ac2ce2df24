package gossip

import (
	"cmp"
	"time"

	"github.com/hickoryhead/hickoryhead/balance"
)

const (
	// completeInterval is the time between two messages with the counts of all
	// upstreams, which make up for lost messages.
	completeInterval = time.Second
	// sendsPerChange is the number of consecutive messages that contain the same
	// change, so that a single lost message does no harm.
	sendsPerChange = 2
)

// deltaEncoder selects the loads that the next message contains: mostly those of the
// upstreams where they changed recently. The zero value is ready to use. It is not safe
// for concurrent use.
type deltaEncoder[Key comparable] struct {
	// sends is the number of consecutive messages that contain the same change; zero
	// means sendsPerChange.
	sends int
	// interval is the time between two messages with the loads of all upstreams; zero
	// means completeInterval.
	interval time.Duration
	// lastLoads are the loads passed to the last call of next.
	lastLoads map[Key]balance.Load
	// sendsLeft holds, for each upstream whose load changed, the number of
	// messages that still have to contain it.
	sendsLeft  map[Key]int
	completeAt time.Time
}

// next returns the loads for the next message, given the current ones. If it
// reports complete, these are all loads, else only those that changed recently.
// The encoder keeps current, which must not change afterwards.
func (encoder *deltaEncoder[Key]) next(now time.Time, current map[Key]balance.Load) (loads map[Key]balance.Load, complete bool) {
	encoder.markChanged(current)
	if !now.Before(encoder.completeAt.Add(cmp.Or(encoder.interval, completeInterval))) {
		encoder.completeAt = now
		encoder.countSend()
		return current, true
	}
	changed := make(map[Key]balance.Load, len(encoder.sendsLeft))
	for upstream := range encoder.sendsLeft {
		changed[upstream] = current[upstream]
	}
	encoder.countSend()
	return changed, false
}

// countSend counts one message with all pending changes.
func (encoder *deltaEncoder[Key]) countSend() {
	for upstream, left := range encoder.sendsLeft {
		if left == 1 {
			delete(encoder.sendsLeft, upstream)
			continue
		}
		encoder.sendsLeft[upstream] = left - 1
	}
}

// markChanged marks the upstreams whose loads differ from the last ones.
func (encoder *deltaEncoder[Key]) markChanged(current map[Key]balance.Load) {
	if encoder.sendsLeft == nil {
		encoder.sendsLeft = make(map[Key]int)
	}
	sends := cmp.Or(encoder.sends, sendsPerChange)
	for upstream, load := range current {
		if encoder.lastLoads[upstream] != load {
			encoder.sendsLeft[upstream] = sends
		}
	}
	for upstream := range encoder.lastLoads {
		if _, found := current[upstream]; !found {
			encoder.sendsLeft[upstream] = sends
		}
	}
	encoder.lastLoads = current
}
