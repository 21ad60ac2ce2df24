package standin

import (
	"context"
	"net/http"
	"time"

	"github.com/hickoryhead/hickoryhead/ident"
	platformapi "github.com/hickoryhead/hickoryhead/platform"
)

// ServeHTTP serves the protocol of the platform, the switches and the counters.
func (platform *Platform) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	platform.once.Do(platform.prepare)
	platform.mux.ServeHTTP(writer, request)
}

func (platform *Platform) prepare() {
	mux := http.NewServeMux()
	store := &platformapi.StoreServer{
		Transact:     platform.serveTransact,
		Read:         platform.serveRead,
		Changes:      platform.serveChanges,
		PutObject:    platform.servePutObject,
		GetObject:    platform.serveGetObject,
		DeleteObject: platform.serveDeleteObject,
		Now:          platform.storeTime,
		Era:          platform.Era,
	}
	store.Register(mux)
	mux.HandleFunc("PUT /v1/vms/{id}", platform.servePutVM)
	mux.HandleFunc("DELETE /v1/vms/{id}", platform.serveDeleteVM)
	mux.HandleFunc("GET /v1/switches", platform.serveSwitches)
	mux.HandleFunc("POST /v1/switches", platform.serveSwitches)
	mux.HandleFunc("GET /v1/counters", platform.serveCounters)
	platform.mux = mux
}

// admit applies the current delay to a request to the store. It returns
// platformapi.ErrUnavailable if the request is refused, or the error of ctx.
func (platform *Platform) admit(ctx context.Context, limit *rateLimit) error {
	delay, allowed := platform.allowStoreCall(limit)
	if !allowed {
		return platformapi.ErrUnavailable
	}
	return platform.sleep(ctx, delay)
}

func (platform *Platform) serveTransact(ctx context.Context, batch platformapi.Batch) (ident.Revision, error) {
	if err := platform.admit(ctx, &platform.writeLimit); err != nil {
		return 0, err
	}
	platform.mu.Lock()
	defer platform.mu.Unlock()
	version, conflict, applied := platform.apply(batch)
	switch {
	case applied && platform.loseAnswer():
		return 0, platformapi.ErrLost
	case applied:
		return version, nil
	}
	return 0, &platformapi.ConflictError{Conflict: conflict}
}

func (platform *Platform) serveRead(ctx context.Context, wanted platformapi.Range) (platformapi.Records, error) {
	if wanted.Table == platformapi.VMTable {
		records, _, err := platform.readVMs(0)
		return records, err
	}
	if err := platform.admit(ctx, &platform.readLimit); err != nil {
		return platformapi.Records{}, err
	}
	platform.mu.Lock()
	defer platform.mu.Unlock()
	records := platform.table.read(wanted)
	platform.countRead(len(records.Records))
	return records, nil
}

// changesPollInterval is the time between two checks for a change while a call
// waits for one.
const changesPollInterval = 5 * time.Millisecond

func (platform *Platform) serveChanges(ctx context.Context, table platformapi.TableName, after ident.Revision, wait ident.Milliseconds) (platformapi.Records, error) {
	if table == platformapi.VMTable {
		records, unchanged, err := platform.readVMs(after)
		if unchanged {
			records.Records = nil
		}
		return records, err
	}
	if err := platform.admit(ctx, &platform.readLimit); err != nil {
		return platformapi.Records{}, err
	}
	end := platform.now().Add(wait.Duration())
	for {
		platform.mu.Lock()
		records, err := platform.table.changes(table, after)
		platform.countRead(len(records.Records))
		platform.mu.Unlock()
		if err != nil || len(records.Records) > 0 || !platform.now().Before(end) {
			return records, err
		}
		if err := platform.sleep(ctx, changesPollInterval); err != nil {
			return platformapi.Records{}, err
		}
	}
}

func (platform *Platform) serveGetObject(ctx context.Context, name string) ([]byte, error) {
	if err := platform.admit(ctx, &platform.readLimit); err != nil {
		return nil, err
	}
	platform.mu.Lock()
	defer platform.mu.Unlock()
	platform.counters.ObjectReads++
	body, found := platform.objects[name]
	if !found {
		return nil, platformapi.ErrNotFound
	}
	return body, nil
}

func (platform *Platform) servePutObject(ctx context.Context, name string, body []byte) error {
	if err := platform.admit(ctx, &platform.writeLimit); err != nil {
		return err
	}
	platform.mu.Lock()
	defer platform.mu.Unlock()
	if platform.objects == nil {
		platform.objects = make(map[string][]byte)
	}
	platform.objects[name] = body
	platform.counters.ObjectWrites++
	return nil
}

func (platform *Platform) serveDeleteObject(ctx context.Context, name string) error {
	if err := platform.admit(ctx, &platform.writeLimit); err != nil {
		return err
	}
	platform.mu.Lock()
	defer platform.mu.Unlock()
	delete(platform.objects, name)
	platform.counters.ObjectWrites++
	return nil
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

func readVM(writer http.ResponseWriter, request *http.Request) (platformapi.VM, bool) {
	var vm platformapi.VM
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

// storeTime returns the time of the store's clock.
func (platform *Platform) storeTime() ident.StoreTime {
	return ident.StoreTime(time.Now().UnixMilli())
}
