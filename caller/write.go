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

// EndEvent is the data of the last event of a complete answer.
type EndEvent struct {
	// Frames is the number of data events of the complete answer.
	Frames uint64
	Status int
	// Cached is the number of the prompt's tokens that were found in the prefix
	// cache, and Prompt the number of all its tokens.
	Cached ident.Tokens
	Prompt ident.Tokens
	// Affinity is the value of the affinity header for the chat's next request.
	Affinity string `json:",omitempty"`
	// Base64 is set if the concatenated data is encoded in base64, because a
	// plain service's answer was not valid UTF-8.
	Base64 bool `json:",omitempty"`
}

// Text is the JSON form of a model's complete answer.
type Text struct {
	Text string
	// Cached and Prompt are those of EndEvent.
	Cached ident.Tokens
	Prompt ident.Tokens
}

func writeJSON(writer http.ResponseWriter, status int, value any) {
	writer.Header().Set("Content-Type", "application/json")
	writer.WriteHeader(status)
	_ = json.NewEncoder(writer).Encode(value)
}

// setHeaders sets the result, the ID of the answer and the affinity token.
func (relay *relay) setHeaders(header http.Header) {
	header.Set(HeaderResult, result.OK.String())
	header.Set(HeaderAnswer, relay.answerID())
	if affinity := relay.affinityToken(); affinity != "" {
		header.Set(HeaderAffinity, affinity)
	}
}

// answerID returns the ID of the answer. It contains the upstream, so that any
// router can resume the answer.
func (relay *relay) answerID() string {
	return string(relay.entry.Upstream) + "~" + string(relay.incoming.id)
}

// affinityToken returns the token for the chat's next request. It is empty for a
// request without a chat and for a plain service.
func (relay *relay) affinityToken() string {
	incoming := relay.incoming
	if incoming.chat == "" || incoming.route.Model == "" {
		return ""
	}
	return relay.server.tokens().seal(incoming.workspace, incoming.chat, relay.entry.Upstream)
}

// writeJSONAnswer writes the answer once it is complete.
func (server *Server) writeJSONAnswer(ctx context.Context, writer http.ResponseWriter, relay *relay) {
	var text strings.Builder
	for {
		frames, err := relay.next(ctx)
		if err != nil {
			server.refuse(writer, result.From(err, result.OutcomeUnknown))
			return
		}
		for _, frame := range frames {
			text.WriteString(frame.Data)
			if frame.End != nil {
				server.writeComplete(writer, relay, frame.End, text.String())
				return
			}
		}
	}
}

// writeComplete writes a complete answer: that of a model as Text, that of a plain
// service with its own status and content type.
func (server *Server) writeComplete(writer http.ResponseWriter, relay *relay, end *answer.End, text string) {
	relay.setHeaders(writer.Header())
	if relay.incoming.route.Model != "" {
		server.Metrics.CountAnswer(result.Done)
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
	server.Metrics.CountAnswer(result.Done)
	writer.Header().Set("Content-Type", end.ContentType)
	writer.WriteHeader(end.Status)
	_, _ = writer.Write(body)
}

// streamEvents writes the answer as server-sent events while its frames arrive.
func (server *Server) streamEvents(ctx context.Context, writer http.ResponseWriter, relay *relay) {
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
			server.writeErrorEvent(events, relay, result.From(err, result.AnswerCut))
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

// writeErrorEvent ends the stream with an error event.
func (server *Server) writeErrorEvent(events *events, relay *relay, failure *result.Error) {
	server.Metrics.CountRefusal(failure.Code)
	server.Metrics.CountAnswer(failure.Code.Outcome())
	_ = events.write(EventError, failure.Problem(server.now()))
	_ = events.flush()
}

// events writes server-sent events. Events are buffered until flush.
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

// frame writes one frame as an event with the ID from which a caller can resume.
// Error events have no ID, so that the caller resumes after the last frame that it
// received.
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
		Affinity: relay.affinityToken(),
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
