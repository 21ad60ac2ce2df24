package sidecar

import (
	"bufio"
	"context"
	"crypto/subtle"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/hickoryhead/hickoryhead/answer"
	"github.com/hickoryhead/hickoryhead/bodylimit"
	"github.com/hickoryhead/hickoryhead/ident"
	"github.com/hickoryhead/hickoryhead/result"
)

// maxHopBytes limits the HTTP body of one request from a router.
const maxHopBytes = 64 << 20

// heartbeatInterval is the interval at which the server sends an empty line while
// there is no frame to send, to show that it is alive.
const heartbeatInterval = time.Second

// Server serves the HTTP interface of a Sidecar to routers and other sidecars.
type Server struct {
	Sidecar *Sidecar
	// Token is the bearer token that clients have to send; empty disables the
	// check.
	Token string
	// OnDrained is called by Finish when no admitted request remains. It may be
	// nil.
	OnDrained func(ctx context.Context)
}

// Handler returns the handler of the HTTP interface. Health, readiness and metrics
// need no token.
func (server *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/run", server.authorized(server.run))
	mux.HandleFunc("GET /v1/answers/{request}", server.authorized(server.resume))
	mux.HandleFunc("DELETE /v1/answers/{request}", server.authorized(server.cancel))
	mux.HandleFunc("POST /v1/attempts/{attempt}/abandon", server.authorized(server.abandon))
	mux.HandleFunc("GET /v1/prefixes/{chat}", server.authorized(server.export))
	mux.HandleFunc("POST /v1/prefixes/{chat}/fetch", server.authorized(server.fetch))
	mux.HandleFunc("POST /v1/drain", server.authorized(server.drain))
	mux.HandleFunc("GET /v1/status", server.authorized(server.status))
	mux.HandleFunc("GET /health", server.health)
	mux.HandleFunc("GET /ready", server.ready)
	mux.Handle("GET /metrics", server.Sidecar.Metrics.Handler())
	return mux
}

func (server *Server) authorized(handle http.HandlerFunc) http.HandlerFunc {
	want := []byte("Bearer " + server.Token)
	return func(writer http.ResponseWriter, request *http.Request) {
		got := []byte(request.Header.Get("Authorization"))
		if server.Token != "" && subtle.ConstantTimeCompare(got, want) != 1 {
			server.refuse(writer, &result.Error{Code: result.Unauthenticated})
			return
		}
		handle(writer, request)
	}
}

// refuse responds with a problem and counts it.
func (server *Server) refuse(writer http.ResponseWriter, refusal *result.Error) {
	server.Sidecar.Metrics.CountRefusal(refusal.Code)
	server.writeState(writer)
	writeJSON(writer, refusal.Code.Status(), refusal.Problem(server.Sidecar.now()))
}

// refuseStart responds to a request that was not admitted, with the upstream to
// try instead if err names one.
func (server *Server) refuseStart(writer http.ResponseWriter, err error) {
	state := server.Sidecar.State()
	var redirect *redirectError
	if errors.As(err, &redirect) {
		state.Designated = redirect.designated
		state.Lighter = redirect.lessLoaded
	}
	refusal := result.From(err, result.NotReady)
	server.Sidecar.Metrics.CountRefusal(refusal.Code)
	setState(writer, state)
	writeJSON(writer, refusal.Code.Status(), refusal.Problem(server.Sidecar.now()))
}

func (server *Server) writeState(writer http.ResponseWriter) {
	setState(writer, server.Sidecar.State())
}

func setState(writer http.ResponseWriter, state State) {
	encoded, err := json.Marshal(state)
	if err != nil {
		return
	}
	writer.Header().Set(HeaderState, string(encoded))
}

func writeJSON(writer http.ResponseWriter, status int, value any) {
	writer.Header().Set("Content-Type", "application/json")
	writer.WriteHeader(status)
	_ = json.NewEncoder(writer).Encode(value)
}

// run handles POST /v1/run.
func (server *Server) run(writer http.ResponseWriter, request *http.Request) {
	call, body, resumeText, err := readCall(writer, request)
	if err != nil {
		server.refuse(writer, result.From(err, result.MalformedBody))
		return
	}
	started, err := server.Sidecar.start(request.Context(), call, body, resumeText)
	if err != nil {
		server.refuseStart(writer, err)
		return
	}
	server.stream(writer, request, started, call.ResumeFrames+1)
}

// readCall reads the call from the header of POST /v1/run and splits the body into
// the caller's body and the text generated so far.
func readCall(writer http.ResponseWriter, request *http.Request) (call Call, body []byte, resumeText string, err error) {
	if err := json.Unmarshal([]byte(request.Header.Get(HeaderCall)), &call); err != nil {
		return call, nil, "", result.Errorf(result.InvalidHeader, "%s: %v", HeaderCall, err)
	}
	if !ident.Valid(call.Request) || !ident.Valid(call.Attempt) {
		return call, nil, "", result.Errorf(result.InvalidHeader, "%s: invalid request or attempt ID", HeaderCall)
	}
	content, err := io.ReadAll(http.MaxBytesReader(writer, request.Body, maxHopBytes))
	if code := bodylimit.Refusal(err); code != result.OK {
		return call, nil, "", &result.Error{Code: code}
	}
	if err != nil {
		return call, nil, "", result.Errorf(result.MalformedBody, "%v", err)
	}
	if call.BodyBytes < 0 || call.BodyBytes > len(content) {
		return call, nil, "", result.Errorf(result.InvalidHeader, "%s: BodyBytes is %d, but the HTTP body has %d bytes", HeaderCall, call.BodyBytes, len(content))
	}
	return call, content[:call.BodyBytes], string(content[call.BodyBytes:]), nil
}

// resume handles GET /v1/answers/{request}?From=N&Workspace=W.
func (server *Server) resume(writer http.ResponseWriter, request *http.Request) {
	from, err := strconv.ParseUint(request.FormValue("From"), 10, 64)
	if err != nil || from == 0 {
		server.refuse(writer, result.Errorf(result.InvalidHeader, "From: want a frame number of 1 or more"))
		return
	}
	execution, err := server.lookup(request)
	if err != nil {
		server.refuse(writer, result.From(err, result.UnknownAnswer))
		return
	}
	if !execution.retainsFrom(answer.Seq(from)) {
		server.refuse(writer, result.Errorf(result.AnswerExpired, "frame %d is not kept", from))
		return
	}
	server.stream(writer, request, execution, answer.Seq(from))
}

// lookup returns the execution that the path and query of request identify.
func (server *Server) lookup(request *http.Request) (*execution, error) {
	id := ident.RequestID(request.PathValue("request"))
	workspace := ident.WorkspaceID(request.FormValue("Workspace"))
	return server.Sidecar.lookup(id, workspace)
}

// stream writes the frames from next on as they are produced. All frames that are
// available are written together; no frame is delayed to wait for others. An empty
// line is a heartbeat.
func (server *Server) stream(writer http.ResponseWriter, request *http.Request, execution *execution, next answer.Seq) {
	reader := execution.attach()
	defer func() { execution.detach(reader, server.Sidecar.now()) }()
	server.writeState(writer)
	writer.Header().Set("Content-Type", ContentTypeFrames)
	writer.WriteHeader(http.StatusOK)
	controller := http.NewResponseController(writer)
	buffered := bufio.NewWriter(writer)
	heartbeat := time.NewTicker(heartbeatInterval)
	defer heartbeat.Stop()
	if controller.Flush() != nil {
		return
	}
	for {
		frames, finished, retained := execution.next(reader, next)
		if !retained || writeFrames(buffered, frames) != nil || controller.Flush() != nil {
			return
		}
		next += answer.Seq(len(frames))
		if finished {
			return
		}
		select {
		case <-reader.wakeup:
		case <-heartbeat.C:
			if buffered.WriteByte('\n') != nil {
				return
			}
		case <-request.Context().Done():
			return
		}
	}
}

// writeFrames writes frames, one JSON value per line, and flushes buffered.
func writeFrames(buffered *bufio.Writer, frames []answer.Frame) error {
	for _, frame := range frames {
		line, err := frame.AppendJSON(buffered.AvailableBuffer())
		if err != nil {
			return err
		}
		if _, err := buffered.Write(line); err != nil {
			return err
		}
	}
	return buffered.Flush()
}

// cancel handles DELETE /v1/answers/{request}?Workspace=W.
func (server *Server) cancel(writer http.ResponseWriter, request *http.Request) {
	id := ident.RequestID(request.PathValue("request"))
	workspace := ident.WorkspaceID(request.FormValue("Workspace"))
	if err := server.Sidecar.Cancel(id, workspace); err != nil {
		server.refuse(writer, result.From(err, result.UnknownAnswer))
		return
	}
	server.writeState(writer)
	writer.WriteHeader(http.StatusNoContent)
}

// abandon handles POST /v1/attempts/{attempt}/abandon.
func (server *Server) abandon(writer http.ResponseWriter, request *http.Request) {
	attempt := ident.AttemptID(request.PathValue("attempt"))
	state := server.Sidecar.Abandon(attempt)
	server.writeState(writer)
	writeJSON(writer, http.StatusOK, Abandoned{State: state})
}

// drain handles POST /v1/drain.
func (server *Server) drain(writer http.ResponseWriter, _ *http.Request) {
	server.Sidecar.Leave()
	server.writeState(writer)
	writeJSON(writer, http.StatusOK, server.Sidecar.Status())
}

// status handles GET /v1/status.
func (server *Server) status(writer http.ResponseWriter, _ *http.Request) {
	server.writeState(writer)
	writeJSON(writer, http.StatusOK, server.Sidecar.Status())
}

func (server *Server) health(writer http.ResponseWriter, _ *http.Request) {
	writer.WriteHeader(http.StatusOK)
}

// ready responds with 200 while the sidecar has settings and is not leaving.
func (server *Server) ready(writer http.ResponseWriter, _ *http.Request) {
	server.writeState(writer)
	view := server.Sidecar.View()
	if view == nil || view.Teams() == 0 || server.Sidecar.State().Leaving {
		writer.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	writer.WriteHeader(http.StatusOK)
}

// Finish refuses new requests, and waits until the admitted ones and their readers are
// done, or returns an error when ctx ends first.
func (server *Server) Finish(ctx context.Context) error {
	server.Sidecar.Leave()
	if err := server.Sidecar.Drained(ctx); err != nil {
		return err
	}
	if server.OnDrained != nil {
		server.OnDrained(ctx)
	}
	return nil
}
