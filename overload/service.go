package overload

import (
	"math/rand/v2"
	"time"

	"github.com/hickoryhead/hickoryhead/balance"
	"github.com/hickoryhead/hickoryhead/ident"
)

const (
	// A pool is short of room from shortUsage on, and until stillShortUsage while requests are
	// refused.
	shortUsage      = 0.7
	stillShortUsage = 0.4
	// maxReturnShare is the part of their remaining time up to which callers honour
	// Retry-After. Within minReturnShare a shortage rarely ends, and callers return once.
	maxReturnShare = 0.3
	minReturnShare = 0.15
	// returnJitter is the part by which Retry-After varies.
	returnJitter = 0.2
	// pressureTime is the time constant of the share of requests that are refused.
	pressureTime = time.Second
	// rateTime is the time over which the rate of requests that end is taken.
	rateTime = 2 * time.Second
	// maxReturnAhead limits how far ahead the returns of refused callers are planned.
	maxReturnAhead = 10 * time.Second
	// smoothing is the weight of a new sample of what is learned.
	smoothing = 0.1
	// memoryWeight is the number of requests in flight at which the mean of these counts
	// as much as the mean of all that were sent: a few are a small sample.
	memoryWeight = 4
	// maxMemoryFactor limits the memory with which a request counts to that many times the
	// mean: callers state the lengths of their answers.
	maxMemoryFactor = 4
	// defaultPrefillRate is the assumed prefill rate in tokens per millisecond.
	defaultPrefillRate = balance.PrefillTokensPerMs
)

// service is what is known of the requests of one service.
type service struct {
	flow     flow
	fairness fairness
	// inFlight and memory are the requests of this router in flight and their memory,
	// and meanMemory is the mean of those that were sent.
	inFlight   int
	memory     ident.Tokens
	meanMemory float64
	// serviceTime is how long a request takes a slot.
	serviceTime time.Duration
}

// estimates returns what is known of the requests of a service. The caller holds mu.
func (controller *Controller) estimates(state *service) estimates {
	known := estimates{prefillRate: controller.prefillRate, serviceTime: state.serviceTime}
	known.memory = (float64(state.memory) + memoryWeight*state.meanMemory) / float64(state.inFlight+memoryWeight)
	return known
}

// randomOf returns random, or the default source of random numbers from 0 to 1.
func randomOf(random func() float64) func() float64 {
	if random == nil {
		return rand.Float64
	}
	return random
}

// estimates are what a router has learned about the requests of a service.
type estimates struct {
	// prefillRate is the prefill rate of each upstream in tokens per millisecond.
	prefillRate func(upstream ident.UpstreamID) float64
	// memory is the mean memory of a request in flight.
	memory float64
	// serviceTime is how long a slot is taken by a request, or zero if that is not known.
	serviceTime time.Duration
}
