package forward

import (
	"math/rand/v2"
	"net/http"
	"slices"
	"time"

	"github.com/hickoryhead/hickoryhead/memory"
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

// noChoiceCode returns the code of a request for which there is no upstream, and sets limitedAt
// if one takes the request later.
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
		return !exchange.binding.allows(upstream)
	})
	switch {
	case slices.ContainsFunc(withheld, exchange.inRegions):
		return result.ZonesEvacuated
	case len(withheld) > 0 || exchange.anyRegion() != nil:
		return result.RegionNotAllowed
	}
	return result.OK
}

// inRegions reports whether an upstream is in the regions to which the request is restricted.
func (exchange *exchange) inRegions(upstream registry.Upstream) bool {
	return registry.InRegions(exchange.handler.Registry.Region(upstream.Zone), exchange.allowed)
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
	retryAfter := exchange.retryAfterRoom(code)
	switch {
	case retryAfter > 0:
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

// CountHeadWithoutRoom counts and logs a request that a Listener refused because there was no
// memory for its head.
func (handler *Handler) CountHeadWithoutRoom() {
	handler.Metrics.CountRefusal(result.MemoryFull)
	handler.Metrics.CountAnswer(result.MemoryFull.Outcome())
	handler.reportFull(time.Now())
}

// boundRefusal bounds how long the caller of a refused request may take to read its answer,
// and to send a body that was not read: net/http reads some of it to keep the connection.
func (exchange *exchange) boundRefusal() {
	controller := http.NewResponseController(exchange.writer)
	until := time.Now().Add(memory.MaxStall)
	err := controller.SetWriteDeadline(until)
	if err == nil && exchange.request.ContentLength != 0 && exchange.body == nil {
		err = controller.SetReadDeadline(until)
	}
	if err != nil {
		exchange.handler.Logger.Debug("Could not bound the time of a refusal.", "Error", err)
	}
}

// bodyLogLinesPerSecond bounds the log lines of requests that were refused because of their
// bodies or heads.
const bodyLogLinesPerSecond = 20

// isBodyRefusal reports whether a request was refused with code because of its body or its
// head, as crowds of clients bring it about.
func isBodyRefusal(code result.Code) bool {
	switch code {
	case result.MemoryFull, result.BodyTooSlow, result.BodyTooLarge, result.MalformedBody, result.HeadTooLarge:
		return true
	}
	return false
}

// allowBodyLog reports whether one more request that was refused because of its body may be
// logged in this second.
func (handler *Handler) allowBodyLog(now time.Time) bool {
	handler.bodyLogMu.Lock()
	defer handler.bodyLogMu.Unlock()
	if now.Sub(handler.bodyLogFrom) >= time.Second {
		handler.bodyLogFrom, handler.bodyLogLines = now, 0
	}
	handler.bodyLogLines++
	return handler.bodyLogLines <= bodyLogLinesPerSecond
}

// reportFull logs, at most once a second, that requests are refused because the
// memory account is full.
func (handler *Handler) reportFull(now time.Time) {
	if refusals, due := handler.fullLog.Add(now); due {
		handler.Logger.Warn("Memory for bodies and answers is full.", "HeldBytes", handler.Memory.Held(), "HeldLimit", handler.Memory.Limit, "Unfinished", handler.Memory.Unfinished(), "RefusedCount", refusals)
	}
}
