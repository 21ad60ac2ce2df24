package forward

import (
	"context"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/hickoryhead/hickoryhead/ident"
	"github.com/hickoryhead/hickoryhead/registry"
	"github.com/hickoryhead/hickoryhead/result"
	"github.com/hickoryhead/hickoryhead/routing"
	"github.com/hickoryhead/hickoryhead/split"
	"github.com/hickoryhead/hickoryhead/wait"
)

const (
	// minStreamLifetime and maxStreamLifetime bound the time that a stream is assumed to
	// last at most, take-ups included. The first holds for a router that has just
	// started and has seen no caller; the second keeps one caller from making all
	// take-ups uncertain.
	minStreamLifetime = 10 * time.Second
	maxStreamLifetime = 2 * time.Minute
	// splitPollInterval is the time between two checks of whether the splits were read.
	splitPollInterval = 10 * time.Millisecond
	// rowDelay is the time within which a router knows the row that an upstream writes when it
	// starts, unless the store is away.
	rowDelay        = time.Second
	rowPollInterval = 10 * time.Millisecond
)

// originSource says how the version that began a stream is known.
type originSource string

// The sources.
const (
	// fromSplit means that all routers began the stream's cell at that version.
	fromSplit originSource = "split"
	// fromRouter means that this router began the stream or was notified of it.
	fromRouter originSource = "router"
	// fromAnswer means that the stream began within the same answer.
	fromAnswer originSource = "answer"
	// newStream means that the stream begins now, in a cell of that version.
	newStream originSource = "new"
)

// binding restricts a request to the upstreams of one software version. The zero value
// does not.
type binding struct {
	version ident.SoftwareVersion
	source  originSource
	// beganAt is when the stream began, or zero if that is not known.
	beganAt time.Time
}

// bound reports whether the request may run at upstreams of the version only.
func (binding binding) bound() bool { return binding.source != "" }

// allows reports whether the request may run at an upstream by its software version.
func (binding binding) allows(upstream registry.Upstream) bool {
	return !binding.bound() || upstream.Software == binding.version
}

// takesUp reports whether the request asks for the rest of a stream that another attempt
// began.
func (exchange *exchange) takesUp() bool { return exchange.resumable() && exchange.head.TakesUp() }

// firstAttempt returns the attempt that began the stream which the request takes up, if
// it names one, and its own attempt otherwise. A route with several services has the same
// one for both.
func (exchange *exchange) firstAttempt() ident.AttemptID {
	if exchange.takesUp() && exchange.head.Resumes != "" {
		return exchange.head.Resumes
	}
	return exchange.head.Attempt
}

// resumable reports whether the answer is a stream that may continue at another upstream.
func (exchange *exchange) resumable() bool {
	return exchange.route.Kind == routing.Stream && exchange.route.Resumable
}

// pool returns the upstreams at which the request may run, or nil if there are none.
func (exchange *exchange) pool() *registry.Pool { return exchange.anyRegion().Within(exchange.allowed) }

// anyRegion returns the upstreams at which the request might run if it were not restricted to
// regions, or nil if there are none.
func (exchange *exchange) anyRegion() *registry.Pool {
	if exchange.binding.bound() {
		return exchange.handler.Registry.VersionPool(exchange.service, exchange.binding.version)
	}
	return exchange.handler.Registry.Pool(exchange.service)
}

// bindVersion restricts a stream that may be taken up to one software version: a new one
// to that of its cell, another one to that which began it. It returns OK, or the code
// with which the request is refused.
func (exchange *exchange) bindVersion() result.Code {
	if !exchange.resumable() {
		return result.OK
	}
	exchange.handler.observeLifetime(exchange)
	version, state := exchange.awaitVersion()
	if state == split.Unread {
		return result.NotReady
	}
	if exchange.head.TakesUp() {
		return exchange.bindOrigin()
	}
	exchange.bindNew(version, state)
	return result.OK
}

// bindNew restricts a new stream to the version of its cell, if the split assigns one.
func (exchange *exchange) bindNew(version ident.SoftwareVersion, state split.State) {
	if state == split.Assigned && !exchange.onlyElsewhere(version) {
		exchange.binding = binding{version: version, source: newStream}
	}
}

// onlyElsewhere reports whether a software version has no upstream in the regions to which the
// request is restricted, but another version has. The split counts the upstreams of all
// regions.
func (exchange *exchange) onlyElsewhere(version ident.SoftwareVersion) bool {
	known := exchange.handler.Registry
	return exchange.allowed != nil && known.VersionPool(exchange.service, version).Within(exchange.allowed) == nil &&
		known.Pool(exchange.service).Within(exchange.allowed) != nil
}

// awaitVersion returns the version that begins streams of the request's cell. While the
// splits were not read it waits, as long as awaitTable would.
func (exchange *exchange) awaitVersion() (ident.SoftwareVersion, split.State) {
	splits, key := exchange.handler.Splits, exchange.streamKey()
	version, state := splits.Version(exchange.service, key)
	if state != split.Unread {
		return version, state
	}
	ctx, cancel := context.WithTimeout(exchange.request.Context(), exchange.tableWait())
	defer cancel()
	for state == split.Unread && wait.Sleep(ctx, splitPollInterval) {
		version, state = splits.Version(exchange.service, key)
	}
	return version, state
}

// bindOrigin restricts a take-up to the version that began its stream.
func (exchange *exchange) bindOrigin() result.Code {
	if exchange.bindRemembered() {
		return result.OK
	}
	if origin, found := exchange.handler.Origins.Get(exchange.head.Resumes); found && origin.Version == "" {
		return result.OriginUnknown
	}
	if exchange.bindCell() {
		return result.OK
	}
	if exchange.head.Resumes != "" && exchange.handler.FetchOrigin != nil {
		exchange.handler.FetchOrigin(exchange.request.Context(), exchange.head.Resumes)
		if exchange.bindRemembered() {
			return result.OK
		}
	}
	return result.OriginUnknown
}

// bindCell restricts a take-up to the version of its cell if all routers certainly began
// the stream there, and reports whether they did. One that is restricted to regions may have
// begun elsewhere than its cell says. That takes a read of the splits: others
// may have adopted a newer one than this router knows.
func (exchange *exchange) bindCell() bool {
	handler := exchange.handler
	if exchange.allowed != nil || handler.RefreshSplits == nil || !handler.RefreshSplits(exchange.request.Context()) {
		return false
	}
	version, certainAt, certain := handler.Splits.Began(time.Now(), exchange.service, exchange.streamKey(), handler.streamLifetime(exchange.service))
	if certain {
		exchange.binding = binding{version: version, source: fromSplit}
		return true
	}
	if certainAt.Before(exchange.callerDeadline) {
		exchange.certainAt = certainAt
	}
	return false
}

// bindRemembered restricts a take-up to the version that this router knows from the
// attempt that began the stream, and reports whether it knows it.
func (exchange *exchange) bindRemembered() bool {
	origin, found := exchange.handler.Origins.Get(exchange.head.Resumes)
	if !found || origin.Version == "" || origin.Workspace != exchange.workspaceID() || origin.Service != exchange.service {
		return false
	}
	exchange.binding = binding{version: origin.Version, source: fromRouter, beganAt: origin.BeganAt}
	return true
}

// streamKey returns what a stream and the requests that take it up have in common: the
// part of the prompt that is the request's own, or else the request itself.
func (exchange *exchange) streamKey() split.Key {
	parts := exchange.head.Prompt
	if len(parts) == 0 {
		return split.Key(exchange.fingerprint())
	}
	return split.Key(xxhash.Sum64String(strings.ToLower(parts[len(parts)-1].ID)))
}

// recordOrigin records, before the first event of a stream is written to the caller, the
// version that it comes from. Other routers are notified if their split doesn't say so.
func (exchange *exchange) recordOrigin(first *answer) {
	exchange.began = first
	if !exchange.resumable() {
		return
	}
	now := time.Now()
	version := first.upstream.Software
	if !exchange.takesUp() {
		exchange.binding = binding{version: version, source: fromAnswer, beganAt: now}
	}
	origin := split.Origin{Attempt: exchange.head.Attempt, Service: exchange.service, Version: version, Workspace: exchange.workspaceID(), BeganAt: now}
	exchange.handler.Origins.Add(now, origin)
	known, _, certain := exchange.handler.Splits.Began(now, exchange.service, exchange.streamKey(), exchange.handler.streamLifetime(exchange.service))
	if exchange.handler.ReplicateOrigin != nil {
		exchange.handler.ReplicateOrigin(origin, certain && known == version && exchange.allowed == nil)
	}
}

// awaitRow waits, before a stream that broke at its first upstream goes on, until the row of the process
// that began it is known: the process may have followed another one just before the connection was
// opened. It does not wait if that process said which one it is, or if it had to be known before.
func (exchange *exchange) awaitRow(broken *answer) {
	if !exchange.beganUnproven(broken) || broken.upstream.Incarnation == 0 {
		return
	}
	known := broken.conn.OpenedAt.Add(rowDelay)
	if !time.Now().Before(known) {
		return
	}
	exchange.handler.Metrics.CountEvent("origin.awaited")
	ctx, cancel := context.WithDeadline(exchange.request.Context(), earlier(known, exchange.deadline))
	defer cancel()
	for {
		if _, found := exchange.successor(broken.upstream); found || !wait.Sleep(ctx, rowPollInterval) {
			return
		}
	}
}

// beganUnproven reports whether an answer that broke began the stream, which may continue elsewhere,
// and its process had not said which one it is.
func (exchange *exchange) beganUnproven(broken *answer) bool {
	return exchange.began == broken && exchange.resumable() && !broken.conn.Verified
}

// successor returns the other incarnation that an upstream is listed as, and reports whether it is.
func (exchange *exchange) successor(upstream registry.Upstream) (registry.Upstream, bool) {
	listed, found := exchange.handler.Registry.Upstream(upstream.ID)
	return listed, found && listed.Incarnation != upstream.Incarnation
}

// originRefuted reports whether the first events of a stream, which broke at its first
// upstream, may come from another software version than the upstream's row named when the
// stream began: the upstream is listed as another incarnation, with another version, since
// before the stream broke. A router that had no connection open when the upstream
// restarted learns that from its row only.
func (exchange *exchange) originRefuted(broken *answer) bool {
	if !exchange.beganUnproven(broken) {
		return false
	}
	listed, found := exchange.successor(broken.upstream)
	return found && listed.Software != broken.upstream.Software
}

// refuteOrigin records, here and at other routers, that the version which began the stream
// is not known after all: an attempt with two different origins has none.
func (exchange *exchange) refuteOrigin(broken *answer) {
	now := time.Now()
	listed, _ := exchange.handler.Registry.Upstream(broken.upstream.ID)
	exchange.handler.Metrics.CountEvent("origin.refuted")
	exchange.handler.Logger.Warn("Stream not resumed, its upstream restarted with another version.",
		"Attempt", exchange.head.Attempt, "Upstream", broken.upstream.ID, "BeganSoftware", broken.upstream.Software, "Software", listed.Software)
	origin := split.Origin{Attempt: exchange.head.Attempt, Service: exchange.service, Version: listed.Software, Workspace: exchange.workspaceID(), BeganAt: now}
	exchange.handler.Origins.Add(now, origin)
	if exchange.handler.ReplicateOrigin != nil {
		exchange.handler.ReplicateOrigin(origin, false)
	}
}

// observeLifetime records how long the streams of a service may last: as long as a
// caller waits.
func (handler *Handler) observeLifetime(exchange *exchange) {
	handler.mu.Lock()
	defer handler.mu.Unlock()
	if handler.streamLifetimes == nil {
		handler.streamLifetimes = make(map[ident.ServiceName]time.Duration)
	}
	longest := max(exchange.table.StreamTimeouts()[exchange.service].Duration(), exchange.callerDeadline.Sub(exchange.arrived), minStreamLifetime)
	handler.streamLifetimes[exchange.service] = min(max(handler.streamLifetimes[exchange.service], longest), maxStreamLifetime)
}

// streamLifetime returns the longest time that a stream of the service may last.
func (handler *Handler) streamLifetime(service ident.ServiceName) time.Duration {
	handler.mu.Lock()
	defer handler.mu.Unlock()
	return max(handler.streamLifetimes[service], minStreamLifetime)
}
