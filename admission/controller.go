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
	// Random returns a number in [0, 1) that spreads the times to come back.
	// Nil means the random source of the process.
	Random func() float64

	policy  Policy
	pool    pool
	running map[ident.AttemptID]run
	usages  []*usage
	queue   []waiting
	pace    pace
	// alone is the attempt that has the upstream to itself.
	alone   ident.AttemptID
	leaving bool
	// latest is the latest time that the controller was given.
	latest time.Time
}

// run is one admitted attempt.
type run struct {
	workspace ident.WorkspaceID
	startedAt time.Time
}

// SetPolicy puts policy in force from now on.
func (controller *Controller) SetPolicy(policy Policy) { controller.policy = policy }

// Observe takes in the samples of the pool's other upstreams. A raised mean may
// make room for waiting attempts: the next Expire or Done starts them.
func (controller *Controller) Observe(now time.Time, samples []Sample) {
	controller.latest = now
	controller.pool.observe(now, samples)
	controller.forgetIdle(now)
}

// Leave refuses all new work from now on and returns the queued attempts, all
// refused. Running work is not affected.
func (controller *Controller) Leave() []Start {
	controller.leaving = true
	var refused []Start
	for len(controller.queue) > 0 {
		refused = append(refused, controller.refuseQueued(controller.latest, 0, result.Leaving))
	}
	return refused
}

// Load returns the number of admitted requests that are not done.
func (controller *Controller) Load() int { return len(controller.running) }

// Waiting returns the number of queued requests.
func (controller *Controller) Waiting() int { return len(controller.queue) }

// Mean returns the mean load of the pool at the time now, this upstream
// included, and the number of upstreams that it covers.
func (controller *Controller) Mean(now time.Time) (float64, int) {
	return controller.pool.mean(now, controller.Load())
}

// Bound returns the bound on the load at the time now; zero means none.
func (controller *Controller) Bound(now time.Time) int { return controller.limits(now, nil).bound }

// Offer asks to admit a request at the time now. An attempt that is already
// running or queued here is refused as in progress. The evidence counts as
// samples from then on.
func (controller *Controller) Offer(now time.Time, offer Offer) Decision {
	controller.latest = now
	if controller.holds(offer.Attempt) {
		return controller.refuse(now, result.KeyInProgress, controller.limits(now, nil))
	}
	controller.usage(offer.Workspace).ask(now, &offer)
	limits := controller.limits(now, offer.Evidence)
	code := controller.judge(now, &offer, limits)
	if len(offer.Evidence) > 0 {
		controller.pool.observe(now, offer.Evidence)
	}
	if code == result.OK && controller.overtakes(now, &offer) {
		code = result.OverBound
	}
	if code == result.OK {
		controller.admit(now, &offer)
		return Decision{Verdict: Admitted, Load: controller.Load(), Mean: limits.mean, Bound: limits.bound}
	}
	return controller.wait(now, offer, code, limits)
}

// judge returns OK if the offer may run now, and otherwise why not.
func (controller *Controller) judge(now time.Time, offer *Offer, limits limits) result.Code {
	next := controller.Load() + 1
	switch {
	case controller.leaving:
		return result.Leaving
	case controller.alone != "", offer.Alone && next > 1:
		return result.OverBound
	case limits.bound > 0 && next > limits.of(offer):
		return result.OverBound
	case !controller.fits(offer.Priority):
		return result.PriorityHeld
	case controller.shareExceeded(now, offer, limits.mean):
		return result.ShareExceeded
	}
	return result.OK
}

func (controller *Controller) holds(attempt ident.AttemptID) bool {
	if _, found := controller.running[attempt]; found {
		return true
	}
	return controller.queued(attempt) >= 0
}

func (controller *Controller) admit(now time.Time, offer *Offer) {
	if controller.running == nil {
		controller.running = make(map[ident.AttemptID]run)
	}
	controller.running[offer.Attempt] = run{workspace: offer.Workspace, startedAt: now}
	controller.usage(offer.Workspace).running++
	if offer.Alone {
		controller.alone = offer.Attempt
	}
}

// Done tells that an admitted attempt has ended, or that the caller of a
// queued one has gone. It returns the queued attempts that leave the queue.
func (controller *Controller) Done(now time.Time, attempt ident.AttemptID) []Start {
	controller.latest = now
	if place := controller.queued(attempt); place >= 0 {
		controller.removeQueued(place)
		return controller.promote(now, nil)
	}
	ended, found := controller.running[attempt]
	if !found {
		return nil
	}
	delete(controller.running, attempt)
	controller.usage(ended.workspace).running--
	controller.pace.add(now.Sub(ended.startedAt))
	if controller.alone == attempt {
		controller.alone = ""
	}
	return controller.promote(now, nil)
}

// Expire returns the queued attempts that leave the queue: those whose deadline
// can no longer be met, and those for which there is room since the mean rose.
func (controller *Controller) Expire(now time.Time) []Start {
	controller.latest = now
	var starts []Start
	for place := 0; place < len(controller.queue); {
		if controller.meets(now, controller.queue[place].offer.Deadline, place) {
			place++
			continue
		}
		starts = append(starts, controller.refuseQueued(now, place, result.DeadlineUnmeetable))
	}
	return controller.promote(now, starts)
}

func (controller *Controller) refuse(now time.Time, code result.Code, limits limits) Decision {
	return Decision{
		Verdict: Refused, Code: code, RetryAt: controller.retryAt(now, code),
		Load: controller.Load(), Mean: limits.mean, Bound: limits.bound,
		LessLoaded: controller.pool.lighter(now, limits.mean, controller.random),
	}
}

// The least and the longest mean time after which a refused request comes back.
const (
	shortestRetry = 200 * time.Millisecond
	longestRetry  = 5 * time.Second
	leavingRetry  = 100 * time.Millisecond
)

// retryAt returns when to come back: after about half of a service time, in
// which half of the running work ends, spread from half of it to one and a
// half. Another upstream may take the work of one that leaves at once.
func (controller *Controller) retryAt(now time.Time, code result.Code) time.Time {
	delay := min(max(controller.pace.mean()/2, shortestRetry), longestRetry)
	if code == result.Leaving {
		delay = leavingRetry
	}
	return now.Add(time.Duration((0.5 + controller.random()) * float64(delay)))
}

func (controller *Controller) random() float64 {
	if controller.Random == nil {
		return rand.Float64()
	}
	return controller.Random()
}
