package standin

import (
	"context"
	"io"
	"net/http"
	"strconv"

	"github.com/hickoryhead/hickoryhead/ident"
	"github.com/hickoryhead/hickoryhead/platform"
)

// ServeHTTP serves the platform's protocol, the switches and the counters.
func (platform *Platform) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	platform.once.Do(platform.prepare)
	platform.mux.ServeHTTP(writer, request)
}

func (platform *Platform) prepare() {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/table/commit", platform.serveCommit)
	mux.HandleFunc("GET /v1/table/rows", platform.serveRows)
	mux.HandleFunc("GET /v1/table/scan", platform.serveScan)
	mux.HandleFunc("GET /v1/objects/{name...}", platform.serveGetObject)
	mux.HandleFunc("PUT /v1/objects/{name...}", platform.servePutObject)
	mux.HandleFunc("DELETE /v1/objects/{name...}", platform.serveDeleteObject)
	mux.HandleFunc("GET /v1/vms", platform.serveVMs)
	mux.HandleFunc("PUT /v1/vms/{id}", platform.servePutVM)
	mux.HandleFunc("DELETE /v1/vms/{id}", platform.serveDeleteVM)
	mux.HandleFunc("GET /v1/switches", platform.serveSwitches)
	mux.HandleFunc("POST /v1/switches", platform.serveSwitches)
	mux.HandleFunc("GET /v1/counters", platform.serveCounters)
	platform.mux = mux
}

// admit waits for the delay in force and reports whether the table and the
// object store may be used. Where it reports false, it has answered.
func (platform *Platform) admit(ctx context.Context, writer http.ResponseWriter, limit *limit) bool {
	delay, allowed := platform.gate(limit)
	if !allowed {
		http.Error(writer, "unavailable", http.StatusServiceUnavailable)
		return false
	}
	return platform.sleep(ctx, delay) == nil
}

func (platform *Platform) serveCommit(writer http.ResponseWriter, request *http.Request) {
	transaction, valid := readTransaction(writer, request)
	// A delayed commit takes effect whether or not its sender still waits.
	ctx := context.WithoutCancel(request.Context())
	if !valid || !platform.admit(ctx, writer, &platform.writeLimit) {
		return
	}
	platform.mu.Lock()
	committed, conflict, applied := platform.commit(transaction)
	lost := applied && platform.loses()
	platform.mu.Unlock()
	switch {
	case lost:
		panic(http.ErrAbortHandler)
	case applied:
		writeJSON(writer, http.StatusOK, committed)
	default:
		writeJSON(writer, http.StatusConflict, conflict)
	}
}

func (platform *Platform) serveRows(writer http.ResponseWriter, request *http.Request) {
	if !platform.admit(request.Context(), writer, &platform.readLimit) {
		return
	}
	keys := keysOf(request)
	platform.mu.Lock()
	rows := platform.table.read(keys)
	platform.countRead(rows)
	platform.mu.Unlock()
	writeJSON(writer, http.StatusOK, rows)
}

func (platform *Platform) serveScan(writer http.ResponseWriter, request *http.Request) {
	if !platform.admit(request.Context(), writer, &platform.readLimit) {
		return
	}
	prefix, after, limit := scanOf(request)
	platform.mu.Lock()
	rows := platform.table.scan(prefix, after, limit)
	platform.countRead(rows)
	platform.mu.Unlock()
	writeJSON(writer, http.StatusOK, rows)
}

func (platform *Platform) serveGetObject(writer http.ResponseWriter, request *http.Request) {
	if !platform.admit(request.Context(), writer, &platform.readLimit) {
		return
	}
	platform.mu.Lock()
	body, found := platform.objects[request.PathValue("name")]
	platform.counters.ObjectReads++
	platform.mu.Unlock()
	if !found {
		http.NotFound(writer, request)
		return
	}
	writer.Header().Set("Content-Type", "application/octet-stream")
	_, _ = writer.Write(body)
}

func (platform *Platform) servePutObject(writer http.ResponseWriter, request *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(writer, request.Body, maxBodyBytes))
	if err != nil {
		http.Error(writer, err.Error(), http.StatusBadRequest)
		return
	}
	if !platform.admit(context.WithoutCancel(request.Context()), writer, &platform.writeLimit) {
		return
	}
	platform.mu.Lock()
	if platform.objects == nil {
		platform.objects = make(map[string][]byte)
	}
	platform.objects[request.PathValue("name")] = body
	platform.counters.ObjectWrites++
	platform.mu.Unlock()
	writer.WriteHeader(http.StatusNoContent)
}

func (platform *Platform) serveDeleteObject(writer http.ResponseWriter, request *http.Request) {
	if !platform.admit(context.WithoutCancel(request.Context()), writer, &platform.writeLimit) {
		return
	}
	platform.mu.Lock()
	delete(platform.objects, request.PathValue("name"))
	platform.counters.ObjectWrites++
	platform.mu.Unlock()
	writer.WriteHeader(http.StatusNoContent)
}

func (platform *Platform) serveVMs(writer http.ResponseWriter, request *http.Request) {
	state, unchanged, allowed := platform.vms(request.Header.Get("If-None-Match"))
	if !allowed {
		http.Error(writer, "unavailable", http.StatusServiceUnavailable)
		return
	}
	writer.Header().Set("ETag", state.etag)
	if unchanged {
		writer.WriteHeader(http.StatusNotModified)
		return
	}
	writer.Header().Set("Content-Type", "application/json")
	_, _ = writer.Write(state.body)
}

func (platform *Platform) servePutVM(writer http.ResponseWriter, request *http.Request) {
	vm, valid := readVM(writer, request)
	if !valid {
		return
	}
	platform.PutVM(vm)
	writer.WriteHeader(http.StatusNoContent)
}

func (platform *Platform) serveDeleteVM(writer http.ResponseWriter, request *http.Request) {
	platform.DeleteVM(ident.VMID(request.PathValue("id")))
	writer.WriteHeader(http.StatusNoContent)
}

func (platform *Platform) serveSwitches(writer http.ResponseWriter, request *http.Request) {
	switches := platform.Switches()
	if request.Method == http.MethodPost {
		if !readJSON(writer, request, &switches) {
			return
		}
		platform.Switch(switches)
	}
	writeJSON(writer, http.StatusOK, switches)
}

func (platform *Platform) serveCounters(writer http.ResponseWriter, _ *http.Request) {
	writeJSON(writer, http.StatusOK, platform.Counters())
}

func readTransaction(writer http.ResponseWriter, request *http.Request) (platform.Transaction, bool) {
	var transaction platform.Transaction
	valid := readJSON(writer, request, &transaction)
	return transaction, valid
}

func readVM(writer http.ResponseWriter, request *http.Request) (platform.VM, bool) {
	var vm platform.VM
	if !readJSON(writer, request, &vm) {
		return vm, false
	}
	vm.ID = ident.VMID(request.PathValue("id"))
	if !ident.Valid(vm.ID) {
		http.Error(writer, "invalid VM ID", http.StatusBadRequest)
		return vm, false
	}
	return vm, true
}

func keysOf(request *http.Request) []platform.Key {
	var keys []platform.Key
	for _, key := range request.URL.Query()["key"] {
		keys = append(keys, platform.Key(key))
	}
	return keys
}

func scanOf(request *http.Request) (prefix string, after platform.Key, limit int) {
	query := request.URL.Query()
	limit, err := strconv.Atoi(query.Get("limit"))
	if err != nil || limit < 1 || limit > maxScanRows {
		limit = maxScanRows
	}
	return query.Get("prefix"), platform.Key(query.Get("after")), limit
}
