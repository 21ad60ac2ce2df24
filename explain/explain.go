package explain

import (
	"cmp"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"time"
)

// contextWindow is how long before the arrival of a request the events of its
// router are included in the report.
const contextWindow = 5 * time.Second

// Log holds the log lines of any number of processes. The zero value is empty.
// It is not safe for concurrent use.
type Log struct {
	lines  []Line
	sorted bool
}

// Add adds the log line in text, and ignores text that contains none.
func (log *Log) Add(text []byte) {
	if line, ok := Parse(text); ok {
		log.lines = append(log.lines, line)
		log.sorted = false
	}
}

// Len returns the number of log lines added.
func (log *Log) Len() int { return len(log.lines) }

// sort orders the lines by time.
func (log *Log) sort() {
	if !log.sorted {
		slices.SortStableFunc(log.lines, func(a, b Line) int { return a.Time.Compare(b.Time) })
		log.sorted = true
	}
}

// WriteRequest writes the log lines of the request with the attempt ID id in
// order of time. Before the line of its end it writes the related events of its
// router and the strikes of the request at all routers, and after it the likely
// cause. It reports whether any line mentions the request.
func (log *Log) WriteRequest(out io.Writer, id string) bool {
	log.sort()
	found := false
	for _, line := range log.lines {
		if line.Attempt != id || isStrike(line) {
			continue
		}
		found = true
		if line.Message == requestFinished {
			log.writeContext(out, line)
			log.writeStrikes(out, line)
			log.writeLimits(out, line)
			log.writeEvacuations(out, line)
			log.writeOrigin(out, line)
		}
		writeLine(out, line)
		if line.Message == answerUnwritten || line.Message == requestFinished && !log.isUnwritten(id) {
			fmt.Fprintf(out, "cause: %s\n", Cause(line))
		}
	}
	return found
}

// isUnwritten reports whether the answer to the attempt id could not be written: the line of that
// names the cause.
func (log *Log) isUnwritten(id string) bool {
	return slices.ContainsFunc(log.lines, func(line Line) bool { return line.Attempt == id && line.Message == answerUnwritten })
}

// writeContext writes the events that the router of the request logged about
// its upstream, the store and the configuration, from contextWindow before the
// request arrived until it ended.
func (log *Log) writeContext(out io.Writer, request Line) {
	start := request.Time.Add(-time.Duration(request.Ms)*time.Millisecond - contextWindow)
	for _, line := range log.lines {
		if line.VM != request.VM || line.Time.Before(start) || line.Time.After(request.Time) {
			continue
		}
		sameUpstream := line.Upstream != "" && line.Upstream == request.Upstream
		switch {
		case sameUpstream && (line.Message == upstreamEjected || line.Message == upstreamChanged || line.Message == upstreamKept || line.Message == rowOutdated || line.Message == leavingSaid),
			request.Code == "UpstreamsResting" && line.Message == restAsked,
			line.Message == shortageBegan, line.Message == shortageEnded,
			(sameUpstream || request.Code == "UpstreamsCold") && isCold(line),
			request.Code == "MemoryFull" && line.Message == memoryFull,
			request.Tried == 0 && line.Message == connsAtBound,
			request.EndReason != "" && (line.Message == connsAtBound || line.Message == routerPaused),
			line.Message == storeUnreachable, line.Message == storeSilent, line.Message == configInForce:
			writeLine(out, line)
		}
	}
}

func isCold(line Line) bool {
	return line.Message == coldBegan || line.Message == coldExpected || line.Message == coldEnded
}

func isStrike(line Line) bool {
	return line.Message == strikeCounted || line.Message == strikeWithdrawn || line.Message == strikeCleared
}

// writeStrikes writes what routers saw themselves of the strikes of a request, under
// any of its attempts, or of the part for which it was refused, until the line of its
// end.
func (log *Log) writeStrikes(out io.Writer, request Line) {
	if request.Fingerprint == "" {
		return
	}
	fingerprint := request.Fingerprint
	if request.PartFingerprint != "" {
		fingerprint = request.PartFingerprint
	}
	for _, line := range log.lines {
		if line.Time.After(request.Time) {
			return
		}
		seen := line.Message != strikeCounted || line.Source == "own"
		if isStrike(line) && seen && line.Fingerprint == fingerprint {
			writeLine(out, line)
		}
	}
}

// writeLimits writes, for a request that was refused because of limits, which limits
// upstreams had named to any router by then.
func (log *Log) writeLimits(out io.Writer, request Line) {
	if request.Code != "UpstreamsAtLimit" {
		return
	}
	named := make(map[string]Line)
	for _, line := range log.lines {
		switch {
		case line.Time.After(request.Time):
		case line.Message == limitNamed:
			named[line.Upstream] = line
		case line.Message == limitLifted:
			delete(named, line.Upstream)
		}
	}
	for _, upstream := range slices.Sorted(maps.Keys(named)) {
		writeLine(out, named[upstream])
	}
}

// writeEvacuations writes, for a request that was refused because of evacuations, which zones
// its router took to be evacuated.
func (log *Log) writeEvacuations(out io.Writer, request Line) {
	if request.Code != "ZonesEvacuated" {
		return
	}
	evacuated := make(map[string]Line)
	for _, line := range log.lines {
		switch {
		case line.Time.After(request.Time) || line.VM != request.VM:
		case line.Message == zoneEvacuated:
			evacuated[line.Zone] = line
		case line.Message == evacuationEnded:
			delete(evacuated, line.Zone)
		case line.Message == routerStarted:
			clear(evacuated)
		}
	}
	for _, zone := range slices.Sorted(maps.Keys(evacuated)) {
		writeLine(out, evacuated[zone])
	}
}

// writeOrigin writes, for a take-up, the end of the attempt that it named, and, if it was
// refused, the splits that its router had adopted by then.
func (log *Log) writeOrigin(out io.Writer, request Line) {
	refused := request.Code == "OriginUnknown" || request.Code == "VersionGone"
	for _, line := range log.lines {
		if line.Time.After(request.Time) {
			return
		}
		named := line.Message == requestFinished && request.TakesUp != "" && line.Attempt == request.TakesUp
		adopted := line.Message == splitAdopted && refused && line.VM == request.VM
		if named || adopted {
			writeLine(out, line)
		}
	}
}

// writeLine writes when and where the event of a log line happened, and the event.
func writeLine(out io.Writer, line Line) {
	fmt.Fprintf(out, "%s %s %s\n", line.Time.Format(time.RFC3339Nano), line.VM, describe(line))
}

// describeExpected returns the time to the first event that was predicted, if one was.
func describeExpected(line Line) string {
	if line.ExpectedMs == 0 {
		return ""
	}
	return fmt.Sprintf(" (%d ms expected from the upstream)", line.ExpectedMs)
}

// describe returns the event of a log line in words.
func describe(line Line) string {
	switch line.Message {
	case answerUnwritten:
		return fmt.Sprintf("answer with status %d (%s) could not be written", line.Status, line.Code) + describeEnd(line)
	case requestFinished:
		if line.Tried == 0 {
			return fmt.Sprintf("finished with status %d (%s) after %d ms: route %s, configuration %d, offered to no upstream", line.Status, line.Code, line.Ms, line.Route, line.ConfigVersion) + describeOrigin(line) + describeRoom(line) + describeEnd(line)
		}
		return fmt.Sprintf("finished with status %d (%s) after %d ms: route %s, configuration %d, upstream %s chosen as %s at load %d of mean %.1f with %d tokens pending prefill, %d upstreams tried, prompt of %d tokens, first byte after %d ms",
			line.Status, line.Code, line.Ms, line.Route, line.ConfigVersion, line.Upstream, line.Reason, line.Load, line.MeanLoad, line.Unread, line.Tried, line.Prompt, line.FirstMs) + describeExpected(line) + describeOrigin(line) + describeEnd(line)
	case streamResumed:
		return fmt.Sprintf("stream begun at upstream %s (%s) goes on at %s (%s)", line.Began, line.BeganSoftware, line.Upstream, line.Software)
	case splitAdopted:
		return fmt.Sprintf("split %d of service %s adopted: cells %v, settled %v, from %s", line.Revision, line.Service, line.Cells, line.Settled, line.Source)
	case attemptFailed:
		return fmt.Sprintf("offered to %s (%s, load %d): %s, %s", line.Upstream, line.Reason, line.Load, line.Code, line.Cause)
	case upstreamEjected:
		return fmt.Sprintf("upstream %s set aside: %s", line.Upstream, line.Outcome)
	case upstreamChanged:
		return fmt.Sprintf("upstream %s changed: leaving %v, removed %v, reported by the %s", line.Upstream, line.Leaving, line.Gone, line.Source)
	case storeUnreachable:
		return fmt.Sprintf("store unreachable for table %s: %s", line.Table, line.Error)
	case storeSilent:
		return fmt.Sprintf("connection to the store silent, opened at %s: a new one is used", line.OpenedAt.Format(time.TimeOnly))
	case upstreamKept:
		return fmt.Sprintf("upstream %s kept, its row was removed, but may have expired in an outage of the store since %s", line.Upstream, line.OutageBegin.Format(time.TimeOnly))
	case rowOutdated:
		return fmt.Sprintf("row of upstream %s not used: write %d of incarnation %d, written late; known is write %d of incarnation %d, removed %v", line.Upstream, line.Sequence, line.Incarnation, line.KnownSequence, line.KnownIncarnation, line.KnownGone)
	case strikeCounted:
		return fmt.Sprintf("strike %d of %s %s: upstream %s broke off while it ran attempt %s", line.Strikes, kindOf(line), line.Fingerprint, line.Upstream, line.Attempt)
	case strikeWithdrawn:
		return fmt.Sprintf("strike of %s %s withdrawn: upstream %s ran on, %d left", kindOf(line), line.Fingerprint, line.Upstream, line.Strikes)
	case strikeCleared:
		return fmt.Sprintf("strike of %s %s at upstream %s cleared: the request succeeded", kindOf(line), line.Fingerprint, line.Upstream)
	case trialStarted:
		return fmt.Sprintf("runs alone at upstream %s, as upstreams crashed while they ran it", line.Upstream)
	case limitNamed:
		return fmt.Sprintf("upstream %s named a limit of %.2f requests a second", line.Upstream, line.PerSecond)
	case coldBegan:
		return fmt.Sprintf("upstream %s is cold for %d ms, by the %s", line.Upstream, line.RemainingMs, line.Source)
	case coldExpected:
		return fmt.Sprintf("upstream %s failed, it is cold once it answers", line.Upstream)
	case coldEnded:
		return fmt.Sprintf("upstream %s is not cold any more, by the %s", line.Upstream, line.Source)
	case restAsked:
		return fmt.Sprintf("upstream %s asked this router for %d ms of rest", line.Upstream, line.RestMs)
	case leavingSaid:
		return fmt.Sprintf("upstream %s said that it leaves", line.Upstream)
	case limitLifted:
		return fmt.Sprintf("upstream %s names no limit any more", line.Upstream)
	case shortageBegan:
		return fmt.Sprintf("requests to service %s are refused for lack of room: %.2f of the pool used", line.Service, line.Usage)
	case shortageEnded:
		return fmt.Sprintf("no request to service %s is refused for lack of room any more: %d were in %d ms", line.Service, line.Refused, line.Ms)
	case zoneEvacuated:
		return fmt.Sprintf("zone %s evacuated at revision %d, with %d upstreams, reported by %s", line.Zone, line.Revision, line.Upstreams, line.Source)
	case evacuationEnded:
		return fmt.Sprintf("evacuation of zone %s ended at revision %d, with %d upstreams, reported by %s", line.Zone, line.Revision, line.Upstreams, line.Source)
	case memoryFull:
		return fmt.Sprintf("memory full: %d bytes of bodies and answers held of at most %d, %d requests refused since the last such line", line.HeldBytes, line.HeldLimit, line.RefusedCount)
	case connsAtBound:
		return fmt.Sprintf("connections of %s at the bound of %d: %d closed since the last such line, the last as %s", line.Listener, line.ConnLimit, line.ClosedCount, line.LastReason)
	case routerPaused:
		return fmt.Sprintf("router paused for %d ms", line.Ms)
	case configInForce:
		return fmt.Sprintf("configuration %d in force", line.ConfigVersion)
	}
	return line.Message
}

// describeOrigin returns what is known of the version at which a stream has to run, or
// an empty text if it may run at any.
func describeOrigin(line Line) string {
	text := ""
	if line.TakesUp != "" {
		text += ", takes up " + line.TakesUp
	}
	if line.Version != "" {
		text += fmt.Sprintf(", bound to version %s by the %s", line.Version, line.VersionSource)
	}
	if line.VersionAgeMs > 0 {
		text += fmt.Sprintf(", begun %d ms before", line.VersionAgeMs)
	}
	if len(line.Versions) > 0 {
		text += fmt.Sprintf(", cell %d, upstreams by version %v", line.Cell, line.Versions)
	}
	return text
}

// describeRoom returns what was known of the room for a request that was refused for lack of
// it, or an empty text.
func describeRoom(line Line) string {
	if line.Code != "PoolFull" && line.Code != "TooLate" && line.Code != "WorkspaceAboveUsual" {
		return ""
	}
	return fmt.Sprintf(", %.2f of the pool used and %.2f open to the request, room for %.0f such requests, of which %.2f is this router's, answer to begin after %d ms, told to return after %d ms",
		line.Usage, line.MayUse, line.Room, line.RoomPart, line.WaitMs, line.RetryAfterMs)
}

// kindOf returns what a strike is of.
func kindOf(line Line) string {
	if line.Kind == "part" {
		return "part"
	}
	return "request"
}

// causes explains the result code of a finished request.
var causes = map[string]string{
	"OK":                   "none, the request was served",
	"NotReady":             "the router had no configuration yet",
	"UnknownRoute":         "no route of the configuration in force matches the host and path",
	"UnknownKey":           "no workspace of the configuration in force holds the API key",
	"AmbiguousFraming":     "a line of the caller's request is not in the form of HTTP/1.1, or the request states its length in more than one way",
	"InvalidHeader":        "a header of the caller's request is invalid",
	"HeadTooLarge":         "the caller's headers are longer than the configuration allows",
	"BodyTooLarge":         "the caller's body is longer than the configuration allows",
	"MalformedBody":        "the caller's body did not arrive completely",
	"CrashingRequest":      "three upstreams or more broke off while they ran this request, so it is refused and did not run",
	"CrashingRequestAlone": "upstreams broke off while they ran this request, so it runs alone only: half of the service's upstreams have to go on serving beside it, and no other run alone of it may be under way; it did not run",
	"UpstreamsAtLimit":     "every upstream of the service is at the limit that it names",
	"UpstreamsCold":        "every upstream of the service has just started, or came back, and takes few requests a second for a while",
	"UpstreamsResting":     "every upstream of the service had asked this router for rest",
	"PoolFull":             "the upstreams had no room for the request, or left it to more urgent ones and to other routers; it did not run",
	"TooLate":              "no upstream could have begun its answer before the deadline; it did not run",
	"WorkspaceAboveUsual":  "the upstreams were short of room, and the workspace sent more than its usual; it did not run",
	"ZonesEvacuated":       "operators have evacuated the availability zones of all upstreams that could run the request; it did not run",
	"RegionNotAllowed":     "no upstream of the service is in a region that both the route and the workspace allow; it did not run",
	"MemoryFull":           "the router had no memory left for the body: others hold it, or the body was the largest and slowest; it did not run",
	"BodyTooSlow":          "the caller's body arrived at less than the minimum rate, or not before the deadline; it did not run",
	"OriginUnknown":        "the router could not tell which software version began the stream, and did not guess; it did not run",
	"VersionGone":          "no upstream of the software version that began the stream takes requests; it did not run",
	"NoUpstream":           "no upstream of the service is listed or left to try",
	"QueueFull":            "the upstreams refused the request before they ran it",
	"UpstreamUnreachable":  "no connection to an upstream could be opened",
	"DeadlineUnmeetable":   "too little time was left to send the request",
	"OutcomeUnknown":       "the connection to the upstream ended without a whole answer",
	"AnswerCut":            "the upstream's stream ended early and could not be resumed",
	"UpstreamFailed":       "the upstream answered that it failed",
	"CallerLeft":           "the caller disconnected before the answer was complete",
	"DeadlineExpired":      "the upstream had not completed its answer by the deadline",
}

// Cause returns the likely cause of how the request of line, which is a
// finished one, ended.
func Cause(line Line) string {
	if cause, known := endCause(line); known {
		return cause
	}
	if line.Code == "CallerLeft" {
		return causes[line.Code]
	}
	cause, known := causes[line.Code]
	if !known {
		cause = "code " + line.Code
	}
	if line.Code == "RegionNotAllowed" {
		cause += fmt.Sprintf(", allowed are %q", line.AllowedRegions)
	}
	if line.Part != "" {
		cause = fmt.Sprintf("upstreams broke off while they ran requests with part %s in their prompts, so it is refused and did not run", line.Part)
	}
	if line.Cause != "" && line.Code != "OK" {
		cause += ": " + line.Cause
	}
	return cause
}

// Group counts the requests that failed for the same cause.
type Group struct {
	Cause string
	Count int
	// Examples are the attempt IDs of the first requests of the group.
	Examples []string
}

// maxGroupExamples bounds the examples of a group.
const maxGroupExamples = 3

// Failures groups the requests that finished between from and until without
// being served by their cause, the most frequent first. A zero time sets no
// bound.
func (log *Log) Failures(from, until time.Time) []Group {
	log.sort()
	groups := make(map[string]*Group)
	for _, line := range log.lines {
		outside := line.Time.Before(from) || !until.IsZero() && line.Time.After(until)
		if !isFailure(line) || outside {
			continue
		}
		cause := Cause(line)
		group := groups[cause]
		if group == nil {
			group = &Group{Cause: cause}
			groups[cause] = group
		}
		group.Count++
		if len(group.Examples) < maxGroupExamples {
			group.Examples = append(group.Examples, line.Attempt)
		}
	}
	sorted := make([]Group, 0, len(groups))
	for _, group := range groups {
		sorted = append(sorted, *group)
	}
	slices.SortFunc(sorted, func(a, b Group) int {
		return cmp.Or(cmp.Compare(b.Count, a.Count), strings.Compare(a.Cause, b.Cause))
	})
	return sorted
}
