package stage

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/hickoryhead/hickoryhead/platform"
)

// The streams of a Versioned runner.
const (
	// StreamEvents is how many events a whole stream has.
	StreamEvents  = 40
	eventInterval = 15 * time.Millisecond
)

// Versioned is a model runner that may crash and start again under its ID, with another version
// of its software. Its streams may be resumed.
type Versioned struct {
	ID      string
	Service string

	stage   *Stage
	address string

	mu       sync.Mutex
	version  int
	born     int64
	seq      int
	up       bool
	server   *http.Server
	listener net.Listener
}

// StartVersioned starts a runner with the given version and registers it.
func (stage *Stage) StartVersioned(id, service string, version int) (*Versioned, error) {
	versioned := &Versioned{ID: id, Service: service, stage: stage, version: version, address: "127.0.0.1:0"}
	if err := versioned.Start(version); err != nil {
		return nil, err
	}
	go versioned.run()
	return versioned, nil
}

// run checks in until the stage is closed.
func (versioned *Versioned) run() {
	ticker := time.NewTicker(heartbeatInterval)
	defer ticker.Stop()
	for {
		select {
		case <-versioned.stage.ctx.Done():
			versioned.Crash()
			return
		case <-ticker.C:
			versioned.checkIn()
		}
	}
}

// Start starts the process of the runner at its address, and writes its entry at once.
func (versioned *Versioned) Start(version int) error {
	config := net.ListenConfig{}
	listener, err := config.Listen(context.Background(), "tcp", versioned.address)
	if err != nil {
		return err
	}
	process := &process{runner: versioned, version: version, born: time.Now().UnixMilli()}
	versioned.mu.Lock()
	versioned.address = listener.Addr().String()
	versioned.version, versioned.born, versioned.seq, versioned.up = version, process.born, 0, true
	versioned.listener, versioned.server = listener, &http.Server{Handler: process}
	server := &server{server: versioned.server, listener: listener}
	versioned.mu.Unlock()
	go server.run()
	versioned.checkIn()
	return nil
}

// Crash ends the process of the runner. It sends nothing, and its entry stays.
func (versioned *Versioned) Crash() {
	versioned.mu.Lock()
	defer versioned.mu.Unlock()
	versioned.up = false
	_ = versioned.server.Close()
}

func (versioned *Versioned) checkIn() {
	versioned.mu.Lock()
	defer versioned.mu.Unlock()
	if !versioned.up {
		return
	}
	versioned.seq++
	value, err := json.Marshal(map[string]any{
		"service": versioned.Service, "address": versioned.address, "zone": "richard-toll", "version": "v" + strconv.Itoa(versioned.version),
		"slots": 64, "state": "ready", "cold-remaining-ms": 0, "seq": versioned.seq, "born": versioned.born, "stage": "colocated",
		"models": []map[string]any{{"name": "m", "version": 1, "adapters": []string{}}},
	})
	if err != nil {
		panic(err)
	}
	versioned.stage.Store.Write(platform.Record{Table: "servers", Key: platform.Key(versioned.ID), Value: value})
}

// process is one start of a Versioned runner.
type process struct {
	runner  *Versioned
	version int
	born    int64
}

// ServeHTTP answers one request.
func (process *process) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	header := writer.Header()
	switch request.URL.Path {
	case "/report":
		writeJSON(writer, map[string]any{"stage": "colocated", "busy": false, "seq": 0, "waiting": 0, "running": 0, "kv-used": 0, "kv-total": 606363, "handles": 0, "born": process.born})
		return
	case "/kv-list":
		writeJSON(writer, map[string]any{"epoch": 1, "next": 0, "held": []any{}})
		return
	}
	attempt := request.Header.Get("Hickoryhead-Attempt-Id")
	header.Set("Hickoryhead-Attempt-Id", attempt)
	if request.Header.Get("Hickoryhead-Expect-Instance") != process.runner.ID {
		writer.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	_, _ = io.Copy(io.Discard, request.Body)
	last, _ := strconv.Atoi(request.Header.Get("Last-Event-Id"))
	header.Set("Hickoryhead-Response-Signature", "sig-"+attempt)
	header.Set("Content-Type", "text/event-stream")
	// Idle channels are closed after a second.
	header.Set("Keep-Alive", "timeout=1")
	controller := http.NewResponseController(writer)
	for id := last + 1; id <= StreamEvents; id++ {
		time.Sleep(eventInterval)
		if _, err := fmt.Fprintf(writer, "id: %d\ndata: v%d of %s\n\n", id, process.version, process.runner.ID); err != nil {
			return
		}
		if controller.Flush() != nil {
			return
		}
	}
}
