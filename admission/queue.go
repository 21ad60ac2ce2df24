package admission

import (
	"slices"
	"time"

	"github.com/hickoryhead/hickoryhead/ident"
	"github.com/hickoryhead/hickoryhead/result"
)

// waiting is one queued offer. The queue is in the order of the marks, and of
// arrival within a mark.
type waiting struct {
	offer Offer
	mark  float64
}

// wait queues an offer that cannot run now for code, or refuses it.
func (gate *Controller) wait(now time.Time, offer Offer, code result.Code, limits limits) Decision {
	if code == result.Leaving || gate.policy.QueueLimit == 0 || !(offer.Wait || offer.Alone) {
		return gate.refuse(now, code, limits)
	}
	if len(gate.queue) >= gate.marked(offer.Priority, gate.policy.QueueLimit) {
		return gate.refuse(now, result.QueueFull, limits)
	}
	if gate.usage(offer.Workspace).waiting >= gate.queueShare(now, &offer) {
		return gate.refuse(now, result.ShareExceeded, limits)
	}
	place := gate.place(offer.Priority)
	if !gate.meets(now, offer.Deadline, place) {
		return gate.refuse(now, result.DeadlineUnmeetable, limits)
	}
	offer.Evidence = nil
	gate.queue = slices.Insert(gate.queue, place, waiting{offer: offer, mark: gate.mark(offer.Priority)})
	gate.usage(offer.Workspace).waiting++
	return Decision{Verdict: Queued, Load: gate.Load(), Mean: limits.mean, Bound: limits.bound}
}

// place returns where a new arrival of priority stands in the queue.
func (gate *Controller) place(priority ident.Priority) int {
	mark := gate.mark(priority)
	place := len(gate.queue)
	for place > 0 && gate.queue[place-1].mark < mark {
		place--
	}
	return place
}

func (gate *Controller) mark(priority ident.Priority) float64 {
	mark, found := gate.policy.Marks[priority]
	if !found || mark <= 0 || mark > 1 {
		return 1
	}
	return mark
}

// marked returns how much of limit a priority may fill, at least one. A limit
// of zero means that there is none. The marks apply to the engine's limit and
// not to the bound by the mean: a low priority held below the mean would pull
// the mean down, and with it its own room, until the pool stood idle.
func (gate *Controller) marked(priority ident.Priority, limit int) int {
	if limit <= 0 {
		return unlimited
	}
	return max(1, int(gate.mark(priority)*float64(limit)))
}

// unlimited is above every load.
const unlimited = 1 << 30

// meets reports whether a request at place in the queue is expected to start
// before its deadline: the running work ends at the recent pace.
func (gate *Controller) meets(now, deadline time.Time, place int) bool {
	if deadline.IsZero() {
		return true
	}
	ends := float64(place+1) / float64(max(1, gate.Load()))
	expected := now.Add(time.Duration(ends * float64(gate.pace.mean())))
	return expected.Before(deadline)
}

func (gate *Controller) queued(attempt ident.AttemptID) int {
	return slices.IndexFunc(gate.queue, func(entry waiting) bool { return entry.offer.Attempt == attempt })
}

func (gate *Controller) removeQueued(place int) Offer {
	offer := gate.queue[place].offer
	gate.queue = slices.Delete(gate.queue, place, place+1)
	gate.usage(offer.Workspace).waiting--
	return offer
}

func (gate *Controller) refuseQueued(now time.Time, place int, code result.Code) Start {
	offer := gate.removeQueued(place)
	return Start{Attempt: offer.Attempt, Code: code, RetryAt: gate.retryAt(now, code)}
}

// promote admits the queued attempts for which there is room.
func (gate *Controller) promote(now time.Time, starts []Start) []Start {
	for len(gate.queue) > 0 {
		place := gate.runnable(now, gate.limits(now, nil))
		if place < 0 {
			return starts
		}
		offer := gate.removeQueued(place)
		if !offer.Deadline.IsZero() && !now.Before(offer.Deadline) {
			starts = append(starts, Start{Attempt: offer.Attempt, Code: result.DeadlineUnmeetable, RetryAt: gate.retryAt(now, result.DeadlineUnmeetable)})
			continue
		}
		gate.admit(now, &offer)
		starts = append(starts, Start{Attempt: offer.Attempt})
	}
	return starts
}

// runnable returns the place of the queued attempt that shall run next, or -1 if
// none may run now: of those with the highest mark the one whose workspace runs
// the least for its weight, and of these the first. None passes an attempt that
// waits for the whole upstream.
func (gate *Controller) runnable(now time.Time, limits limits) int {
	best := -1
	for place := range gate.queue {
		entry := &gate.queue[place]
		if best >= 0 && entry.mark < gate.queue[best].mark {
			return best
		}
		if gate.judge(now, &entry.offer, limits) == result.OK && (best < 0 || gate.runsLess(place, best)) {
			best = place
		}
		if entry.offer.Alone {
			return best
		}
	}
	return best
}

// runsLess reports whether the workspace of the attempt at place runs less for
// its weight than that of the one at other.
func (gate *Controller) runsLess(place, other int) bool {
	return gate.usage(gate.queue[place].offer.Workspace).ratio() < gate.usage(gate.queue[other].offer.Workspace).ratio()
}

// overtakes reports whether admitting offer would pass a queued attempt of the
// same or a higher mark that could run, or any that waits for the whole
// upstream.
func (gate *Controller) overtakes(now time.Time, offer *Offer) bool {
	if len(gate.queue) == 0 {
		return false
	}
	limits, mark := gate.limits(now, nil), gate.mark(offer.Priority)
	for place := range gate.queue {
		entry := &gate.queue[place]
		if entry.offer.Alone {
			return true
		}
		if entry.mark >= mark && gate.judge(now, &entry.offer, limits) == result.OK {
			return true
		}
	}
	return false
}

// pace is the recent service time of the upstream.
type pace struct {
	seconds float64
	known   bool
}

// paceWeight is the weight of the newest service time in the mean.
const paceWeight = 0.1

func (pace *pace) add(service time.Duration) {
	seconds := max(0, service.Seconds())
	if !pace.known {
		pace.seconds, pace.known = seconds, true
		return
	}
	pace.seconds += paceWeight * (seconds - pace.seconds)
}

func (pace *pace) mean() time.Duration {
	return time.Duration(pace.seconds * float64(time.Second))
}
