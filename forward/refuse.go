package forward

import (
	"math/rand/v2"
	"net/http"
	"slices"
	"time"

	"github.com/hickoryhead/hickoryhead/registry"
	"github.com/hickoryhead/hickoryhead/result"
	"github.com/hickoryhead/hickoryhead/strike"
	"github.com/hickoryhead/hickoryhead/wait"
)

const (
	// notReadyRetryAfter is the Retry-After of a router without a
	// configuration.
	notReadyRetryAfter = 300 * time.Millisecond
	// maxCrashingRetryAfter limits the Retry-After of a request that crashes
	// upstreams: its strikes may be withdrawn before they lapse.
	maxCrashingRetryAfter = time.Minute
	// minPostponement is the least Retry-After of a request that may run alone only.
	minPostponement = 300 * time.Millisecond
)

// noChoiceCode returns the code of a request for which there is no upstream.
func (exchange *exchange) noChoiceCode(pool *registry.Pool) result.Code {
	if exchange.postponed {
		return result.CrashingRequestAlone
	}
	if exchange.standing().Allowance == strike.Refused {
		return result.CrashingRequest
	}
	until, code := exchange.limitedUntil(pool)
	if withdrawn := exchange.limitedAt; pool != nil && !withdrawn.IsZero() && (until.IsZero() || withdrawn.Before(until)) {
		return result.UpstreamsCold
	}
	if !until.IsZero() {
		exchange.limitedAt = until
		return code
	}
	if pool == nil {
		if code := exchange.noPoolCode(); code != result.OK {
			return code
		}
	}
	if exchange.takesUp() && pool == nil {
		return result.VersionGone
	}
	return result.NoUpstream
}

// noPoolCode returns the code of a request for which the pool is empty because of evacuated
// zones or of the regions to which it is restricted, and OK if neither is the reason.
func (exchange *exchange) noPoolCode() result.Code {
	known := exchange.handler.Registry
	withheld := slices.DeleteFunc(slices.Clone(known.Withheld(exchange.service)), func(upstream registry.Upstream) bool {
		return exchange.binding.bound() && upstream.Software != exchange.binding.version
	})
	inRegions := func(upstream registry.Upstream) bool {
		return registry.InRegions(known.Region(upstream.Zone), exchange.allowed)
	}
	switch {
	case slices.ContainsFunc(withheld, inRegions):
		return result.ZonesEvacuated
	case len(withheld) > 0 || exchange.anyRegion() != nil:
		return result.RegionNotAllowed
	}
	return result.OK
}

// abandon refuses a request that no upstream served. If an earlier attempt may
// have run, the code does not claim that the request did not run.
func (exchange *exchange) abandon(code result.Code) {
	if exchange.runs > 0 && code.Outcome() == result.NotRun {
		code = result.OutcomeUnknown
	}
	exchange.refuse(code)
}

// refuse answers the caller with code instead of an upstream's answer.
func (exchange *exchange) refuse(code result.Code) {
	exchange.code = code
	exchange.status = refusalStatus(code)
	exchange.started = true
	exchange.handler.Metrics.CountRefusal(code)
	retryAfter := time.Duration(0)
	switch {
	case code == result.NotReady:
		retryAfter = notReadyRetryAfter
	case code == result.RouterStopping:
		retryAfter = stopRetryAfter
	case code == result.CrashingRequest:
		exchange.refusal = exchange.handler.Strikes.Refusal(time.Now(), exchange.suspect())
		retryAfter = spreadAfter(min(max(time.Until(exchange.refusal.Until), exchange.postponement()), maxCrashingRetryAfter))
	case code == result.CrashingRequestAlone:
		retryAfter = spreadAfter(exchange.postponement())
	case code == result.VersionGone:
		// The version is not known to return.
	case code == result.OriginUnknown:
		retryAfter = max(time.Until(exchange.certainAt), 0)
	case code == result.UpstreamsResting:
		retryAfter = spreadAfter(time.Until(exchange.limitedAt))
	case code == result.UpstreamsCold:
		// Not earlier than the next request is possible, and not all at once.
		retryAfter = max(time.Until(exchange.limitedAt), minRetryAfter)
		retryAfter += rand.N(retryAfter)
	case code == result.UpstreamsAtLimit:
		retryAfter = max(wait.Jitter(time.Until(exchange.limitedAt)), minRetryAfter)
	case code.Status() == http.StatusServiceUnavailable:
		retryAfter = jitteredRetryAfter(time.Until(exchange.callerDeadline))
	}
	exchange.boundRefusal()
	if !lingers(code) {
		exchange.handler.writeCode(exchange.writer, code, retryAfter)
		return
	}
	if code == result.MemoryFull {
		exchange.handler.reportFull(time.Now())
	}
	exchange.prepareToLinger()
	exchange.handler.writeCode(exchange.writer, code, retryAfter)
	exchange.linger()
}

// postponement returns how long a request that may run alone only has to wait at least.
func (exchange *exchange) postponement() time.Duration {
	return max(time.Until(exchange.postponedUntil), minPostponement)
}
