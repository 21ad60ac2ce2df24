package standin

import (
	"io"
	"net/http"
	"time"

	"github.com/hickoryhead/hickoryhead/ident"
	"github.com/hickoryhead/hickoryhead/platform"
)

// OddRest is what a runner answers in place of the rest of a stream.
type OddRest string

// The answers, all but one of them with status 200 and a signature.
const (
	// JSONRest is an error in JSON, and EmptyRest an empty JSON answer.
	JSONRest  OddRest = "json"
	EmptyRest OddRest = "empty"
	// RepeatedRest begins with the first event, and GapRest leaves one out.
	RepeatedRest OddRest = "repeated"
	GapRest      OddRest = "gap"
	// ErrorRest is an answer with status 500.
	ErrorRest OddRest = "error"
)

// OddRests returns all odd answers.
func (runner *Runner) OddRests() []OddRest {
	return []OddRest{JSONRest, EmptyRest, RepeatedRest, GapRest, ErrorRest}
}

// AnswerRests makes the runner answer requests for the rest of a stream with something else,
// until it is called with an empty one.
func (runner *Runner) AnswerRests(odd OddRest) {
	runner.mu.Lock()
	defer runner.mu.Unlock()
	runner.oddRest = odd
}

// answerOddRest answers a request for the rest of a stream as AnswerRests says, and reports
// whether it did.
func (runner *Runner) answerOddRest(writer http.ResponseWriter, forwarded platform.Forwarded) bool {
	runner.mu.Lock()
	odd := runner.oddRest
	software := runner.Software
	runner.mu.Unlock()
	if odd == "" || forwarded.LastEvent == "" {
		return false
	}
	body, contentType := "", "text/event-stream"
	switch odd {
	case JSONRest:
		body, contentType = `{"error":"busy"}`, "application/json"
	case EmptyRest:
		contentType = "application/json"
	case RepeatedRest:
		body = runnerEvents(forwarded.Attempt, software, 1)
	case GapRest:
		body = runnerEvents(forwarded.Attempt, software, eventNumber(forwarded.LastEvent)+2)
	}
	writer.Header().Set("Content-Type", contentType)
	if odd == ErrorRest {
		writer.WriteHeader(http.StatusInternalServerError)
	}
	// An error means that the sender has disconnected.
	_, _ = io.WriteString(writer, body)
	return true
}

// repeatPause is how long after a refusal a faulty runner writes it once more.
const repeatPause = 10 * time.Millisecond

// refuseTwice writes a refusal twice on the connection of a request, and closes it.
func refuseTwice(writer http.ResponseWriter, attempt ident.AttemptID, rest time.Duration) {
	header := make(http.Header)
	platform.EncodeAnswer(header, attempt, runnerSignature)
	platform.EncodeRefusal(header, rest)
	conn, buffered, err := http.NewResponseController(writer).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	defer conn.Close()
	for range 2 {
		response := &http.Response{StatusCode: http.StatusServiceUnavailable, ProtoMajor: 1, ProtoMinor: 1, Header: header}
		// Errors mean that the sender has disconnected.
		_ = response.Write(buffered)
		_ = buffered.Flush()
		time.Sleep(repeatPause)
	}
}
