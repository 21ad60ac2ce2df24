package overload

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/hickoryhead/hickoryhead/ident"
)

const (
	// smoothing is the weight of a new sample of what is learned.
	smoothing = 0.1
	// memoryWeight is the number of requests in flight at which the mean of these counts
	// as much as the mean of all that were sent.
	memoryWeight = 4
	// queueProbeTime is the time without refusals after which the queue of a plain
	// service is assumed to be longer by one.
	queueProbeTime = 5 * time.Second
	// defaultPrefillRate is the assumed prefill rate in tokens per millisecond, as in
	// package balance.
	defaultPrefillRate = 45
	// refusedTime is the time over which refusals are compared with requests that end.
	refusedTime = time.Second
	// A pool is short of room from shortUsage on, and until stillShortUsage while requests are
	// refused.
	shortUsage      = 0.7
	stillShortUsage = 0.4
	// maxReturnShare is the part of their remaining time up to which callers honour
	// Retry-After, and minReturnShare the least that is named: they return once, and a
	// shortage rarely ends within less.
	maxReturnShare = 0.32
	minReturnShare = 0.15
	// returnJitter is the part by which Retry-After varies.
	returnJitter = 0.2
)

// service is what is known of the requests of one service.
type service struct {
	flow     flow
	fairness fairness
	waits    usualWaits
	// shortage is set while a pool of the service is short of room.
	shortage bool
	// inFlight and memory are the requests of this router in flight and their memory,
	// and meanMemory is the mean of those that were sent.
	inFlight   int
	memory     ident.Tokens
	meanMemory float64
	// serviceTime is how long a request takes a slot, and queue how many requests wait at
	// an upstream that turned one away at queueAt, which is zero if none has.
	serviceTime time.Duration
	queue       float64
	queueAt     time.Time
	// decided and refused count the requests that were decided on in a shortage, and those
	// refused, here or by upstreams.
	decided, refused decayingCount
}

// learned is what a decision needs of what is known of a service.
type learned struct {
	// prefillRate is the prefill rate of each upstream in tokens per millisecond.
	prefillRate func(upstream ident.UpstreamID) float64
	// memory is the mean memory of a request in flight.
	memory float64
	// serviceTime is how long a slot is taken by a request, or zero if that is not known.
	serviceTime time.Duration
	// queue is how many requests wait at an upstream that turns others away.
	queue      float64
	queueKnown bool
}

// learned returns what is known at the time now.
func (service *service) learned(now time.Time, prefillRate func(upstream ident.UpstreamID) float64) learned {
	known := learned{prefillRate: prefillRate, serviceTime: service.serviceTime, queueKnown: !service.queueAt.IsZero()}
	known.memory = (float64(service.memory) + memoryWeight*service.meanMemory) / float64(service.inFlight+memoryWeight)
	if known.queueKnown {
		known.queue = service.queue + math.Floor(now.Sub(service.queueAt).Seconds()/queueProbeTime.Seconds())
	}
	return known
}

func (service *service) sent(now time.Time, prefill, memory ident.Tokens) {
	slot := service.flow.slot(now)
	slot.sent++
	slot.prefill += prefill
	service.inFlight++
	service.memory += memory
	if service.meanMemory == 0 {
		service.meanMemory = float64(memory)
	}
	service.meanMemory += smoothing * (float64(memory) - service.meanMemory)
}

func (service *service) ended(now time.Time, memory ident.Tokens) {
	service.flow.slot(now).ended++
	service.inFlight = max(service.inFlight-1, 0)
	service.memory = max(service.memory-memory, 0)
}

// answered learns how long a request takes a slot, from one that took so long while as many
// were in flight. The part of the time in which it waited for a slot is left out.
func (service *service) answered(took time.Duration, slots, inFlight int) {
	if slots <= 0 {
		return
	}
	sample := time.Duration(float64(took) * min(1, float64(slots)/float64(inFlight+1)))
	if service.serviceTime == 0 {
		service.serviceTime = sample
	}
	service.serviceTime += time.Duration(smoothing * float64(sample-service.serviceTime))
}

// turnedAway learns how many requests wait at an upstream that turns others away.
func (service *service) turnedAway(now time.Time, waiting int) {
	if service.queueAt.IsZero() {
		service.queue = float64(waiting)
	}
	service.queue += smoothing * (float64(waiting) - service.queue)
	service.queueAt = now
}

// shortUsage returns the share of a pool that is used from which on it is short of room. It is
// lower while requests are refused: without that, all that are refused now would be sent as soon
// as there is some room, before the routers know of each other's.
func (service *service) shortUsage(now time.Time) float64 {
	if service.refused.get(now, refusedTime) >= 1 {
		return stillShortUsage
	}
	return shortUsage
}

// refusedShare returns the share of the requests decided on lately that were refused.
func (service *service) refusedShare(now time.Time) float64 {
	return service.refused.get(now, refusedTime) / max(service.decided.get(now, refusedTime), 1)
}

// retryAfter returns when a refused caller should return: after the time in which as many
// requests end as were refused lately, within the time for which callers wait.
func (service *service) retryAfter(now, deadline time.Time, random func() float64) time.Duration {
	remaining := float64(max(deadline.Sub(now), 0))
	after := maxReturnShare * remaining
	if ended := service.flow.since(now, refusedTime).ended; ended > 0 {
		ahead := service.refused.get(now, refusedTime) / float64(ended) * float64(refusedTime)
		after = min(max(ahead, minReturnShare*remaining), after)
	}
	return time.Duration(after * (1 - returnJitter*random()))
}

// randomOf returns random, or the default source of random numbers from 0 to 1.
func randomOf(random func() float64) func() float64 {
	if random == nil {
		return rand.Float64
	}
	return random
}
