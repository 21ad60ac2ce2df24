package admission

import (
	"math/rand/v2"
	"time"

	"github.com/hickoryhead/hickoryhead/ident"
	"github.com/hickoryhead/hickoryhead/result"
)

// Controller admits requests to one upstream. The zero value admits everything.
// It is not safe for concurrent use.
type Controller struct {
	// Random returns a number in [0, 1) for the jitter of retry-after times and
	// for drawing samples. If it is nil, math/rand/v2 is used.
	Random func() float64

	policy      Policy
	pool        pool
	running     map[ident.AttemptID]run
	usages      []*usage
	queue       []queueEntry
	serviceTime serviceTime
	// exclusiveAttempt is the running attempt that has exclusive use of the
	// upstream; empty if there is none.
	exclusiveAttempt ident.AttemptID
	leaving          bool
	// latestTime is the time passed to the latest call of Observe, Offer, Done
	// or Expire.
	latestTime time.Time
}

// run is one admitted attempt.
type run struct {
	workspace ident.WorkspaceID
	startedAt time.Time
}

// SetPolicy replaces the policy. Running attempts are not affected; queued ones
// are checked against it at the next call of Done or Expire.
func (controller *Controller) SetPolicy(policy Policy) { controller.policy = policy }

// Observe records samples of the pool's other upstreams. If a higher mean makes
// room for queued attempts, the next call of Expire or Done starts them.
func (controller *Controller) Observe(now time.Time, samples []Sample) {
	controller.latestTime = now
	controller.pool.observe(now, samples)
	controller.dropIdleUsages(now)
}

// Leave refuses all new work from now on. It empties the queue and returns the
// queued attempts as refused. Running work is not affected.
func (controller *Controller) Leave() []Dequeued {
	controller.leaving = true
	var refused []Dequeued
	for len(controller.queue) > 0 {
		refused = append(refused, controller.refuseQueued(controller.latestTime, 0, result.Leaving))
	}
	return refused
}

// Load returns the number of admitted requests that are not done.
func (controller *Controller) Load() int { return len(controller.running) }

// QueueLength returns the number of queued requests.
func (controller *Controller) QueueLength() int { return len(controller.queue) }

// Mean returns the mean load of the pool at the time now, this upstream
// included, and the number of upstreams that it covers.
func (controller *Controller) Mean(now time.Time) (float64, int) {
	return controller.pool.mean(now, controller.Load())
}

// Bound returns the bound on the load at the time now; zero means none.
func (controller *Controller) Bound(now time.Time) int { return controller.limits(now, nil).bound }

// Offer admits, queues or refuses a request at the time now. An attempt that is
// already running or queued here is refused with result.KeyInProgress. The
// offer's evidence is recorded as samples for later calls.
func (controller *Controller) Offer(now time.Time, offer Offer) Decision {
	controller.latestTime = now
	if controller.hasAttempt(offer.Attempt) {
		return controller.refuse(now, result.KeyInProgress, controller.limits(now, nil))
	}
	controller.usage(offer.Workspace).recordOffer(now, &offer)
	limits := controller.limits(now, offer.Evidence)
	code := controller.check(now, &offer, limits)
	if len(offer.Evidence) > 0 {
		controller.pool.observe(now, offer.Evidence)
	}
	if code == result.OK && controller.wouldOvertake(now, &offer) {
		code = result.OverBound
	}
	if code == result.OK {
		controller.admit(now, &offer)
		return Decision{Verdict: Admitted, Load: controller.Load(), Mean: limits.mean, Bound: limits.bound}
	}
	return controller.enqueue(now, offer, code, limits)
}

// check returns result.OK if the offer may run now, and otherwise the code that
// says why it may not.
func (controller *Controller) check(now time.Time, offer *Offer, limits limits) result.Code {
	next := controller.Load() + 1
	switch {
	case controller.leaving:
		return result.Leaving
	case controller.exclusiveAttempt != "", offer.Exclusive && next > 1:
		return result.OverBound
	case limits.bound > 0 && next > limits.boundFor(offer):
		return result.OverBound
	case !controller.fitsMark(offer.Priority):
		return result.PriorityHeld
	case controller.shareExceeded(now, offer, limits.mean):
		return result.ShareExceeded
	}
	return result.OK
}

// hasAttempt reports whether attempt is running or queued.
func (controller *Controller) hasAttempt(attempt ident.AttemptID) bool {
	if _, found := controller.running[attempt]; found {
		return true
	}
	return controller.queueIndex(attempt) >= 0
}

func (controller *Controller) admit(now time.Time, offer *Offer) {
	if controller.running == nil {
		controller.running = make(map[ident.AttemptID]run)
	}
	controller.running[offer.Attempt] = run{workspace: offer.Workspace, startedAt: now}
	controller.usage(offer.Workspace).running++
	if offer.Exclusive {
		controller.exclusiveAttempt = offer.Attempt
	}
}

// Done removes an attempt that has ended, or a queued one whose caller has
// left. It returns the queued attempts that leave the queue as a result. An
// unknown attempt is ignored.
func (controller *Controller) Done(now time.Time, attempt ident.AttemptID) []Dequeued {
	controller.latestTime = now
	if index := controller.queueIndex(attempt); index >= 0 {
		controller.removeQueued(index)
		return controller.promote(now, nil)
	}
	ended, found := controller.running[attempt]
	if !found {
		return nil
	}
	delete(controller.running, attempt)
	controller.usage(ended.workspace).running--
	controller.serviceTime.add(now.Sub(ended.startedAt))
	if controller.exclusiveAttempt == attempt {
		controller.exclusiveAttempt = ""
	}
	return controller.promote(now, nil)
}

// Expire returns the queued attempts that leave the queue: those whose deadline
// can no longer be met, and those for which there is room since the mean rose.
func (controller *Controller) Expire(now time.Time) []Dequeued {
	controller.latestTime = now
	var dequeued []Dequeued
	for index := 0; index < len(controller.queue); {
		if controller.meetsDeadline(now, controller.queue[index].offer.Deadline, index) {
			index++
			continue
		}
		dequeued = append(dequeued, controller.refuseQueued(now, index, result.DeadlineUnmeetable))
	}
	return controller.promote(now, dequeued)
}

func (controller *Controller) refuse(now time.Time, code result.Code, limits limits) Decision {
	return Decision{
		Verdict: Refused, Code: code, RetryAt: controller.retryAt(now, code),
		Load: controller.Load(), Mean: limits.mean, Bound: limits.bound,
		LessLoaded: controller.pool.lessLoaded(now, limits.mean, controller.random),
	}
}

// Limits of the mean delay, before jitter, after which a refused request is
// retried. leavingRetryDelay applies if the upstream is leaving.
const (
	minRetryDelay     = 200 * time.Millisecond
	maxRetryDelay     = 5 * time.Second
	leavingRetryDelay = 100 * time.Millisecond
)

// retryAt returns when a refused request may be retried: after about half of
// the mean service time, in which half of the running work ends, with a jitter
// factor from 0.5 to 1.5. The delay is short if the upstream is leaving, since
// another one can accept the request at once.
func (controller *Controller) retryAt(now time.Time, code result.Code) time.Time {
	delay := min(max(controller.serviceTime.mean()/2, minRetryDelay), maxRetryDelay)
	if code == result.Leaving {
		delay = leavingRetryDelay
	}
	return now.Add(time.Duration((0.5 + controller.random()) * float64(delay)))
}

func (controller *Controller) random() float64 {
	if controller.Random == nil {
		return rand.Float64()
	}
	return controller.Random()
}
