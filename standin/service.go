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

// Service is a stand-in for a plain service: it answers POST
// /v1/call/{operation} with a confirmation number and counts the runs of each
// idempotency key. The zero value answers every operation without delay and
// treats none as idempotent. Its fields must be set before first use.
type Service struct {
	Clock

	// Idempotent lists the operations whose runs are not counted.
	Idempotent []string
	// Delay is the time that a call takes.
	Delay time.Duration
	// CrashMarker makes the service crash after it has run a call whose body
	// contains it; empty means never.
	CrashMarker string
	// OnCrash, if set, is called when the service crashes, before the
	// connection of the call is closed without an answer.
	OnCrash func()

	once sync.Once
	mux  *http.ServeMux

	mu               sync.Mutex
	runs             map[string]int
	lastConfirmation int
	switches         ServiceSwitches
}

// ServiceSwitches are the injected faults of a Service. The zero value has none.
// POST /v1/switches changes the fields that its JSON body names.
type ServiceSwitches struct {
	// Outage refuses every call with status 503 before it runs.
	Outage bool
	// LoseAnswers is the number of following calls that run but whose
	// connection is closed without an answer.
	LoseAnswers int
	// SlowMs is added to the time of each call, in milliseconds.
	SlowMs int64
}

// Confirmation is the answer to a call.
type Confirmation struct {
	Operation    string
	Confirmation int
}

// Runs is the answer to GET /v1/runs: the number of runs of each idempotency key.
// A key is prefixed with its workspace, as in "grocer-1/print-run-17"; calls
// without a key are counted under the workspace alone.
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

// Runs returns a snapshot of the number of runs of each key.
func (service *Service) Runs() Runs {
	service.mu.Lock()
	defer service.mu.Unlock()
	return Runs{Runs: maps.Clone(service.runs)}
}

// Switches returns the current switches.
func (service *Service) Switches() ServiceSwitches {
	service.mu.Lock()
	defer service.mu.Unlock()
	return service.switches
}

// Switch replaces all switches.
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
	outcome, refused := service.execute(request)
	if refused {
		http.Error(writer, "unavailable", http.StatusServiceUnavailable)
		return
	}
	// A call that has started completes even if its sender disconnects.
	_ = service.sleep(context.WithoutCancel(request.Context()), service.Delay+outcome.extraDelay)
	if service.CrashMarker != "" && strings.Contains(string(body), service.CrashMarker) {
		service.crash()
	}
	if outcome.loseAnswer {
		panic(http.ErrAbortHandler)
	}
	writeJSON(writer, http.StatusOK, outcome.confirmation)
}

// callOutcome is the outcome of one call.
type callOutcome struct {
	confirmation Confirmation
	extraDelay   time.Duration
	loseAnswer   bool
}

// execute runs the call, unless an outage refuses it.
func (service *Service) execute(request *http.Request) (outcome callOutcome, refused bool) {
	service.mu.Lock()
	defer service.mu.Unlock()
	if service.switches.Outage {
		return callOutcome{}, true
	}
	operation := request.PathValue("operation")
	service.lastConfirmation++
	if !slices.Contains(service.Idempotent, operation) {
		service.countRun(request)
	}
	outcome = callOutcome{
		confirmation: Confirmation{Operation: operation, Confirmation: service.lastConfirmation},
		extraDelay:   milliseconds(service.switches.SlowMs),
		loseAnswer:   service.switches.LoseAnswers > 0,
	}
	if outcome.loseAnswer {
		service.switches.LoseAnswers--
	}
	return outcome, false
}

func (service *Service) countRun(request *http.Request) {
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
