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
	"github.com/hickoryhead/hickoryhead/ident"
	"github.com/hickoryhead/hickoryhead/result"
)

// maxHopBytes bounds the HTTP body of one request on the hop.
const maxHopBytes = 64 << 20

// heartbeatInterval is the time between the empty lines by which a sidecar that
// has no frame to send shows that it is alive.
const heartbeatInterval = time.Second

// lingerTime is how long a drained sidecar still answers before its listener is
// closed.
const lingerTime = time.Second

// Server serves a Sidecar to routers over HTTP.
type Server struct {
	Sidecar *Sidecar
	// Token is the bearer token that routers send; empty admits everyone.
	Token string
	// Drained is called by Finish once no admitted work is left; nil does
	// nothing.
	Drained func(ctx context.Context)
}

// Handler returns the HTTP interface of the hop.
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

// refuse answers with a problem and counts it.
func (server *Server) refuse(writer http.ResponseWriter, refusal *result.Error) {
	server.Sidecar.Metrics.CountRefusal(refusal.Code)
	server.writeState(writer)
	writeJSON(writer, refusal.Code.Status(), refusal.Problem(server.Sidecar.now()))
}

// refuseStart answers a request that was not admitted.
func (server *Server) refuseStart(writer http.ResponseWriter, err error) {
	state := server.Sidecar.State()
	var directed *directedError
	if errors.As(err, &directed) {
		state.Designated = directed.designated
		state.Lighter = directed.lighter
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

// readCall reads the header and the body of POST /v1/run.
func readCall(writer http.ResponseWriter, request *http.Request) (call Call, body []byte, resumeText string, err error) {
	if err := json.Unmarshal([]byte(request.Header.Get(HeaderCall)), &call); err != nil {
		return call, nil, "", result.Errorf(result.InvalidHeader, "%s: %v", HeaderCall, err)
	}
	if !ident.Valid(call.Request) || !ident.Valid(call.Attempt) {
		return call, nil, "", result.Errorf(result.InvalidHeader, "%s: invalid identifier", HeaderCall)
	}
	whole, err := io.ReadAll(http.MaxBytesReader(writer, request.Body, maxHopBytes))
	if err != nil {
		return call, nil, "", result.Errorf(result.MalformedBody, "%v", err)
	}
	if call.BodyBytes < 0 || call.BodyBytes > len(whole) {
		return call, nil, "", result.Errorf(result.InvalidHeader, "%s: BodyBytes %d of %d", HeaderCall, call.BodyBytes, len(whole))
	}
	return call, whole[:call.BodyBytes], string(whole[call.BodyBytes:]), nil
}

// resume handles GET /v1/answers/{request}?From=N&Workspace=W.
func (server *Server) resume(writer http.ResponseWriter, request *http.Request) {
	from, err := strconv.ParseUint(request.FormValue("From"), 10, 64)
	if err != nil || from == 0 {
		server.refuse(writer, result.Errorf(result.InvalidHeader, "From: want a frame number from 1"))
		return
	}
	held, err := server.lookup(request)
	if err != nil {
		server.refuse(writer, result.From(err, result.UnknownAnswer))
		return
	}
	if !held.holds(answer.Seq(from)) {
		server.refuse(writer, result.Errorf(result.AnswerExpired, "frame %d", from))
		return
	}
	server.stream(writer, request, held, answer.Seq(from))
}

func (server *Server) lookup(request *http.Request) (*execution, error) {
	id := ident.RequestID(request.PathValue("request"))
	workspace := ident.WorkspaceID(request.FormValue("Workspace"))
	return server.Sidecar.held(id, workspace)
}

// stream writes the frames from next on as they come. Frames that are ready
// together are written together, and none waits for another. An empty line is a
// heartbeat.
func (server *Server) stream(writer http.ResponseWriter, request *http.Request, held *execution, next answer.Seq) {
	reader := held.attach()
	defer func() { held.detach(reader, server.Sidecar.now()) }()
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
		frames, finished, whole := held.next(reader, next)
		if !whole || writeFrames(buffered, frames) != nil || controller.Flush() != nil {
			return
		}
		next += answer.Seq(len(frames))
		if finished {
			return
		}
		select {
		case <-reader.news:
		case <-heartbeat.C:
			if buffered.WriteByte('\n') != nil {
				return
			}
		case <-request.Context().Done():
			return
		}
	}
}

// writeFrames writes frames, one JSON value a line, in one go.
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

// ready answers 200 while new work may be sent here.
func (server *Server) ready(writer http.ResponseWriter, _ *http.Request) {
	server.writeState(writer)
	view := server.Sidecar.View()
	if view == nil || view.Teams() == 0 || server.Sidecar.State().Leaving {
		writer.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	writer.WriteHeader(http.StatusOK)
}

// Finish lets new work be refused and waits until the admitted work and its
// readers are done, or until ctx ends. Idle connections are closed while the
// listener is still open, so that a router whose request met a closing
// connection can ask what became of it and is told that it was not run.
func (server *Server) Finish(ctx context.Context, httpServer *http.Server) error {
	server.Sidecar.Leave()
	if err := server.Sidecar.Drained(ctx); err != nil {
		return err
	}
	if server.Drained != nil {
		server.Drained(ctx)
	}
	httpServer.SetKeepAlivesEnabled(false)
	linger := time.NewTimer(lingerTime)
	defer linger.Stop()
	select {
	case <-linger.C:
	case <-ctx.Done():
	}
	return httpServer.Shutdown(ctx)
}
