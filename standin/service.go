package standin

import (
	"context"
	"io"
	"maps"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

// Service stands in for a plain service: it answers POST /v1/call/{operation}
// with a number, and counts how often each key ran. The zero value answers every
// operation at once and takes none for idempotent. Its fields are set before
// first use.
type Service struct {
	Clock

	// Idempotent are the operations whose runs are not counted.
	Idempotent []string
	// Delay is how long a call takes.
	Delay time.Duration
	// CrashMarker makes the service crash after it ran a call whose body
	// contains it; empty means never.
	CrashMarker string
	// OnCrash is called for a crash; nil cuts the connection of the call.
	OnCrash func()

	once sync.Once
	mux  *http.ServeMux

	mu       sync.Mutex
	runs     map[string]int
	last     int
	switches ServiceSwitches
}

// ServiceSwitches are the faults of a Service. The zero value has none. POST
// /v1/switches changes the fields that its JSON body names.
type ServiceSwitches struct {
	// Outage refuses every call with status 503 before it runs.
	Outage bool
	// LoseAnswers is the number of coming calls that run while their
	// connection is cut in place of an answer.
	LoseAnswers int
	// SlowMs is added to the time of each call, in milliseconds.
	SlowMs int64
}

// Confirmation is the answer to a call.
type Confirmation struct {
	Operation    string
	Confirmation int
}

// Runs is the answer to GET /v1/runs: how often each key ran. A key stands after
// its workspace, as in "grocer-1/print-run-17"; calls without a key count under
// the workspace alone.
type Runs struct {
	Runs map[string]int
}

// ServeHTTP serves the calls, the runs and the switches.
func (service *Service) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	service.once.Do(service.prepare)
	service.mux.ServeHTTP(writer, request)
}

func (service *Service) prepare() {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/call/{operation}", service.serveCall)
	mux.HandleFunc("GET /v1/runs", service.serveRuns)
	mux.HandleFunc("GET /v1/switches", service.serveSwitches)
	mux.HandleFunc("POST /v1/switches", service.serveSwitches)
	service.mux = mux
}

// Runs returns how often each key ran.
func (service *Service) Runs() Runs {
	service.mu.Lock()
	defer service.mu.Unlock()
	return Runs{Runs: maps.Clone(service.runs)}
}

// Switches returns the switches in force.
func (service *Service) Switches() ServiceSwitches {
	service.mu.Lock()
	defer service.mu.Unlock()
	return service.switches
}

// Switch puts switches in force.
func (service *Service) Switch(switches ServiceSwitches) {
	service.mu.Lock()
	defer service.mu.Unlock()
	service.switches = switches
}

func (service *Service) serveCall(writer http.ResponseWriter, request *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(writer, request.Body, maxBodyBytes))
	if err != nil {
		http.Error(writer, err.Error(), http.StatusBadRequest)
		return
	}
	run, refused := service.run(request)
	if refused {
		http.Error(writer, "unavailable", http.StatusServiceUnavailable)
		return
	}
	// A call that has begun runs to its end, whether or not its sender waits.
	_ = service.sleep(context.WithoutCancel(request.Context()), service.Delay+run.slow)
	if service.CrashMarker != "" && strings.Contains(string(body), service.CrashMarker) {
		service.crash()
	}
	if run.lost {
		panic(http.ErrAbortHandler)
	}
	writeJSON(writer, http.StatusOK, run.confirmation)
}

// serviceRun is what became of one call.
type serviceRun struct {
	confirmation Confirmation
	slow         time.Duration
	lost         bool
}

// run carries out the call, or refuses it.
func (service *Service) run(request *http.Request) (run serviceRun, refused bool) {
	service.mu.Lock()
	defer service.mu.Unlock()
	if service.switches.Outage {
		return serviceRun{}, true
	}
	operation := request.PathValue("operation")
	service.last++
	if !slices.Contains(service.Idempotent, operation) {
		service.count(request)
	}
	run = serviceRun{
		confirmation: Confirmation{Operation: operation, Confirmation: service.last},
		slow:         milliseconds(service.switches.SlowMs),
		lost:         service.switches.LoseAnswers > 0,
	}
	if run.lost {
		service.switches.LoseAnswers--
	}
	return run, false
}

func (service *Service) count(request *http.Request) {
	if service.runs == nil {
		service.runs = make(map[string]int)
	}
	name := request.Header.Get("Hickoryhead-Workspace")
	if key := request.Header.Get("Idempotency-Key"); key != "" {
		name += "/" + key
	}
	service.runs[name]++
}

func (service *Service) crash() {
	if service.OnCrash != nil {
		service.OnCrash()
	}
	panic(http.ErrAbortHandler)
}

func (service *Service) serveRuns(writer http.ResponseWriter, _ *http.Request) {
	writeJSON(writer, http.StatusOK, service.Runs())
}

func (service *Service) serveSwitches(writer http.ResponseWriter, request *http.Request) {
	switches := service.Switches()
	if request.Method == http.MethodPost {
		if !readJSON(writer, request, &switches) {
			return
		}
		service.Switch(switches)
	}
	writeJSON(writer, http.StatusOK, switches)
}
