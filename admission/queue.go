package admission

import (
	"slices"
	"time"

	"github.com/hickoryhead/hickoryhead/ident"
	"github.com/hickoryhead/hickoryhead/result"
)

// queueEntry is one queued offer. The queue is sorted by descending mark, and
// by arrival within a mark.
type queueEntry struct {
	offer Offer
	mark  float64
}

// enqueue queues an offer that cannot run now, or refuses it. The refusal has
// the given code unless the queue itself is the reason.
func (controller *Controller) enqueue(now time.Time, offer Offer, code result.Code, limits limits) Decision {
	if code == result.Leaving || controller.policy.QueueLimit == 0 || !(offer.MayQueue || offer.Exclusive) {
		return controller.refuse(now, code, limits)
	}
	if len(controller.queue) >= controller.limitFor(offer.Priority, controller.policy.QueueLimit) {
		return controller.refuse(now, result.QueueFull, limits)
	}
	if controller.usage(offer.Workspace).waiting >= controller.queueShare(now, &offer) {
		return controller.refuse(now, result.ShareExceeded, limits)
	}
	index := controller.insertIndex(offer.Priority)
	if !controller.meetsDeadline(now, offer.Deadline, index) {
		return controller.refuse(now, result.DeadlineUnmeetable, limits)
	}
	offer.Evidence = nil
	controller.queue = slices.Insert(controller.queue, index, queueEntry{offer: offer, mark: controller.mark(offer.Priority)})
	controller.usage(offer.Workspace).waiting++
	return Decision{Verdict: Queued, Load: controller.Load(), Mean: limits.mean, Bound: limits.bound}
}

// insertIndex returns the index in the queue at which a new offer of priority
// is inserted.
func (controller *Controller) insertIndex(priority ident.Priority) int {
	mark := controller.mark(priority)
	index := len(controller.queue)
	for index > 0 && controller.queue[index-1].mark < mark {
		index--
	}
	return index
}

func (controller *Controller) mark(priority ident.Priority) float64 {
	mark, found := controller.policy.Marks[priority]
	if !found || mark <= 0 || mark > 1 {
		return 1
	}
	return mark
}

// limitFor returns how much of limit a priority may fill, at least one. A limit
// of zero means no limit. The marks apply to the engine's limit and not to the
// bound by the mean: a low priority stopped below the mean would lower the
// mean, and with it its own room, until the pool was idle.
func (controller *Controller) limitFor(priority ident.Priority, limit int) int {
	if limit <= 0 {
		return unlimited
	}
	return max(1, int(controller.mark(priority)*float64(limit)))
}

// unlimited is greater than any possible load.
const unlimited = 1 << 30

// meetsDeadline reports whether a request at index in the queue is expected to
// start before its deadline, if running work ends at the recent rate.
func (controller *Controller) meetsDeadline(now, deadline time.Time, index int) bool {
	if deadline.IsZero() {
		return true
	}
	serviceTimes := float64(index+1) / float64(max(1, controller.Load()))
	expectedStart := now.Add(time.Duration(serviceTimes * float64(controller.serviceTime.mean())))
	return expectedStart.Before(deadline)
}

// queueIndex returns the index of attempt in the queue, or -1.
func (controller *Controller) queueIndex(attempt ident.AttemptID) int {
	return slices.IndexFunc(controller.queue, func(entry queueEntry) bool { return entry.offer.Attempt == attempt })
}

func (controller *Controller) removeQueued(index int) Offer {
	offer := controller.queue[index].offer
	controller.queue = slices.Delete(controller.queue, index, index+1)
	controller.usage(offer.Workspace).waiting--
	return offer
}

func (controller *Controller) refuseQueued(now time.Time, index int, code result.Code) Dequeued {
	offer := controller.removeQueued(index)
	return Dequeued{Attempt: offer.Attempt, Code: code, RetryAt: controller.retryAt(now, code)}
}

// promote admits the queued attempts for which there is room and refuses those
// whose deadline has passed. It appends both to dequeued.
func (controller *Controller) promote(now time.Time, dequeued []Dequeued) []Dequeued {
	for len(controller.queue) > 0 {
		index := controller.nextRunnable(now, controller.limits(now, nil))
		if index < 0 {
			return dequeued
		}
		offer := controller.removeQueued(index)
		if !offer.Deadline.IsZero() && !now.Before(offer.Deadline) {
			dequeued = append(dequeued, Dequeued{Attempt: offer.Attempt, Code: result.DeadlineUnmeetable, RetryAt: controller.retryAt(now, result.DeadlineUnmeetable)})
			continue
		}
		controller.admit(now, &offer)
		dequeued = append(dequeued, Dequeued{Attempt: offer.Attempt})
	}
	return dequeued
}

// nextRunnable returns the index of the queued attempt to run next, or -1 if
// none may run now. Among the runnable attempts with the highest mark it
// returns the one whose workspace runs the least for its weight; if several are
// equal, the first. No attempt overtakes an exclusive offer.
func (controller *Controller) nextRunnable(now time.Time, limits limits) int {
	best := -1
	for index := range controller.queue {
		entry := &controller.queue[index]
		if best >= 0 && entry.mark < controller.queue[best].mark {
			return best
		}
		if controller.check(now, &entry.offer, limits) == result.OK && (best < 0 || controller.runsLessPerWeight(index, best)) {
			best = index
		}
		if entry.offer.Exclusive {
			return best
		}
	}
	return best
}

// runsLessPerWeight reports whether the workspace of the queued attempt at
// index runs less for its weight than that of the one at other.
func (controller *Controller) runsLessPerWeight(index, other int) bool {
	return controller.usage(controller.queue[index].offer.Workspace).runningPerWeight() < controller.usage(controller.queue[other].offer.Workspace).runningPerWeight()
}

// wouldOvertake reports whether admitting offer would overtake a queued attempt
// of the same or a higher mark that could run now, or a queued exclusive offer.
func (controller *Controller) wouldOvertake(now time.Time, offer *Offer) bool {
	if len(controller.queue) == 0 {
		return false
	}
	limits, mark := controller.limits(now, nil), controller.mark(offer.Priority)
	for index := range controller.queue {
		entry := &controller.queue[index]
		if entry.offer.Exclusive {
			return true
		}
		if entry.mark >= mark && controller.check(now, &entry.offer, limits) == result.OK {
			return true
		}
	}
	return false
}

// serviceTime is an exponentially weighted moving average of the time that
// attempts ran.
type serviceTime struct {
	seconds float64
	known   bool
}

// serviceTimeWeight is the weight of the newest service time in the average.
const serviceTimeWeight = 0.1

func (serviceTime *serviceTime) add(duration time.Duration) {
	seconds := max(0, duration.Seconds())
	if !serviceTime.known {
		serviceTime.seconds, serviceTime.known = seconds, true
		return
	}
	serviceTime.seconds += serviceTimeWeight * (seconds - serviceTime.seconds)
}

// mean returns the average, or zero before the first attempt has ended.
func (serviceTime *serviceTime) mean() time.Duration {
	return time.Duration(serviceTime.seconds * float64(time.Second))
}
