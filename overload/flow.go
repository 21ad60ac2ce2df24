package overload

import (
	"time"

	"github.com/hickoryhead/hickoryhead/ident"
)

const (
	// flowSlot is the length of a slot of a flow, and flowSlots the number of them, which
	// cover the longest delay between routers.
	flowSlot  = 50 * time.Millisecond
	flowSlots = 64
)

// flow counts the requests that were sent and that ended lately.
type flow struct {
	slots [flowSlots]flowCounts
}

// flowCounts holds the counts of one slot: the requests that were sent, with their prefill,
// and those that ended.
type flowCounts struct {
	number      int64
	sent, ended int
	prefill     ident.Tokens
}

func (flow *flow) slot(now time.Time) *flowCounts {
	number := now.UnixNano() / int64(flowSlot)
	slot := &flow.slots[number%flowSlots]
	if slot.number != number {
		*slot = flowCounts{number: number}
	}
	return slot
}

// since returns the counts of the given time.
func (flow *flow) since(now time.Time, length time.Duration) flowCounts {
	last := now.UnixNano() / int64(flowSlot)
	first := last - int64(min(length/flowSlot+1, flowSlots-1))
	var sum flowCounts
	for _, slot := range flow.slots {
		if slot.number > first && slot.number <= last {
			sum.sent += slot.sent
			sum.ended += slot.ended
			sum.prefill += slot.prefill
		}
	}
	return sum
}
