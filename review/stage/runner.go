package stage

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/hickoryhead/hickoryhead/platform"
)

// heartbeatInterval is heartbeat-ms of the small site files.
const heartbeatInterval = 1200 * time.Millisecond

// Runner is a runner that answers every request at once, as PROTOCOL.md says.
type Runner struct {
	ID      string
	Service string
	// Slots is how many requests the runner takes at once, by its entry.
	Slots int
	// Model is set for a model runner.
	Model bool
	// OnRun is called with each request that the runner runs, and its body. It returns the
	// status of the answer.
	OnRun func(request *http.Request, body []byte) int

	stage    *Stage
	address  string
	born     int64
	seq      atomic.Int64
	draining atomic.Bool
}

// StartRunner starts a runner and registers it in the store.
func (stage *Stage) StartRunner(runner *Runner) error {
	runner.stage, runner.born = stage, time.Now().UnixMilli()
	var err error
	if runner.address, err = stage.Serve(runner); err != nil {
		return err
	}
	runner.checkIn()
	go runner.run()
	return nil
}

// run checks in until the stage is closed.
func (runner *Runner) run() {
	ticker := time.NewTicker(heartbeatInterval)
	defer ticker.Stop()
	for {
		select {
		case <-runner.stage.ctx.Done():
			return
		case <-ticker.C:
			runner.checkIn()
		}
	}
}

func (runner *Runner) checkIn() { runner.WriteEntry(runner.NextEntry()) }

// Drain reports that the runner is draining. It goes on checking in and serving.
func (runner *Runner) Drain() {
	runner.draining.Store(true)
	runner.checkIn()
}

// WriteEntry writes the runner's entry to the store.
func (runner *Runner) WriteEntry(entry []byte) {
	runner.stage.Store.Write(platform.Record{Table: "servers", Key: platform.Key(runner.ID), Value: entry})
}

// NextEntry returns the entry that the runner writes next.
func (runner *Runner) NextEntry() []byte {
	state := "ready"
	if runner.draining.Load() {
		state = "draining"
	}
	entry := map[string]any{
		"service": runner.Service, "address": runner.address, "zone": "richard-toll", "version": "v1",
		"slots": runner.Slots, "state": state, "cold-remaining-ms": 0, "seq": runner.seq.Add(1), "born": runner.born,
	}
	if runner.Model {
		entry["stage"] = "colocated"
		entry["models"] = []map[string]any{{"name": "m", "version": 1, "adapters": []string{}}}
	}
	value, err := json.Marshal(entry)
	if err != nil {
		panic(err)
	}
	return value
}

// ServeHTTP answers one request.
func (runner *Runner) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	header := writer.Header()
	switch request.URL.Path {
	case "/report":
		writeJSON(writer, map[string]any{"stage": "colocated", "busy": false, "seq": 0, "waiting": 0, "running": 0, "kv-used": 0, "kv-total": 606363, "handles": 0, "born": runner.born})
		return
	case "/kv-list":
		writeJSON(writer, map[string]any{"epoch": 1, "next": 0, "held": []any{}})
		return
	case "/kv-events":
		writeJSON(writer, map[string]any{"epoch": 1, "next": 0, "lost": false, "events": []any{}})
		return
	case "/healthz":
		header.Set("Hickoryhead-Runner-Id", runner.ID)
		return
	}
	attempt := request.Header.Get("Hickoryhead-Attempt-Id")
	body, err := io.ReadAll(request.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	header.Set("Hickoryhead-Attempt-Id", attempt)
	if expected := request.Header.Get("Hickoryhead-Expect-Instance"); expected != "" && expected != runner.ID {
		writer.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	status := http.StatusOK
	if runner.OnRun != nil {
		status = runner.OnRun(request, body)
	}
	header.Set("Hickoryhead-Response-Signature", "sig-"+attempt)
	if runner.Model && status == http.StatusOK {
		writeStream(writer)
		return
	}
	answer := []byte("answer to " + attempt + "\n")
	header.Set("Content-Length", strconv.Itoa(len(answer)))
	writer.WriteHeader(status)
	_, _ = writer.Write(answer)
}

// writeStream writes a stream of two events.
func writeStream(writer http.ResponseWriter) {
	writer.Header().Set("Content-Type", "text/event-stream")
	_, _ = writer.Write([]byte("id: 1\ndata: a\n\nid: 2\ndata: b\n\n"))
}

func writeJSON(writer http.ResponseWriter, value any) {
	body, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	writer.Header().Set("Content-Type", "application/json")
	_, _ = writer.Write(body)
}
