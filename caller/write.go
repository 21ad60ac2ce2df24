package caller

import (
	"bufio"
	"context"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"

	"github.com/hickoryhead/hickoryhead/answer"
	"github.com/hickoryhead/hickoryhead/ident"
	"github.com/hickoryhead/hickoryhead/jsonline"
	"github.com/hickoryhead/hickoryhead/result"
)

// The names of the server-sent events of an answer.
const (
	EventData  = "data"
	EventEnd   = "end"
	EventError = "error"
)

// EndEvent is the data of the last event of a whole answer.
type EndEvent struct {
	// Frames counts the data events of the whole answer.
	Frames uint64
	Status int
	// Cached and Prompt count the prompt's tokens found in the prefix cache,
	// and all of them.
	Cached ident.Tokens
	Prompt ident.Tokens
	// Affinity is the header to send with the chat's next request.
	Affinity string `json:",omitempty"`
	// Base64 says that the joined data is in base64, since a plain service's
	// answer was no valid UTF-8.
	Base64 bool `json:",omitempty"`
}

// Text is the JSON form of a model's whole answer.
type Text struct {
	Text   string
	Cached ident.Tokens
	Prompt ident.Tokens
}

func writeJSON(writer http.ResponseWriter, status int, value any) {
	writer.Header().Set("Content-Type", "application/json")
	writer.WriteHeader(status)
	_ = json.NewEncoder(writer).Encode(value)
}

// setHeaders names the answer and the upstream that gives it.
func (relay *relay) setHeaders(header http.Header) {
	header.Set(HeaderResult, result.OK.String())
	header.Set(HeaderAnswer, relay.answerID())
	if affinity := relay.affinity(); affinity != "" {
		header.Set(HeaderAffinity, affinity)
	}
}

// answerID names the answer for a caller that resumes it at any router.
func (relay *relay) answerID() string {
	return string(relay.entry.Upstream) + "~" + string(relay.incoming.id)
}

func (relay *relay) affinity() string {
	incoming := relay.incoming
	if incoming.chat == "" || incoming.route.Model == "" {
		return ""
	}
	return relay.server.tokens().seal(incoming.workspace, incoming.chat, relay.entry.Upstream)
}

// giveJSON writes the answer once it is whole.
func (server *Server) giveJSON(ctx context.Context, writer http.ResponseWriter, relay *relay) {
	var whole strings.Builder
	for {
		frames, err := relay.next(ctx)
		if err != nil {
			server.refuse(writer, result.From(err, result.OutcomeUnknown))
			return
		}
		for _, frame := range frames {
			whole.WriteString(frame.Data)
			if frame.End != nil {
				server.writeWhole(writer, relay, frame.End, whole.String())
				return
			}
		}
	}
}

func (server *Server) writeWhole(writer http.ResponseWriter, relay *relay, end *answer.End, text string) {
	server.Metrics.CountAnswer(result.Done)
	relay.setHeaders(writer.Header())
	if relay.incoming.route.Model != "" {
		writeJSON(writer, http.StatusOK, Text{Text: text, Cached: end.Cached, Prompt: end.Prompt})
		return
	}
	body := []byte(text)
	if end.Base64 {
		decoded, err := base64.StdEncoding.DecodeString(text)
		if err != nil {
			server.refuse(writer, result.Errorf(result.AnswerCut, "%v", err))
			return
		}
		body = decoded
	}
	writer.Header().Set("Content-Type", end.ContentType)
	writer.WriteHeader(end.Status)
	_, _ = writer.Write(body)
}

// giveEvents writes the answer as server-sent events, as its frames come.
func (server *Server) giveEvents(ctx context.Context, writer http.ResponseWriter, relay *relay) {
	frames, err := relay.next(ctx)
	if err != nil {
		server.refuse(writer, result.From(err, result.OutcomeUnknown))
		return
	}
	relay.setHeaders(writer.Header())
	writer.Header().Set("Content-Type", "text/event-stream")
	writer.Header().Set("Cache-Control", "no-store")
	writer.WriteHeader(http.StatusOK)
	events := &events{buffer: bufio.NewWriter(writer), controller: http.NewResponseController(writer)}
	for {
		if err != nil {
			server.failEvents(events, relay, result.From(err, result.AnswerCut))
			return
		}
		if events.frames(relay, frames) != nil || relay.assembler.Complete() {
			break
		}
		frames, err = relay.next(ctx)
	}
	if relay.assembler.Complete() {
		server.Metrics.CountAnswer(result.Done)
	}
}

// failEvents ends the events with an explicit error.
func (server *Server) failEvents(events *events, relay *relay, failure *result.Error) {
	server.Metrics.CountRefusal(failure.Code)
	server.Metrics.CountAnswer(failure.Code.Outcome())
	_ = events.write(EventError, failure.Problem(server.now()))
	_ = events.flush()
}

// events writes server-sent events. Frames that are ready together are written
// together.
type events struct {
	buffer     *bufio.Writer
	controller *http.ResponseController
}

func (events *events) frames(relay *relay, frames []answer.Frame) error {
	for _, frame := range frames {
		if err := events.frame(relay, frame); err != nil {
			return err
		}
	}
	return events.flush()
}

// frame writes one frame with the ID from which a caller may resume. An error
// event has no ID, so that the caller resumes after the last frame it has.
func (events *events) frame(relay *relay, frame answer.Frame) error {
	line := append(events.buffer.AvailableBuffer(), "id: "...)
	line = append(line, relay.entry.Upstream...)
	line = append(line, '~')
	line = append(line, relay.incoming.id...)
	line = append(line, '/')
	line = strconv.AppendUint(line, uint64(frame.Seq), 10)
	if frame.End == nil {
		line = append(line, "\nevent: "+EventData+"\ndata: "...)
		line = jsonline.AppendString(line, frame.Data)
		_, err := events.buffer.Write(append(line, "\n\n"...))
		return err
	}
	if _, err := events.buffer.Write(append(line, '\n')); err != nil {
		return err
	}
	end := EndEvent{
		Frames:   frame.End.Frames,
		Status:   frame.End.Status,
		Cached:   frame.End.Cached,
		Prompt:   frame.End.Prompt,
		Affinity: relay.affinity(),
		Base64:   frame.End.Base64,
	}
	return events.write(EventEnd, end)
}

func (events *events) write(event string, data any) error {
	encoded, err := json.Marshal(data)
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(events.buffer, "event: %s\ndata: %s\n\n", event, encoded)
	return err
}

func (events *events) flush() error {
	if err := events.buffer.Flush(); err != nil {
		return err
	}
	return events.controller.Flush()
}
