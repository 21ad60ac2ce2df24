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
func (controller *Controller) wait(now time.Time, offer Offer, code result.Code, limits limits) Decision {
	if code == result.Leaving || controller.policy.QueueLimit == 0 || !(offer.Wait || offer.Alone) {
		return controller.refuse(now, code, limits)
	}
	if len(controller.queue) >= controller.marked(offer.Priority, controller.policy.QueueLimit) {
		return controller.refuse(now, result.QueueFull, limits)
	}
	if controller.usage(offer.Workspace).waiting >= controller.queueShare(now, &offer) {
		return controller.refuse(now, result.ShareExceeded, limits)
	}
	place := controller.place(offer.Priority)
	if !controller.meets(now, offer.Deadline, place) {
		return controller.refuse(now, result.DeadlineUnmeetable, limits)
	}
	offer.Evidence = nil
	controller.queue = slices.Insert(controller.queue, place, waiting{offer: offer, mark: controller.mark(offer.Priority)})
	controller.usage(offer.Workspace).waiting++
	return Decision{Verdict: Queued, Load: controller.Load(), Mean: limits.mean, Bound: limits.bound}
}

// place returns where a new arrival of priority stands in the queue.
func (controller *Controller) place(priority ident.Priority) int {
	mark := controller.mark(priority)
	place := len(controller.queue)
	for place > 0 && controller.queue[place-1].mark < mark {
		place--
	}
	return place
}

func (controller *Controller) mark(priority ident.Priority) float64 {
	mark, found := controller.policy.Marks[priority]
	if !found || mark <= 0 || mark > 1 {
		return 1
	}
	return mark
}

// marked returns how much of limit a priority may fill, at least one. A limit
// of zero means that there is none. The marks apply to the engine's limit and
// not to the bound by the mean: a low priority held below the mean would pull
// the mean down, and with it its own room, until the pool stood idle.
func (controller *Controller) marked(priority ident.Priority, limit int) int {
	if limit <= 0 {
		return unlimited
	}
	return max(1, int(controller.mark(priority)*float64(limit)))
}

// unlimited is above every load.
const unlimited = 1 << 30

// meets reports whether a request at place in the queue is expected to start
// before its deadline: the running work ends at the recent pace.
func (controller *Controller) meets(now, deadline time.Time, place int) bool {
	if deadline.IsZero() {
		return true
	}
	ends := float64(place+1) / float64(max(1, controller.Load()))
	expected := now.Add(time.Duration(ends * float64(controller.pace.mean())))
	return expected.Before(deadline)
}

func (controller *Controller) queued(attempt ident.AttemptID) int {
	return slices.IndexFunc(controller.queue, func(entry waiting) bool { return entry.offer.Attempt == attempt })
}

func (controller *Controller) removeQueued(place int) Offer {
	offer := controller.queue[place].offer
	controller.queue = slices.Delete(controller.queue, place, place+1)
	controller.usage(offer.Workspace).waiting--
	return offer
}

func (controller *Controller) refuseQueued(now time.Time, place int, code result.Code) Start {
	offer := controller.removeQueued(place)
	return Start{Attempt: offer.Attempt, Code: code, RetryAt: controller.retryAt(now, code)}
}

// promote admits the queued attempts for which there is room.
func (controller *Controller) promote(now time.Time, starts []Start) []Start {
	for len(controller.queue) > 0 {
		place := controller.runnable(now, controller.limits(now, nil))
		if place < 0 {
			return starts
		}
		offer := controller.removeQueued(place)
		if !offer.Deadline.IsZero() && !now.Before(offer.Deadline) {
			starts = append(starts, Start{Attempt: offer.Attempt, Code: result.DeadlineUnmeetable, RetryAt: controller.retryAt(now, result.DeadlineUnmeetable)})
			continue
		}
		controller.admit(now, &offer)
		starts = append(starts, Start{Attempt: offer.Attempt})
	}
	return starts
}

// runnable returns the place of the queued attempt that shall run next, or -1 if
// none may run now: of those with the highest mark the one whose workspace runs
// the least for its weight, and of these the first. None passes an attempt that
// waits for the whole upstream.
func (controller *Controller) runnable(now time.Time, limits limits) int {
	best := -1
	for place := range controller.queue {
		entry := &controller.queue[place]
		if best >= 0 && entry.mark < controller.queue[best].mark {
			return best
		}
		if controller.judge(now, &entry.offer, limits) == result.OK && (best < 0 || controller.runsLess(place, best)) {
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
func (controller *Controller) runsLess(place, other int) bool {
	return controller.usage(controller.queue[place].offer.Workspace).ratio() < controller.usage(controller.queue[other].offer.Workspace).ratio()
}

// overtakes reports whether admitting offer would pass a queued attempt of the
// same or a higher mark that could run, or any that waits for the whole
// upstream.
func (controller *Controller) overtakes(now time.Time, offer *Offer) bool {
	if len(controller.queue) == 0 {
		return false
	}
	limits, mark := controller.limits(now, nil), controller.mark(offer.Priority)
	for place := range controller.queue {
		entry := &controller.queue[place]
		if entry.offer.Alone {
			return true
		}
		if entry.mark >= mark && controller.judge(now, &entry.offer, limits) == result.OK {
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
