package forward

import (
	"context"
	"net"
	"net/http"
	"os"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/hickoryhead/hickoryhead/balance"
	"github.com/hickoryhead/hickoryhead/health"
	"github.com/hickoryhead/hickoryhead/http1"
	"github.com/hickoryhead/hickoryhead/ident"
	"github.com/hickoryhead/hickoryhead/platform"
	"github.com/hickoryhead/hickoryhead/registry"
	"github.com/hickoryhead/hickoryhead/result"
)

const (
	// minAttemptTime is the least remaining time with which a request is sent
	// to an upstream.
	minAttemptTime = 2 * time.Millisecond
	// maxStrayAnswers limits the answers to other requests that are skipped on
	// one connection.
	maxStrayAnswers = 4
	// maxIdleNonRetryable is the longest idle time of a connection that may
	// carry a request which must not run twice: an older connection may have
	// been dropped without notice.
	maxIdleNonRetryable = 1500 * time.Millisecond
	// maxIdleRetryable is long enough that only the idle timeout stated by the
	// upstream applies.
	maxIdleRetryable = time.Hour
	// noResponseTargetFactor is how many times the latency target of its route
	// a request may wait for its first byte before that counts as a failure of
	// the upstream.
	noResponseTargetFactor = 3
	// minNoResponseTimeout is the shortest wait that counts as a failure.
	minNoResponseTimeout = 400 * time.Millisecond
)

// answer is an answer of an upstream whose head was read and whose body is
// still to be read.
type answer struct {
	upstream registry.Upstream
	conn     *http1.Conn
	response *http.Response
	head     platform.ResponseHead
	// stopWatch ends the watch that closes the connection when the caller
	// leaves. It returns false if the caller has already left.
	stopWatch func() bool
	// stopEnd ends the watch that closes the connection when the router has to end.
	stopEnd func() bool
	loads   *balance.Loads
	// countEnd counts the end of the request, and whether it was answered completely and without
	// an error.
	countEnd func(answered bool)
	// pendingPrefill is the number of prompt tokens that the upstream has to
	// prefill before its first byte.
	pendingPrefill ident.Tokens
	// progress is what costs are learned from, or nil.
	progress *progress
	// released is set once another request may have got the connection, and sentInPart if the
	// request was still being sent then.
	released, sentInPart bool
}

// prefillDone records that the upstream has prefilled the prompt.
func (answer *answer) prefillDone() {
	answer.loads.PrefillDone(answer.upstream.ID, answer.pendingPrefill)
	answer.pendingPrefill = 0
}

// endsWithConnection reports whether the answer has neither a length nor chunks.
func (answer *answer) endsWithConnection() bool {
	return answer.response.ContentLength < 0 && len(answer.response.TransferEncoding) == 0
}

// release returns the connection to its pool after the body was read to its
// end.
func (answer *answer) release() {
	answer.released, answer.sentInPart = true, answer.conn.Sending()
	answer.endLoad()
	answer.countEnd(answer.response.StatusCode < http.StatusBadRequest)
	if ended := !answer.stopEnd(); !answer.stopWatch() || ended {
		answer.conn.Discard()
		return
	}
	answer.conn.Release(answer.response.Body, http1.KeepAlive(answer.response.Header))
}

// sending reports whether the request is still being sent, and its body in use.
func (answer *answer) sending() bool {
	if answer.released {
		return answer.sentInPart
	}
	return answer.conn.Sending()
}

// endLoad records that the upstream no longer has the request.
func (answer *answer) endLoad() {
	answer.loads.End(answer.upstream.ID, answer.pendingPrefill)
	answer.progress.end()
}

// fail closes the connection, which broke or not.
func (answer *answer) fail(broke bool) {
	if broke {
		answer.conn.RecordBreak()
	}
	answer.discard()
}

// discard closes the connection, which cancels the work at the upstream.
func (answer *answer) discard() {
	answer.endLoad()
	answer.countEnd(false)
	answer.stopWatch()
	answer.stopEnd()
	answer.conn.Discard()
}

// attempt sends the request to the chosen upstream and reads the head of the answer.
// The code is OK, or says whether the request may have run there. A non-empty
// lastEvent asks for the rest of a stream after that event. If the zone of the upstream was
// evacuated since the choice, or the upstream became cold, another one is chosen.
func (exchange *exchange) attempt(lastEvent string) (*answer, result.Code) {
	for {
		answer, code := exchange.send(exchange.choice.Upstream, lastEvent)
		exchange.endTrial(code)
		event := ""
		switch code {
		case result.ZonesEvacuated:
			event = "evacuation.rechosen"
		case result.UpstreamsCold:
			event = "cold.rechosen"
		default:
			return answer, code
		}
		exchange.withdrawn++
		if _, found := exchange.chooseNext(); !found {
			return nil, code
		}
		exchange.handler.Metrics.CountEvent(event)
	}
}

// send does the work of attempt.
func (exchange *exchange) send(upstream registry.Upstream, lastEvent string) (*answer, result.Code) {
	connectingAt := time.Now()
	conn, err := exchange.connect(upstream)
	if err != nil {
		exchange.setCause(err)
		if !exchange.callerLeft() && !errors.Is(err, http1.ErrFull) {
			if !isTimeout(err) || time.Since(connectingAt) >= dialTimeout {
				exchange.handler.Quota.Failed(time.Now(), upstream, connectingAt)
			}
			exchange.handler.recordOutcome(upstream, health.Unreachable)
		}
		return nil, result.UpstreamUnreachable
	}
	if exchange.evacuated(upstream) {
		return nil, exchange.withdraw(conn)
	}
	if conn, err = exchange.proveIdentity(upstream, conn); err != nil {
		if !errors.Is(err, os.ErrDeadlineExceeded) && !exchange.callerLeft() && !exchange.handler.ended() {
			exchange.handler.Quota.Failed(time.Now(), upstream, connectingAt)
		}
		exchange.setCause(err)
		return nil, result.UpstreamUnreachable
	}
	if exchange.evacuated(upstream) {
		return nil, exchange.withdraw(conn)
	}
	if now, listed := time.Now(), exchange.latest(upstream); !exchange.handler.Quota.MaySend(now, listed, exchange.takenAt) {
		// It was found to have ended while the connection was opened. A refused request
		// may return when the first of those that it was withdrawn from takes one.
		at := exchange.handler.Quota.NextAt(now, listed)
		if exchange.limitedAt.IsZero() || at.Before(exchange.limitedAt) {
			exchange.limitedAt = at
		}
		exchange.setCauseText("the upstream became cold")
		conn.Discard()
		return nil, result.UpstreamsCold
	}
	remaining := time.Until(exchange.deadline)
	if remaining < minAttemptTime {
		conn.Discard()
		return nil, result.DeadlineUnmeetable
	}
	answer := &answer{upstream: upstream, conn: conn, loads: exchange.handler.Loads, pendingPrefill: exchange.pendingPrefill()}
	closing := func() { _ = conn.Close() }
	answer.stopWatch = context.AfterFunc(exchange.request.Context(), closing)
	answer.stopEnd = exchange.handler.closeAtEnd(closing)
	answer.progress = exchange.newProgress(answer, lastEvent)
	exchange.handler.Loads.Start(upstream.ID, answer.pendingPrefill)
	answer.countEnd = exchange.countRoom(upstream, answer.pendingPrefill)
	for _, key := range exchange.prefixIDs {
		exchange.handler.CacheIndex.RecordLocal(time.Now(), balance.CacheUpdate{Key: key, Upstream: upstream.ID})
	}
	exchange.sentAt, exchange.connectedAt = time.Now(), conn.OpenedAt
	code := exchange.roundTrip(answer, remaining, lastEvent)
	exchange.handler.Metrics.ObserveAttempt(time.Since(exchange.sentAt))
	if code != result.OK {
		exchange.recordFailure(upstream, code)
		if exchange.unanswered {
			conn.RecordSilence(exchange.sentAt)
		}
		answer.fail(exchange.broke)
		return nil, code
	}
	return answer, result.OK
}

// isTimeout reports whether an attempt to connect ended for lack of time. One that had less
// than dialTimeout, since the deadline of its request is earlier, says nothing about the
// upstream.
func isTimeout(err error) bool {
	var timeout net.Error
	return errors.As(err, &timeout) && timeout.Timeout()
}

// evacuated reports whether the zone of an upstream is evacuated, by what the router knows now.
func (exchange *exchange) evacuated(upstream registry.Upstream) bool {
	exchange.awaitCurrent()
	return exchange.handler.Registry.Evacuated(upstream.Zone)
}

// latest returns the successor of the chosen upstream, or the upstream itself if there is none.
func (exchange *exchange) latest(upstream registry.Upstream) registry.Upstream {
	if listed, found := exchange.successor(upstream); found {
		return listed
	}
	return upstream
}

// awaitCurrent waits, behind a pause of the process, until what the router knows is current.
func (exchange *exchange) awaitCurrent() {
	if exchange.handler.AwaitCurrent != nil {
		exchange.handler.AwaitCurrent(exchange.request.Context())
	}
}

// withdraw gives up an attempt before anything of the request was sent, since the zone of the
// upstream is evacuated.
func (exchange *exchange) withdraw(conn *http1.Conn) result.Code {
	exchange.setCauseText("zone evacuated since the choice")
	conn.Discard()
	return result.ZonesEvacuated
}

// pendingPrefill returns how many prompt tokens the chosen upstream has to
// prefill: only the request's own part if the upstream has the shared prefix
// cached or fetches it from another one.
func (exchange *exchange) pendingPrefill() ident.Tokens {
	if len(exchange.head.Prompt) == 0 {
		return 0
	}
	own := ownTokens(exchange.head.Prompt)
	if exchange.choice.Reason == balance.CacheHit || exchange.choice.Source != "" {
		return own
	}
	return promptTokens(exchange.head.Prompt)
}

// ownTokens returns the length of the last part of a prompt, which is the request's own.
func ownTokens(parts []platform.PromptPart) ident.Tokens {
	if len(parts) == 0 {
		return 0
	}
	return parts[len(parts)-1].Tokens
}

// promptTokens returns the length of a prompt in tokens.
func promptTokens(parts []platform.PromptPart) ident.Tokens {
	var tokens ident.Tokens
	for _, part := range parts {
		tokens += part.Tokens
	}
	return tokens
}

func (exchange *exchange) connect(upstream registry.Upstream) (*http1.Conn, error) {
	ctx, cancel := context.WithDeadline(exchange.request.Context(), exchange.deadline)
	defer cancel()
	maxIdle := maxIdleNonRetryable
	if exchange.route.Retryable() {
		maxIdle = maxIdleRetryable
	}
	limit := 0
	if service, found := exchange.table.Service(exchange.service); found {
		limit = connectionLimit(service.MaxConnections, exchange.handler.Routers())
	}
	return exchange.handler.Connections.Pool(upstream).Get(ctx, limit, maxIdle)
}

// connectionLimit returns how many connections this router may open to an
// upstream that accepts total of them; zero means no limit. A router may exceed
// its even share by half, since the load of routers is uneven, and a tenth is
// left to routers that are not known yet.
func connectionLimit(total, routers int) int {
	if total <= 0 {
		return 0
	}
	return max(min(total*3/(2*max(routers, 1)), total*9/10), 2)
}

// roundTrip sends the request on the connection of answer and reads the head of
// the response into answer.
func (exchange *exchange) roundTrip(answer *answer, remaining time.Duration, lastEvent string) result.Code {
	if err := answer.conn.SetWriteDeadline(exchange.deadline); err != nil {
		exchange.setCause(err)
		return result.UpstreamUnreachable
	}
	request := &http1.Request{
		Method: exchange.request.Method,
		Target: exchange.target(),
		Host:   exchange.request.Host,
		Header: platform.EncodeRequest(exchange.request.Header, exchange.forwarding(answer.upstream, remaining, lastEvent)),
		Body:   exchange.body,
	}
	if err := answer.conn.Send(request); err != nil {
		return exchange.failureCode(err)
	}
	return exchange.receiveHead(answer)
}

func (exchange *exchange) forwarding(upstream registry.Upstream, remaining time.Duration, lastEvent string) platform.Forwarding {
	forwarding := platform.Forwarding{
		Upstream:    upstream.ID,
		Wait:        ident.Milliseconds(max(remaining.Milliseconds(), 1)),
		Priority:    exchange.priority(),
		Workspace:   exchange.workspaceID(),
		Prioritized: exchange.route.Sticky,
		LastEvent:   lastEvent,
	}
	if source, listed := exchange.handler.Registry.Upstream(exchange.choice.Source); listed && exchange.mayFetch(source.ID) {
		forwarding.FetchFrom = source.Address
	}
	return forwarding
}
