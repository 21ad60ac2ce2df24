package policybench

import (
	"container/heap"
	"time"
)

// event is a function that is called at a virtual time. Events at the same time
// run in the order of their sequence numbers.
type event struct {
	at       time.Time
	sequence int
	act      func()
}

// events is a heap of events, ordered by time.
type events []event

func (events events) Len() int { return len(events) }

func (events events) Less(i, j int) bool {
	if !events[i].at.Equal(events[j].at) {
		return events[i].at.Before(events[j].at)
	}
	return events[i].sequence < events[j].sequence
}

func (events events) Swap(i, j int) { events[i], events[j] = events[j], events[i] }

func (events *events) Push(added any) { *events = append(*events, added.(event)) }

func (events *events) Pop() any {
	last := len(*events) - 1
	popped := (*events)[last]
	*events = (*events)[:last]
	return popped
}

// clock is a virtual clock that jumps from one event to the next.
type clock struct {
	now          time.Time
	events       events
	lastSequence int
}

// after schedules act to run in the given number of seconds.
func (clock *clock) after(seconds float64, act func()) {
	clock.lastSequence++
	at := clock.now.Add(time.Duration(seconds * float64(time.Second)))
	heap.Push(&clock.events, event{at: at, sequence: clock.lastSequence, act: act})
}

// run runs the events up to end, which becomes the current time.
func (clock *clock) run(end time.Time) {
	for len(clock.events) > 0 && !clock.events[0].at.After(end) {
		next := heap.Pop(&clock.events).(event)
		clock.now = next.at
		next.act()
	}
	clock.now = end
}
