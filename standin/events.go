package standin

import (
	"time"

	"github.com/hickoryhead/hickoryhead/upstream"
)

// maxEvents is the number of cache events kept. Readers that are further behind
// see a gap in the event numbers.
const maxEvents = 4096

// eventLog keeps the latest cache events. The zero value is empty. It is not
// safe for concurrent use.
type eventLog struct {
	// skipEvery drops each event whose number is a multiple of it, so that
	// readers see gaps; zero drops none.
	skipEvery uint64

	lastNumber uint64
	entries    []timestamped[upstream.CacheEvent]
}

// add assigns the next number to event and appends it.
func (log *eventLog) add(now time.Time, event upstream.CacheEvent) {
	log.lastNumber++
	if log.skipEvery > 0 && log.lastNumber%log.skipEvery == 0 {
		return
	}
	event.Number = log.lastNumber
	log.entries = append(log.entries, timestamped[upstream.CacheEvent]{at: now, value: event})
	if len(log.entries) > maxEvents {
		log.entries = log.entries[len(log.entries)-maxEvents:]
	}
}

// since returns the events with numbers above after that were added no later
// than until.
func (log *eventLog) since(after uint64, until time.Time) []upstream.CacheEvent {
	var events []upstream.CacheEvent
	for _, event := range log.entries {
		if event.value.Number > after && !event.at.After(until) {
			events = append(events, event.value)
		}
	}
	return events
}
