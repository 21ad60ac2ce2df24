package standin

import (
	"time"

	"github.com/hickoryhead/hickoryhead/upstream"
)

// maxEvents is the number of cache events kept. Older ones become a gap.
const maxEvents = 4096

// eventLog keeps the latest cache events. The zero value is empty. It is not
// safe for concurrent use.
type eventLog struct {
	// skip leaves out each event whose number is a multiple of it; zero leaves
	// out none.
	skip uint64

	last uint64
	kept []dated[upstream.CacheEvent]
}

// add numbers event and keeps it.
func (log *eventLog) add(now time.Time, event upstream.CacheEvent) {
	log.last++
	if log.skip > 0 && log.last%log.skip == 0 {
		return
	}
	event.Number = log.last
	log.kept = append(log.kept, dated[upstream.CacheEvent]{at: now, value: event})
	if len(log.kept) > maxEvents {
		log.kept = log.kept[len(log.kept)-maxEvents:]
	}
}

// since returns the events above number after that happened by the time until.
func (log *eventLog) since(after uint64, until time.Time) []upstream.CacheEvent {
	var events []upstream.CacheEvent
	for _, event := range log.kept {
		if event.value.Number > after && !event.at.After(until) {
			events = append(events, event.value)
		}
	}
	return events
}
