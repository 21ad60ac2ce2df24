package gossip

import (
	"time"

	"github.com/hickoryhead/hickoryhead/balance"
	"github.com/hickoryhead/hickoryhead/ident"
)

const (
	// completeInterval is the time between two messages with the counts of all
	// upstreams, which make up for lost messages.
	completeInterval = time.Second
	// sendsPerChange is the number of consecutive messages that contain the same
	// change, so that a single lost message does no harm.
	sendsPerChange = 2
)

// deltaEncoder selects the counts of requests in flight that the next message
// contains: mostly those of the upstreams where they changed recently. The zero
// value is ready to use. It is not safe for concurrent use.
type deltaEncoder struct {
	// lastCounts are the counts passed to the last call of next.
	lastCounts balance.Counts
	// sendsLeft holds, for each upstream whose counts changed, the number of
	// messages that still have to contain them.
	sendsLeft  map[ident.UpstreamID]int
	completeAt time.Time
}

// next returns the counts for the next message, given the current ones. If it
// reports complete, these are all counts, else only those that changed recently.
// The encoder keeps current, which must not change afterwards.
func (encoder *deltaEncoder) next(now time.Time, current balance.Counts) (counts balance.Counts, complete bool) {
	encoder.markChanged(current)
	if !now.Before(encoder.completeAt.Add(completeInterval)) {
		encoder.completeAt = now
		encoder.countSend()
		return current, true
	}
	changed := make(balance.Counts, len(encoder.sendsLeft))
	for upstream := range encoder.sendsLeft {
		changed[upstream] = current[upstream]
	}
	encoder.countSend()
	return changed, false
}

// countSend counts one message with all pending changes.
func (encoder *deltaEncoder) countSend() {
	for upstream, left := range encoder.sendsLeft {
		if left == 1 {
			delete(encoder.sendsLeft, upstream)
			continue
		}
		encoder.sendsLeft[upstream] = left - 1
	}
}

// markChanged marks the upstreams whose counts differ from the last ones.
func (encoder *deltaEncoder) markChanged(current balance.Counts) {
	if encoder.sendsLeft == nil {
		encoder.sendsLeft = make(map[ident.UpstreamID]int)
	}
	for upstream, load := range current {
		if encoder.lastCounts[upstream] != load {
			encoder.sendsLeft[upstream] = sendsPerChange
		}
	}
	for upstream := range encoder.lastCounts {
		if _, found := current[upstream]; !found {
			encoder.sendsLeft[upstream] = sendsPerChange
		}
	}
	encoder.lastCounts = current
}
