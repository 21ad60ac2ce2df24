package standin

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/hickoryhead/hickoryhead/ident"
	"github.com/hickoryhead/hickoryhead/platform"
)

// ServeHTTP runs a request: a stream on a path with /stream/, a plain one else.
func (runner *Runner) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	if runner.down() {
		panic(http.ErrAbortHandler)
	}
	forwarded := platform.DecodeForwarded(request.Header)
	if forwarded.Upstream != runner.ID {
		platform.EncodeAnswer(writer.Header(), forwarded.Attempt, "")
		writer.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	platform.EncodeAnswer(writer.Header(), forwarded.Attempt, runnerSignature)
	time.Sleep(runner.begin(forwarded.Attempt))
	if strings.Contains(request.URL.Path, runnerStreamMarker) {
		runner.stream(writer, forwarded)
		return
	}
	body := RunnerAnswer(forwarded.Attempt)
	writer.Header().Set("Content-Length", strconv.Itoa(len(body)))
	// A sender that has left is owed no answer.
	_, _ = io.WriteString(writer, body)
}

// stream sends the events behind the last one that the caller has.
func (runner *Runner) stream(writer http.ResponseWriter, forwarded platform.Forwarded) {
	writer.Header().Set("Content-Type", "text/event-stream")
	control := http.NewResponseController(writer)
	for n := numberOf(forwarded.LastEvent) + 1; n <= RunnerEvents; n++ {
		_, err := io.WriteString(writer, runnerEvent(forwarded.Attempt, n))
		if err != nil || control.Flush() != nil || runner.down() {
			panic(http.ErrAbortHandler)
		}
		time.Sleep(runnerEventEvery)
	}
}

// numberOf returns the number of the event with the ID id, zero for none.
func numberOf(id string) int {
	number, err := strconv.Atoi(id)
	if err != nil {
		return 0
	}
	return number
}

// RunnerAnswer returns the whole plain answer to a request.
func RunnerAnswer(attempt ident.AttemptID) string {
	return "answer to " + string(attempt) + " " + strings.Repeat("x", 300)
}

func runnerEvent(attempt ident.AttemptID, n int) string {
	return fmt.Sprintf("id: %d\ndata: %s\n\n", n, attempt)
}

// RunnerStream returns the whole stream that answers a request.
func RunnerStream(attempt ident.AttemptID) string {
	var stream strings.Builder
	for n := 1; n <= RunnerEvents; n++ {
		stream.WriteString(runnerEvent(attempt, n))
	}
	return stream.String()
}
