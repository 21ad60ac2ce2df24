package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// heartbeat is the time between two check-ins of a runner.
	heartbeat = 1200 * time.Millisecond
	// slots is how many requests a runner works on at once.
	slots = 64
	// workTime is how long the work on a plain request takes.
	workTime = 15 * time.Millisecond
	// draftEvents and questionEvents are the numbers of events of the streams, and
	// eventPause is the time between two of them.
	draftEvents    = 24
	questionEvents = 58
	eventPause     = 50 * time.Millisecond
	// streamPath is the prefix of the paths whose answers are streams.
	streamPath = "/drafts/"
	// questionPath is the prefix of those that may be resumed.
	questionPath = streamPath + "questions/"
	// versionMark stands in each event before the number of the software version that made
	// it: what two versions make doesn't fit together.
	versionMark = "made-by-version-"
)

// runner is a stand-in for a runner.
type runner struct {
	id      string
	service string
	address string
	store   *store
	journal *journal

	mu      sync.Mutex
	server  *http.Server
	version int
	born    time.Time
	seq     int
	down    bool
	gone    bool
}

// newRunner returns a runner at a free address, which it serves.
func newRunner(id, service string, store *store, journal *journal) (*runner, error) {
	runner := &runner{id: id, service: service, address: "127.0.0.1:0", store: store, journal: journal}
	if err := runner.start(1); err != nil {
		return nil, err
	}
	go runner.checkIn()
	return runner, nil
}

// start starts the process of a software version under the runner's id, and writes its
// entry.
func (runner *runner) start(version int) error {
	listener, err := net.Listen("tcp", runner.address)
	if err != nil {
		return err
	}
	runner.mu.Lock()
	runner.address = listener.Addr().String()
	runner.server = &http.Server{Handler: runner}
	runner.version, runner.born, runner.seq, runner.down = version, time.Now(), 0, false
	server := runner.server
	runner.mu.Unlock()
	go func() { _ = server.Serve(listener) }()
	runner.writeEntry()
	return nil
}

// crash ends the process without a word: its channels close, and it writes no entry.
func (runner *runner) crash() {
	runner.mu.Lock()
	defer runner.mu.Unlock()
	runner.down = true
	_ = runner.server.Close()
}

// checkIn writes the runner's entry at each heartbeat.
func (runner *runner) checkIn() {
	for {
		time.Sleep(heartbeat)
		if !runner.writeEntry() {
			return
		}
	}
}

// writeEntry writes the entry, unless the process is down. It reports false once the entry
// has been removed for good.
func (runner *runner) writeEntry() bool {
	runner.mu.Lock()
	defer runner.mu.Unlock()
	if runner.gone || runner.down {
		return !runner.gone
	}
	runner.seq++
	runner.store.put("servers", runner.id, map[string]any{
		"service": runner.service, "address": runner.address, "zone": "zone-a", "version": fmt.Sprint(runner.version),
		"slots": slots, "state": "ready", "cold-remaining-ms": 0, "seq": runner.seq, "born": runner.born.UnixMilli(),
	})
	return true
}

// process returns the version and the start of the process that runs.
func (runner *runner) process() (version int, born time.Time) {
	runner.mu.Lock()
	defer runner.mu.Unlock()
	return runner.version, runner.born
}

// removeEntry removes the entry for good and returns when the store acknowledged that.
// The runner goes on serving.
func (runner *runner) removeEntry() time.Time {
	runner.mu.Lock()
	defer runner.mu.Unlock()
	runner.gone = true
	return runner.store.remove("servers", runner.id)
}

// report writes what the runner says of itself.
func (runner *runner) report(writer http.ResponseWriter) {
	_, born := runner.process()
	writer.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(writer).Encode(map[string]any{"stage": "colocated", "models": []any{}, "busy": false, "waiting": 0, "running": 0, "born": born.UnixMilli()})
}

// ServeHTTP works on one request.
func (runner *runner) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	arrived := time.Now()
	if request.Method == http.MethodGet && request.URL.Path == "/report" {
		runner.report(writer)
		return
	}
	attempt := request.Header.Get("Hickoryhead-Attempt-Id")
	header := writer.Header()
	header.Set("Hickoryhead-Attempt-Id", attempt)
	if expected := request.Header.Get("Hickoryhead-Expect-Instance"); expected != "" && expected != runner.id {
		runner.journal.add(arrived, "runner %s answers 421 to %s", runner.id, attempt)
		header.Set("Hickoryhead-Not-Executed", "1")
		writer.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if _, err := io.ReadAll(request.Body); err != nil {
		panic(http.ErrAbortHandler)
	}
	runner.journal.ran(arrived, run{attempt: attempt, runner: runner.id, service: runner.service, path: request.URL.Path})
	header.Set("Hickoryhead-Response-Signature", "mac-"+attempt)
	if strings.HasPrefix(request.URL.Path, streamPath) {
		runner.stream(writer, request, attempt)
		return
	}
	time.Sleep(workTime)
	_, _ = fmt.Fprintf(writer, "%s %s\n", runner.service, attempt)
}

// stream answers with a stream of events, until the channel closes.
func (runner *runner) stream(writer http.ResponseWriter, request *http.Request, attempt string) {
	writer.Header().Set("Content-Type", "text/event-stream")
	control := http.NewResponseController(writer)
	version, _ := runner.process()
	last, _ := strconv.Atoi(request.Header.Get("Last-Event-Id"))
	events := draftEvents
	if strings.HasPrefix(request.URL.Path, questionPath) {
		events = questionEvents
	}
	for number := last + 1; number <= events; number++ {
		if request.Context().Err() != nil {
			return
		}
		_, _ = fmt.Fprintf(writer, "id: %d\ndata: %s %s%d\n\n", number, attempt, versionMark, version)
		_ = control.Flush()
		time.Sleep(eventPause)
	}
}

// exit ends the process of a runner that has left.
func (runner *runner) exit() {
	runner.journal.add(time.Now(), "runner %s exits", runner.id)
	runner.crash()
}
