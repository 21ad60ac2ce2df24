package explain

import (
	"cmp"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"
)

// contextBefore is how long before the end of a request what a router came to
// believe is told with it.
const contextBefore = 5 * time.Second

// Log holds the lines of any number of processes. The zero value is empty.
type Log struct {
	lines  []Line
	sorted bool
}

// Add takes in one line of text, if it is a line of a log.
func (log *Log) Add(text []byte) {
	if line, ok := Parse(text); ok {
		log.lines = append(log.lines, line)
		log.sorted = false
	}
}

// Len returns the number of lines.
func (log *Log) Len() int { return len(log.lines) }

func (log *Log) sort() {
	if !log.sorted {
		slices.SortStableFunc(log.lines, func(a, b Line) int { return a.Time.Compare(b.Time) })
		log.sorted = true
	}
}

// Request writes the way of the request with the attempt ID id, in order, and
// its likely cause. It reports whether any line is about it.
func (log *Log) Request(out io.Writer, id string) bool {
	log.sort()
	found := false
	for _, line := range log.lines {
		if line.Attempt != id {
			continue
		}
		found = true
		if line.Message == requestFinished {
			log.writeContext(out, line)
		}
		fmt.Fprintf(out, "%s %s %s\n", line.Time.Format(time.RFC3339Nano), line.VM, describe(line))
		if line.Message == requestFinished {
			fmt.Fprintf(out, "cause: %s\n", Cause(line))
		}
	}
	return found
}

// writeContext writes what the router of the request came to believe shortly
// before about its upstream, the store and the configuration.
func (log *Log) writeContext(out io.Writer, request Line) {
	began := request.Time.Add(-time.Duration(request.Ms)*time.Millisecond - contextBefore)
	for _, line := range log.lines {
		if line.VM != request.VM || line.Time.Before(began) || line.Time.After(request.Time) {
			continue
		}
		about := line.Upstream != "" && line.Upstream == request.Upstream
		switch {
		case about && (line.Message == upstreamAside || line.Message == upstreamChanged),
			line.Message == storeLost, line.Message == configInForce:
			fmt.Fprintf(out, "%s %s %s\n", line.Time.Format(time.RFC3339Nano), line.VM, describe(line))
		}
	}
}

// describe returns a line in words.
func describe(line Line) string {
	switch line.Message {
	case requestFinished:
		return fmt.Sprintf("finished with status %d (%s) after %d ms: route %s, configuration %d, upstream %s chosen as %s at load %d of mean %.1f with %d tokens unread, %d offered, prompt of %d tokens, first byte after %d ms",
			line.Status, line.Code, line.Ms, line.Route, line.ConfigVersion, line.Upstream, line.Reason, line.Load, line.MeanLoad, line.Unread, line.Tried, line.Prompt, line.FirstMs)
	case attemptFailed:
		return fmt.Sprintf("offered to %s (%s, load %d): %s, %s", line.Upstream, line.Reason, line.Load, line.Code, line.Cause)
	case upstreamAside:
		return fmt.Sprintf("upstream %s set aside: %s", line.Upstream, line.Outcome)
	case upstreamChanged:
		return fmt.Sprintf("upstream %s changed: leaving %v, gone %v, said by the %s", line.Upstream, line.Leaving, line.Gone, line.Source)
	case storeLost:
		return fmt.Sprintf("store not reached for table %s: %s", line.Table, line.Error)
	case configInForce:
		return fmt.Sprintf("configuration %d in force", line.ConfigVersion)
	}
	return line.Message
}

// causes says for each code what it means for a finished request.
var causes = map[string]string{
	"OK":                  "none, the request was served",
	"NotReady":            "the router had no configuration yet",
	"UnknownRoute":        "no route of the configuration in force matches the host and path",
	"UnknownKey":          "no workspace of the configuration in force holds the API key",
	"AmbiguousFraming":    "the caller's request had more than one end",
	"InvalidHeader":       "a header of the caller can't be understood",
	"HeadTooLarge":        "the caller's headers are longer than the configuration allows",
	"BodyTooLarge":        "the caller's body is longer than the configuration allows",
	"MalformedBody":       "the caller's body did not arrive whole",
	"NoUpstream":          "no upstream of the service is listed or left to try",
	"QueueFull":           "the upstreams refused the request before they ran it",
	"UpstreamUnreachable": "no connection to an upstream could be opened",
	"DeadlineUnmeetable":  "too little time was left to send the request",
	"OutcomeUnknown":      "the connection to the upstream ended without a whole answer",
	"AnswerCut":           "the upstream's stream broke off and could not be continued",
	"UpstreamFailed":      "the upstream answered that it failed",
	"CallerLeft":          "the caller left before the answer was whole",
	"DeadlineExpired":     "the upstream was still silent or working at the deadline",
}

// Cause returns the likely cause of how a finished request ended.
func Cause(line Line) string {
	if line.Code == "CallerLeft" {
		return causes[line.Code]
	}
	cause, known := causes[line.Code]
	if !known {
		cause = "code " + line.Code
	}
	if line.Cause != "" && line.Code != "OK" {
		cause += ": " + line.Cause
	}
	return cause
}

// Group is a cause with the requests that it ended.
type Group struct {
	Cause    string
	Count    int
	Examples []string
}

// maxExamples bounds the IDs that are given with a group.
const maxExamples = 3

// Failures groups the requests that were not served between from and until by
// their cause, the most frequent first. A zero time has no bound.
func (log *Log) Failures(from, until time.Time) []Group {
	log.sort()
	groups := make(map[string]*Group)
	for _, line := range log.lines {
		outside := line.Time.Before(from) || !until.IsZero() && line.Time.After(until)
		if line.Message != requestFinished || line.Code == "OK" || outside {
			continue
		}
		cause := Cause(line)
		group := groups[cause]
		if group == nil {
			group = &Group{Cause: cause}
			groups[cause] = group
		}
		group.Count++
		if len(group.Examples) < maxExamples {
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
