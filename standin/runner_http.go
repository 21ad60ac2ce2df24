package standin

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/hickoryhead/hickoryhead/ident"
	"github.com/hickoryhead/hickoryhead/platform"
	"github.com/hickoryhead/hickoryhead/registry"
)

// ServeHTTP answers a request with a stream of events if its path contains
// /stream/, and with a plain answer otherwise. It refuses requests that are
// meant for another upstream with status 421.
func (runner *Runner) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	if runner.isDown() {
		panic(http.ErrAbortHandler)
	}
	state := runner.state()
	if state.leaving {
		platform.EncodeLeaving(writer.Header())
	}
	if request.URL.Path == platform.ReportPath {
		writeReport(writer, state.incarnation)
		return
	}
	forwarded := platform.DecodeForwarded(request.Header)
	if forwarded.Upstream != runner.ID {
		platform.EncodeAnswer(writer.Header(), forwarded.Attempt, "")
		writer.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	body, err := io.ReadAll(request.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	platform.EncodeAnswer(writer.Header(), forwarded.Attempt, runnerSignature)
	if runner.OnArrive != nil {
		runner.OnArrive(forwarded.Attempt)
	}
	if state.rest > 0 {
		runner.refuse(writer, forwarded.Attempt, state.rest)
		return
	}
	if limit, limited := runner.namedLimit(); limited {
		platform.EncodeLimit(writer.Header(), limit)
	}
	workTime := runner.begin(forwarded.Attempt)
	if runner.hasCrashMarker(body) {
		runner.crashNow()
	}
	if runner.isCrashAttempt(forwarded.Attempt) {
		time.Sleep(workTime / 2)
		if runner.isDown() || runner.state().incarnation != state.incarnation {
			// The process that ran the request has crashed meanwhile.
			panic(http.ErrAbortHandler)
		}
		runner.crashNow()
	}
	time.Sleep(workTime)
	if runner.isDown() {
		panic(http.ErrAbortHandler)
	}
	isStream := strings.Contains(request.URL.Path, runnerStreamMarker)
	if runner.hasCrashPart(forwarded.Prompt) {
		runner.crashWhileAnswering(writer, forwarded, isStream)
	}
	if runner.sendMalformed(writer, forwarded.Attempt) {
		return
	}
	if answer := runner.endlessAnswer(); answer != nil {
		complete := RunnerAnswer(forwarded.Attempt)
		if isStream {
			complete = runnerEvents(forwarded.Attempt, state.software, eventNumber(forwarded.LastEvent)+1)
		}
		runner.sendEndless(writer, answer, forwarded.Attempt, complete)
		return
	}
	if isStream {
		if !runner.answerOddRest(writer, forwarded) {
			runner.stream(writer, forwarded)
		}
		return
	}
	answer := RunnerAnswer(forwarded.Attempt)
	writer.Header().Set("Content-Length", strconv.Itoa(len(answer)))
	// A write error means that the sender has disconnected.
	_, _ = io.WriteString(writer, answer)
}

// writeReport writes the report of a runner about itself.
func writeReport(writer http.ResponseWriter, incarnation registry.Incarnation) {
	report, err := platform.EncodeReport(incarnation)
	if err != nil {
		panic("standin: encode report: " + err.Error())
	}
	// A write error means that the sender has disconnected.
	_, _ = writer.Write(report)
}

// refuse turns a request away and asks for rest.
func (runner *Runner) refuse(writer http.ResponseWriter, attempt ident.AttemptID, rest time.Duration) {
	if runner.OnRefuse != nil {
		runner.OnRefuse(attempt, time.Now().Add(rest))
	}
	if runner.RepeatRefusals {
		refuseTwice(writer, attempt, rest)
		return
	}
	platform.EncodeRefusal(writer.Header(), rest)
	writer.WriteHeader(http.StatusServiceUnavailable)
}

// hasCrashMarker reports whether body crashes the runner.
func (runner *Runner) hasCrashMarker(body []byte) bool {
	return runner.CrashMarker != "" && bytes.Contains(body, []byte(runner.CrashMarker))
}

// isCrashAttempt reports whether the attempt crashes the runner.
func (runner *Runner) isCrashAttempt(attempt ident.AttemptID) bool {
	return runner.CrashAttempt != nil && runner.CrashAttempt(attempt)
}

// hasCrashPart reports whether a part of the prompt, but for the last, crashes the
// runner.
func (runner *Runner) hasCrashPart(prompt []platform.PromptPart) bool {
	if runner.CrashPart == nil || len(prompt) == 0 {
		return false
	}
	return slices.ContainsFunc(prompt[:len(prompt)-1], func(part platform.PromptPart) bool { return runner.CrashPart(part.ID) })
}

// crashWhileAnswering crashes the runner once it has written the head of a stream
// and half of an event, or nothing of a plain answer.
func (runner *Runner) crashWhileAnswering(writer http.ResponseWriter, forwarded platform.Forwarded, isStream bool) {
	if isStream {
		writer.Header().Set("Content-Type", "text/event-stream")
		event := runnerEvent(forwarded.Attempt, runner.state().software, 1)
		// An error means that the sender has disconnected; the crash follows.
		_, _ = io.WriteString(writer, event[:len(event)/2])
		_ = http.NewResponseController(writer).Flush()
	}
	runner.crashNow()
}

// crashNow crashes the runner and closes the connection of the request.
func (runner *Runner) crashNow() {
	runner.Crash()
	if runner.OnCrash != nil {
		runner.OnCrash()
	}
	panic(http.ErrAbortHandler)
}

// stream sends the events that follow the last one that the caller has received.
func (runner *Runner) stream(writer http.ResponseWriter, forwarded platform.Forwarded) {
	writer.Header().Set("Content-Type", "text/event-stream")
	control := http.NewResponseController(writer)
	software := runner.state().software
	for n := eventNumber(forwarded.LastEvent) + 1; n <= RunnerEvents; n++ {
		_, err := io.WriteString(writer, runnerEvent(forwarded.Attempt, software, n))
		if err != nil || control.Flush() != nil || runner.isDown() {
			panic(http.ErrAbortHandler)
		}
		time.Sleep(runnerEventInterval)
	}
}

// eventNumber parses the ID of an event. It returns zero if id is not a number.
func eventNumber(id string) int {
	number, err := strconv.Atoi(id)
	if err != nil {
		return 0
	}
	return number
}

// RunnerAnswer returns the complete plain answer to a request.
func RunnerAnswer(attempt ident.AttemptID) string {
	return "answer to " + string(attempt) + " " + strings.Repeat("x", 300)
}

// runnerEvent returns the nth event of a stream. Its type is the version of the runner's
// software, if it has one.
func runnerEvent(attempt ident.AttemptID, software ident.SoftwareVersion, n int) string {
	if software == "" {
		return fmt.Sprintf("id: %d\ndata: %s\n\n", n, attempt)
	}
	return fmt.Sprintf("id: %d\nevent: %s\ndata: %s\n\n", n, software, attempt)
}

// RunnerStream returns the complete stream that answers a request at a runner without a
// software version.
func RunnerStream(attempt ident.AttemptID) string { return runnerEvents(attempt, "", 1) }

// runnerEvents returns the events from the nth on of the stream that answers a request.
func runnerEvents(attempt ident.AttemptID, software ident.SoftwareVersion, first int) string {
	var stream strings.Builder
	for n := first; n <= RunnerEvents; n++ {
		stream.WriteString(runnerEvent(attempt, software, n))
	}
	return stream.String()
}

// StreamEvent is one event of a runner's stream.
type StreamEvent struct {
	ID       int
	Software ident.SoftwareVersion
	Attempt  ident.AttemptID
}

// ParseStream returns the complete events in the body of a runner's stream. It reports
// false if there is anything else in it.
func ParseStream(body string) ([]StreamEvent, bool) {
	var events []StreamEvent
	for body != "" {
		text, rest, complete := strings.Cut(body, "\n\n")
		if !complete {
			return events, false
		}
		var event StreamEvent
		for line := range strings.SplitSeq(text, "\n") {
			name, value, _ := strings.Cut(line, ": ")
			switch name {
			case "id":
				event.ID = eventNumber(value)
			case "event":
				event.Software = ident.SoftwareVersion(value)
			case "data":
				event.Attempt = ident.AttemptID(value)
			default:
				return events, false
			}
		}
		events = append(events, event)
		body = rest
	}
	return events, true
}
