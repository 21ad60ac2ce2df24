package forward

import (
	"slices"
	"time"

	"github.com/hickoryhead/hickoryhead/registry"
	"github.com/hickoryhead/hickoryhead/result"
)

// recordLimit records the limit that an answer of the upstream names. Only a signed
// answer shows by its silence that the limit is gone.
func (exchange *exchange) recordLimit(answer *answer) {
	limit := answer.head.Limit
	if limit == nil && !answer.head.Signed {
		return
	}
	if limit != nil {
		exchange.handler.Metrics.CountEvent("answer.limited")
	}
	upstream := answer.upstream
	if !exchange.handler.Quota.Observe(time.Now(), upstream.ID, upstream.Incarnation, limit, exchange.sentAt) {
		return
	}
	if limit == nil {
		exchange.handler.Metrics.CountEvent("limit.lifted")
		exchange.handler.Logger.Info("Upstream names no limit any more.", "Upstream", upstream.ID, "Incarnation", upstream.Incarnation)
		return
	}
	exchange.handler.Metrics.CountEvent("limit.named")
	exchange.handler.Logger.Warn("Upstream named a limit.", "Upstream", upstream.ID, "Incarnation", upstream.Incarnation, "PerSecond", *limit)
}

// belowLimit returns the upstreams whose limits leave this router a request now.
func (exchange *exchange) belowLimit(upstreams []registry.Upstream) []registry.Upstream {
	now := time.Now()
	return slices.DeleteFunc(slices.Clone(upstreams), func(upstream registry.Upstream) bool {
		return exchange.handler.Quota.State(now, upstream).LeavesNone()
	})
}

// limitedUntil returns when the first of the upstreams that were not tried and are at
// their limit, rest, or are cold, takes a request again, and the code that says which of
// these it is. It returns the zero time if there are none.
func (exchange *exchange) limitedUntil(pool *registry.Pool) (earliest time.Time, code result.Code) {
	if pool == nil {
		return time.Time{}, result.NoUpstream
	}
	now := time.Now()
	for _, upstream := range pool.Upstreams {
		at := exchange.handler.Quota.NextAt(now, upstream)
		if at.IsZero() || slices.Contains(exchange.tried, upstream.ID) {
			continue
		}
		if earliest.IsZero() || at.Before(earliest) {
			earliest = at
			code = exchange.limitCode(now, upstream)
		}
	}
	return earliest, code
}

// limitCode returns why an upstream takes no request now.
func (exchange *exchange) limitCode(now time.Time, upstream registry.Upstream) result.Code {
	if !exchange.handler.Quota.RestsUntil(now, upstream).IsZero() {
		return result.UpstreamsResting
	}
	if _, cold := exchange.handler.Quota.ColdUntil(now, upstream); cold {
		return result.UpstreamsCold
	}
	return result.UpstreamsAtLimit
}
