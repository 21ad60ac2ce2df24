package admission

import (
	"math/rand/v2"
	"time"

	"github.com/hickoryhead/hickoryhead/ident"
	"github.com/hickoryhead/hickoryhead/result"
)

// Controller admits requests to one upstream. The zero value admits everything. It is
// not safe for concurrent use.
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
	// latest is the latest time that the gate was given.
	latest time.Time
}

// run is one admitted attempt.
type run struct {
	workspace ident.WorkspaceID
	startedAt time.Time
}

// SetPolicy puts policy in force from now on.
func (gate *Controller) SetPolicy(policy Policy) { gate.policy = policy }

// Observe takes in the samples of the pool's other upstreams. A raised mean may
// make room for waiting attempts: the next Expire or Done starts them.
func (gate *Controller) Observe(now time.Time, samples []Sample) {
	gate.latest = now
	gate.pool.observe(now, samples)
	gate.forgetIdle(now)
}

// Leave refuses all new work from now on and returns the queued attempts, all
// refused. Running work is not affected.
func (gate *Controller) Leave() []Start {
	gate.leaving = true
	var refused []Start
	for len(gate.queue) > 0 {
		refused = append(refused, gate.refuseQueued(gate.latest, 0, result.Leaving))
	}
	return refused
}

// Load returns the number of admitted requests that are not done.
func (gate *Controller) Load() int { return len(gate.running) }

// Waiting returns the number of queued requests.
func (gate *Controller) Waiting() int { return len(gate.queue) }

// Mean returns the mean load of the pool at the time now, this upstream
// included, and the number of upstreams that it covers.
func (gate *Controller) Mean(now time.Time) (float64, int) { return gate.pool.mean(now, gate.Load()) }

// Bound returns the bound on the load at the time now; zero means none.
func (gate *Controller) Bound(now time.Time) int { return gate.limits(now, nil).bound }

// Offer asks to admit a request at the time now. An attempt that is already
// running or queued here is refused as in progress. The evidence counts as
// samples from then on.
func (gate *Controller) Offer(now time.Time, offer Offer) Decision {
	gate.latest = now
	if gate.holds(offer.Attempt) {
		return gate.refuse(now, result.KeyInProgress, gate.limits(now, nil))
	}
	gate.usage(offer.Workspace).ask(now, &offer)
	limits := gate.limits(now, offer.Evidence)
	code := gate.judge(now, &offer, limits)
	if len(offer.Evidence) > 0 {
		gate.pool.observe(now, offer.Evidence)
	}
	if code == result.OK && gate.overtakes(now, &offer) {
		code = result.OverBound
	}
	if code == result.OK {
		gate.admit(now, &offer)
		return Decision{Verdict: Admitted, Load: gate.Load(), Mean: limits.mean, Bound: limits.bound}
	}
	return gate.wait(now, offer, code, limits)
}

// judge returns OK if the offer may run now, and otherwise why not.
func (gate *Controller) judge(now time.Time, offer *Offer, limits limits) result.Code {
	next := gate.Load() + 1
	switch {
	case gate.leaving:
		return result.Leaving
	case gate.alone != "", offer.Alone && next > 1:
		return result.OverBound
	case limits.bound > 0 && next > limits.of(offer):
		return result.OverBound
	case !gate.fits(offer.Priority):
		return result.PriorityHeld
	case gate.shareExceeded(now, offer, limits.mean):
		return result.ShareExceeded
	}
	return result.OK
}

func (gate *Controller) holds(attempt ident.AttemptID) bool {
	if _, found := gate.running[attempt]; found {
		return true
	}
	return gate.queued(attempt) >= 0
}

func (gate *Controller) admit(now time.Time, offer *Offer) {
	if gate.running == nil {
		gate.running = make(map[ident.AttemptID]run)
	}
	gate.running[offer.Attempt] = run{workspace: offer.Workspace, startedAt: now}
	gate.usage(offer.Workspace).running++
	if offer.Alone {
		gate.alone = offer.Attempt
	}
}

// Done tells that an admitted attempt has ended, or that the caller of a
// queued one has gone. It returns the queued attempts that leave the queue.
func (gate *Controller) Done(now time.Time, attempt ident.AttemptID) []Start {
	gate.latest = now
	if place := gate.queued(attempt); place >= 0 {
		gate.removeQueued(place)
		return gate.promote(now, nil)
	}
	ended, found := gate.running[attempt]
	if !found {
		return nil
	}
	delete(gate.running, attempt)
	gate.usage(ended.workspace).running--
	gate.pace.add(now.Sub(ended.startedAt))
	if gate.alone == attempt {
		gate.alone = ""
	}
	return gate.promote(now, nil)
}

// Expire returns the queued attempts that leave the queue: those whose deadline
// can no longer be met, and those for which there is room since the mean rose.
func (gate *Controller) Expire(now time.Time) []Start {
	gate.latest = now
	var starts []Start
	for place := 0; place < len(gate.queue); {
		if gate.meets(now, gate.queue[place].offer.Deadline, place) {
			place++
			continue
		}
		starts = append(starts, gate.refuseQueued(now, place, result.DeadlineUnmeetable))
	}
	return gate.promote(now, starts)
}

func (gate *Controller) refuse(now time.Time, code result.Code, limits limits) Decision {
	return Decision{
		Verdict: Refused, Code: code, RetryAt: gate.retryAt(now, code),
		Load: gate.Load(), Mean: limits.mean, Bound: limits.bound,
		LessLoaded: gate.pool.lighter(now, limits.mean, gate.random),
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
func (gate *Controller) retryAt(now time.Time, code result.Code) time.Time {
	delay := min(max(gate.pace.mean()/2, shortestRetry), longestRetry)
	if code == result.Leaving {
		delay = leavingRetry
	}
	return now.Add(time.Duration((0.5 + gate.random()) * float64(delay)))
}

func (gate *Controller) random() float64 {
	if gate.Random == nil {
		return rand.Float64()
	}
	return gate.Random()
}
