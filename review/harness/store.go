package main

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

const (
	// storeLatency is the time that the store takes for an answer.
	storeLatency = 4 * time.Millisecond
	// maxFeedWait is the longest wait that a feed call may ask for.
	maxFeedWait = 30 * time.Second
	// maxRows is the largest number of rows in one answer.
	maxRows = 500
)

// rowID names a row.
type rowID struct {
	table, part, key string
}

// wireRow is a row on the wire.
type wireRow struct {
	Table     string `json:"table"`
	Part      string `json:"part"`
	Key       string `json:"key"`
	Value     []byte `json:"value,omitempty"`
	Version   uint64 `json:"row-version"`
	Tombstone bool   `json:"tombstone,omitempty"`
}

// wireAnswer is the answer to a call about rows.
type wireAnswer struct {
	Rows      []wireRow `json:"rows"`
	Version   uint64    `json:"row-version"`
	Truncated bool      `json:"truncated"`
	Now       int64     `json:"now-ms"`
}

// store is a stand-in for the platform's metadata store.
type store struct {
	began time.Time

	mu      sync.Mutex
	version uint64
	rows    map[rowID]wireRow
	changed chan struct{}
}

func newStore() *store {
	return &store{began: time.Now(), rows: make(map[rowID]wireRow), changed: make(chan struct{})}
}

// listen serves the store on a free port and returns its address.
func (store *store) listen() (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /rows-tx", store.serveTransaction)
	mux.HandleFunc("GET /rows-get", store.serveGet)
	mux.HandleFunc("GET /rows-feed", store.serveFeed)
	go func() { _ = http.Serve(listener, mux) }()
	return listener.Addr().String(), nil
}

// put writes a row and returns the time of the acknowledgement.
func (store *store) put(table, key string, value any) time.Time {
	encoded, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	store.mu.Lock()
	defer store.mu.Unlock()
	store.apply([]wireRow{{Table: table, Key: key, Value: encoded}}, nil)
	return time.Now()
}

// remove removes a row and returns the time of the acknowledgement.
func (store *store) remove(table, key string) time.Time {
	store.mu.Lock()
	defer store.mu.Unlock()
	store.apply(nil, []wireRow{{Table: table, Key: key}})
	return time.Now()
}

// apply carries out a transaction. The caller holds mu.
func (store *store) apply(writes, removals []wireRow) {
	store.version++
	for _, row := range writes {
		row.Version, row.Tombstone = store.version, false
		store.rows[rowID{row.Table, row.Part, row.Key}] = row
	}
	for _, row := range removals {
		id := rowID{row.Table, row.Part, row.Key}
		if known, found := store.rows[id]; found && !known.Tombstone {
			store.rows[id] = wireRow{Table: row.Table, Part: row.Part, Key: row.Key, Version: store.version, Tombstone: true}
		}
	}
	close(store.changed)
	store.changed = make(chan struct{})
}

func (store *store) serveTransaction(writer http.ResponseWriter, request *http.Request) {
	time.Sleep(storeLatency)
	var transaction struct {
		Expected []wireRow `json:"expected-rev"`
		Writes   []wireRow `json:"writes"`
		Remove   []wireRow `json:"remove"`
	}
	body, err := io.ReadAll(request.Body)
	if err == nil {
		err = json.Unmarshal(body, &transaction)
	}
	if err != nil {
		http.Error(writer, err.Error(), http.StatusBadRequest)
		return
	}
	store.mu.Lock()
	defer store.mu.Unlock()
	var current []wireRow
	conflict := false
	for _, expected := range transaction.Expected {
		row := store.rows[rowID{expected.Table, expected.Part, expected.Key}]
		version := row.Version
		if row.Tombstone {
			version = 0
		}
		conflict = conflict || version != expected.Version
		if version != 0 {
			current = append(current, row)
		}
	}
	status := http.StatusOK
	if conflict {
		status = http.StatusPreconditionFailed
	} else {
		current = nil
		store.apply(transaction.Writes, transaction.Remove)
	}
	store.answer(writer, status, current, false)
}

func (store *store) serveGet(writer http.ResponseWriter, request *http.Request) {
	time.Sleep(storeLatency)
	query := request.URL.Query()
	store.mu.Lock()
	defer store.mu.Unlock()
	var found []wireRow
	for id, row := range store.rows {
		inRange := id.key >= query.Get("from") && (query.Get("to") == "" || id.key < query.Get("to"))
		if id.table == query.Get("table") && id.part == query.Get("part") && inRange && !row.Tombstone {
			found = append(found, row)
		}
	}
	sort.Slice(found, func(i, j int) bool { return found[i].Key < found[j].Key })
	limit, err := strconv.Atoi(query.Get("limit"))
	if err != nil || limit <= 0 || limit > maxRows {
		limit = maxRows
	}
	truncated := len(found) > limit
	store.answer(writer, http.StatusOK, found[:min(len(found), limit)], truncated)
}

func (store *store) serveFeed(writer http.ResponseWriter, request *http.Request) {
	time.Sleep(storeLatency)
	query := request.URL.Query()
	after, _ := strconv.ParseUint(query.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(query.Get("wait-ms"))
	deadline := time.After(min(time.Duration(wait)*time.Millisecond, maxFeedWait))
	for {
		store.mu.Lock()
		changed := store.changed
		var found []wireRow
		for id, row := range store.rows {
			if id.table == query.Get("table") && row.Version > after {
				found = append(found, row)
			}
		}
		if len(found) > 0 || wait <= 0 {
			sort.Slice(found, func(i, j int) bool { return found[i].Version < found[j].Version })
			store.answer(writer, http.StatusOK, found, false)
			store.mu.Unlock()
			return
		}
		store.mu.Unlock()
		select {
		case <-changed:
		case <-request.Context().Done():
			return
		case <-deadline:
			wait = 0
		}
	}
}

// answer writes an answer about rows. The caller holds mu.
func (store *store) answer(writer http.ResponseWriter, status int, rows []wireRow, truncated bool) {
	if rows == nil {
		rows = []wireRow{}
	}
	body, err := json.Marshal(wireAnswer{Rows: rows, Version: store.version, Truncated: truncated, Now: time.Since(store.began).Milliseconds()})
	if err != nil {
		panic(err)
	}
	writer.Header().Set("Content-Type", "application/json")
	writer.WriteHeader(status)
	_, _ = writer.Write(body)
}
