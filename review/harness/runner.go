package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
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
	// streamEvents is the number of events of a stream, and eventPause the time between
	// two of them.
	streamEvents = 24
	eventPause   = 50 * time.Millisecond
	// streamPath is the prefix of the paths whose answers are streams.
	streamPath = "/drafts/"
)

// runner is a stand-in for a runner.
type runner struct {
	id       string
	service  string
	version  string
	address  string
	store    *store
	journal  *journal
	listener net.Listener
	server   *http.Server

	mu   sync.Mutex
	born time.Time
	seq  int
	gone bool
}

// newRunner returns a runner at a free address, which it serves.
func newRunner(id, service string, store *store, journal *journal) (*runner, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	runner := &runner{
		id: id, service: service, version: "1", address: listener.Addr().String(),
		store: store, journal: journal, listener: listener, born: time.Now(),
	}
	runner.server = &http.Server{Handler: runner}
	go func() { _ = runner.server.Serve(listener) }()
	go runner.checkIn()
	return runner, nil
}

// checkIn writes the runner's entry at each heartbeat.
func (runner *runner) checkIn() {
	for runner.writeEntry() {
		time.Sleep(heartbeat)
	}
}

// writeEntry writes the entry, and reports false once it has been removed.
func (runner *runner) writeEntry() bool {
	runner.mu.Lock()
	defer runner.mu.Unlock()
	if runner.gone {
		return false
	}
	runner.seq++
	runner.store.put("servers", runner.id, map[string]any{
		"service": runner.service, "address": runner.address, "zone": "zone-a", "version": runner.version,
		"slots": slots, "state": "ready", "cold-remaining-ms": 0, "seq": runner.seq, "born": runner.born.UnixMilli(),
	})
	return true
}

// removeEntry removes the entry for good and returns when the store acknowledged that.
// The runner goes on serving.
func (runner *runner) removeEntry() time.Time {
	runner.mu.Lock()
	defer runner.mu.Unlock()
	runner.gone = true
	return runner.store.remove("servers", runner.id)
}

// ServeHTTP works on one request.
func (runner *runner) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	arrived := time.Now()
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
	for number := 1; number <= streamEvents; number++ {
		if request.Context().Err() != nil {
			return
		}
		_, _ = fmt.Fprintf(writer, "id: %d\ndata: %s\n\n", number, attempt)
		_ = control.Flush()
		time.Sleep(eventPause)
	}
}

// exit ends the runner's process: its channels close.
func (runner *runner) exit() {
	runner.journal.add(time.Now(), "runner %s exits", runner.id)
	_ = runner.server.Close()
}
