package forward

import (
	"net/http"
	"time"

	"github.com/hickoryhead/hickoryhead/ident"
	"github.com/hickoryhead/hickoryhead/platform"
	"github.com/hickoryhead/hickoryhead/registry"
)

// recordAnnouncement records what the head of an answer says of the upstream itself, be
// it the answer to this request or not. An answer with 421 may be that of another process
// at the address.
func (exchange *exchange) recordAnnouncement(upstream registry.Upstream, status int, head platform.ResponseHead) {
	if status == http.StatusMisdirectedRequest {
		return
	}
	if head.Leaving {
		exchange.handler.Metrics.CountEvent("answer.leaving")
		exchange.handler.Logger.Warn("Upstream says that it leaves.", "Upstream", upstream.ID, "Incarnation", upstream.Incarnation, "Attempt", exchange.head.Attempt)
		exchange.handler.AnnounceLeaving(upstream.ID, upstream.Incarnation)
	}
	if head.Cold != nil {
		exchange.handler.Quota.Answered(time.Now(), upstream, exchange.sentAt, head.Cold)
	}
	if head.Rest > 0 {
		exchange.handler.Metrics.CountEvent("answer.rest")
		exchange.handler.Logger.Warn("Upstream asks for rest.", "Upstream", upstream.ID, "Incarnation", upstream.Incarnation, "Attempt", exchange.head.Attempt, "RestMs", int64(head.Rest))
		exchange.handler.Quota.Rest(time.Now(), upstream.ID, upstream.Incarnation, head.Rest.Duration())
	}
}

// AnnounceLeaving records that an incarnation of an upstream has said that it leaves: no
// request is sent there any more.
func (handler *Handler) AnnounceLeaving(id ident.UpstreamID, incarnation registry.Incarnation) {
	change, changed := handler.Registry.Announce(time.Now(), id, incarnation)
	if changed && handler.OnAnnounced != nil {
		handler.OnAnnounced(change)
	}
}
