package policybench

import (
	"container/heap"
	"time"
)

// event is something that happens at a time.
type event struct {
	at     time.Time
	number int
	act    func()
}

type events []event

func (events events) Len() int { return len(events) }

func (events events) Less(i, j int) bool {
	if !events[i].at.Equal(events[j].at) {
		return events[i].at.Before(events[j].at)
	}
	return events[i].number < events[j].number
}

func (events events) Swap(i, j int) { events[i], events[j] = events[j], events[i] }

func (events *events) Push(added any) { *events = append(*events, added.(event)) }

func (events *events) Pop() any {
	last := len(*events) - 1
	popped := (*events)[last]
	*events = (*events)[:last]
	return popped
}

// clock is virtual time: it jumps from one event to the next.
type clock struct {
	now    time.Time
	events events
	number int
}

// after schedules act, in seconds from now.
func (clock *clock) after(seconds float64, act func()) {
	clock.number++
	at := clock.now.Add(time.Duration(seconds * float64(time.Second)))
	heap.Push(&clock.events, event{at: at, number: clock.number, act: act})
}

// run takes the events up to end.
func (clock *clock) run(end time.Time) {
	for len(clock.events) > 0 && !clock.events[0].at.After(end) {
		next := heap.Pop(&clock.events).(event)
		clock.now = next.at
		next.act()
	}
	clock.now = end
}
