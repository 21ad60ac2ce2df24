package forward

import (
	"context"
	"log/slog"
	"net/http"
	"os"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/hickoryhead/hickoryhead/framing"
	"github.com/hickoryhead/hickoryhead/result"
)

// finish records the metrics and the log line of the request, and breaks the
// caller's connection if the answer is truncated.
func (exchange *exchange) finish() {
	if !exchange.returned {
		exchange.code = result.OutcomeUnknown
	}
	end := exchange.requestEnd()
	exchange.endTrial(exchange.code)
	exchange.handler.Metrics.CountAnswer(exchange.code.Outcome())
	if exchange.route != nil {
		exchange.handler.Metrics.ObserveRequest(exchange.route.Kind.String(), time.Since(exchange.arrived))
	}
	// net/http still has to write the end of the answer.
	exchange.conn.waitForReader(time.Now())
	switch {
	case end.unanswered():
		exchange.logUnanswered(end)
	case refusedForRoom(exchange.code) && len(exchange.tried) == 0 && !exchange.handler.LogLimiter.Allow():
		exchange.handler.Metrics.CountEvent("log.request.omitted")
	case isBodyRefusal(exchange.code) && !exchange.handler.allowBodyLog(time.Now()):
		exchange.handler.Metrics.CountEvent("log.request.omitted")
	case exchange.code != result.OK || len(exchange.tried) > 1:
		exchange.log(slog.LevelWarn, nil)
	case exchange.handler.LogLimiter.Allow():
		exchange.log(slog.LevelInfo, nil)
	default:
		exchange.handler.Metrics.CountEvent("log.request.omitted")
	}
	if exchange.aborted {
		panic(http.ErrAbortHandler)
	}
	if !end.unanswered() && !isBodyRefusal(exchange.code) {
		exchange.conn.awaitWrite(handledRequest{handler: exchange.handler, attempt: exchange.head.Attempt, status: exchange.status, code: exchange.code})
	}
}

// log writes the line of the request, with the attributes of its end if it got no complete answer.
func (exchange *exchange) log(level slog.Level, end []slog.Attr) {
	attributes := []slog.Attr{
		slog.String("Attempt", string(exchange.head.Attempt)),
		slog.Int("Status", exchange.status),
		slog.String("Code", exchange.code.Name()),
		slog.Int64("Ms", time.Since(exchange.arrived).Milliseconds()),
	}
	if exchange.table != nil {
		attributes = append(attributes, slog.Uint64("ConfigVersion", uint64(exchange.table.Version)))
	}
	if exchange.route != nil {
		attributes = append(attributes, slog.String("Route", string(exchange.route.Name)))
	}
	if exchange.workspace != nil {
		attributes = append(attributes, slog.String("Workspace", string(exchange.workspace.ID)))
	}
	if !exchange.firstByte.IsZero() {
		attributes = append(attributes, slog.Int64("FirstMs", exchange.firstByte.Sub(exchange.arrived).Milliseconds()))
	}
	if len(exchange.head.Prompt) > 0 {
		attributes = append(attributes, slog.Int("Prompt", int(promptTokens(exchange.head.Prompt))))
	}
	if exchange.head.TakesUp() {
		attributes = append(attributes, slog.String("TakesUp", string(exchange.head.Resumes)), slog.String("LastEvent", exchange.head.LastEvent))
	}
	attributes = append(attributes, exchange.bindingAttributes()...)
	if len(exchange.tried) > 0 {
		attributes = append(attributes,
			slog.String("Upstream", string(exchange.choice.Upstream.ID)),
			slog.String("Software", string(exchange.choice.Upstream.Software)),
			slog.String("Reason", string(exchange.choice.Reason)),
			slog.Int("Load", exchange.choice.Load.Requests),
			slog.Int("Unread", int(exchange.choice.Load.PendingPrefill)),
			slog.String("Source", string(exchange.choice.Source)),
			slog.Float64("MeanLoad", exchange.choice.Mean),
			slog.Int("Tried", len(exchange.tried)),
			slog.Bool("Started", exchange.started))
	}
	if exchange.choice.Expected > 0 {
		attributes = append(attributes, slog.Int64("ExpectedMs", exchange.choice.Expected.Milliseconds()))
	}
	if exchange.code == result.CrashingRequest || exchange.code == result.CrashingRequestAlone || len(exchange.tried) > 0 && exchange.code != result.OK {
		attributes = append(attributes, slog.String("Fingerprint", exchange.fingerprint().String()), slog.Any("Parts", exchange.partIDs()))
	}
	if refusedForRoom(exchange.code) {
		attributes = append(attributes, exchange.roomAttributes()...)
	}
	if exchange.code == result.RegionNotAllowed {
		attributes = append(attributes, slog.Any("AllowedRegions", exchange.allowed))
	}
	if exchange.refusal.Key != 0 {
		attributes = append(attributes, exchange.refusedPartAttributes()...)
	}
	if exchange.cause != "" {
		attributes = append(attributes, slog.String("Cause", exchange.cause))
	}
	if exchange.callerLeft() {
		attributes = append(attributes, slog.Bool("CallerLeft", true))
	}
	attributes = append(attributes, end...)
	exchange.handler.Logger.LogAttrs(context.Background(), level, "Request finished.", attributes...)
}

// refusedPartAttributes describes the part of the prompt for which the request is refused, if
// it is refused for one.
func (exchange *exchange) refusedPartAttributes() []slog.Attr {
	part := exchange.partID(exchange.refusal.Key)
	if part == "" {
		return nil
	}
	return []slog.Attr{slog.String("Part", part), slog.String("PartFingerprint", exchange.refusal.Key.String())}
}

// markCallerLeft changes the code to CallerLeft if the answer is incomplete
// because the caller disconnected.
func (exchange *exchange) markCallerLeft() {
	if exchange.callerLeft() && exchange.code != result.OK && exchange.code != result.UpstreamFailed {
		exchange.code = result.CallerLeft
	}
}

// logAttempt logs an attempt that did not answer the request.
func (exchange *exchange) logAttempt(code result.Code) {
	standing := exchange.standing()
	exchange.handler.Logger.Warn("Attempt failed.",
		"Attempt", exchange.head.Attempt,
		"Upstream", exchange.choice.Upstream.ID,
		"Reason", exchange.choice.Reason,
		"Load", exchange.choice.Load.Requests,
		"Code", code.Name(),
		"Cause", exchange.cause,
		"Fingerprint", exchange.fingerprint().String(),
		"Parts", exchange.partIDs(),
		"Incarnation", exchange.choice.Upstream.Incarnation,
		"Allowance", standing.Allowance.String(),
		"Crashes", standing.Crashes)
}

// partIDs returns the IDs of the parts of the prompt, in order.
func (exchange *exchange) partIDs() []string {
	ids := make([]string, 0, len(exchange.head.Prompt))
	for _, part := range exchange.head.Prompt {
		ids = append(ids, part.ID)
	}
	return ids
}

// setCause stores the root cause of err for the log. A nil err keeps the
// earlier cause.
func (exchange *exchange) setCause(err error) {
	if err == nil {
		return
	}
	exchange.setCauseText(errors.UnwrapAll(err).Error())
	if errors.Is(err, framing.ErrMalformed) {
		exchange.handler.Metrics.CountEvent("answer.malformed")
	}
	// At its end the router itself closes the connections.
	ended := exchange.handler.ended()
	exchange.broke = connectionBroke(err) && !ended
	exchange.unanswered = errors.Is(err, os.ErrDeadlineExceeded) || ended
}

// setCauseText stores a cause that is no broken connection.
func (exchange *exchange) setCauseText(cause string) {
	exchange.cause = cause
	exchange.broke = false
	exchange.unanswered = false
}

// setUnanswered stores the cause of an attempt that got no answer in time.
func (exchange *exchange) setUnanswered(cause string) {
	exchange.setCauseText(cause)
	exchange.unanswered = true
}

// logResumed logs that another upstream continues a stream behind its last event.
func (exchange *exchange) logResumed(answer *answer, lastEvent string) {
	exchange.handler.Metrics.CountEvent("stream.resumed")
	exchange.handler.Logger.Info("Stream resumed at another upstream.",
		"Attempt", exchange.head.Attempt,
		"LastEvent", lastEvent,
		"Upstream", answer.upstream.ID,
		"Software", answer.upstream.Software,
		"Began", exchange.began.upstream.ID,
		"BeganSoftware", exchange.began.upstream.Software)
}

// bindingAttributes describes how the request is bound to a software version: the
// version, how it is known, and for how long if that is known. For a refused take-up
// they hold the versions that there are.
func (exchange *exchange) bindingAttributes() []slog.Attr {
	var attributes []slog.Attr
	if exchange.binding.bound() {
		attributes = append(attributes,
			slog.String("Version", string(exchange.binding.version)),
			slog.String("VersionSource", string(exchange.binding.source)),
			slog.Int("Cell", exchange.streamKey().Cell()))
	}
	if !exchange.binding.beganAt.IsZero() {
		attributes = append(attributes, slog.Int64("VersionAgeMs", time.Since(exchange.binding.beganAt).Milliseconds()))
	}
	if exchange.code == result.OriginUnknown || exchange.code == result.VersionGone {
		attributes = append(attributes, slog.Int("Cell", exchange.streamKey().Cell()), slog.Any("Versions", exchange.handler.Registry.Versions(exchange.service)))
	}
	return attributes
}
