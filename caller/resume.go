package caller

import (
	"context"
	"net/http"
	"strconv"
	"strings"

	"github.com/kataras/iris/v12"

	"github.com/hickoryhead/hickoryhead/answer"
	"github.com/hickoryhead/hickoryhead/ident"
	"github.com/hickoryhead/hickoryhead/result"
)

// eventID is the parsed ID of an event, which has the form UPSTREAM~REQUEST/SEQ.
type eventID struct {
	upstream ident.UpstreamID
	request  ident.RequestID
	seq      answer.Seq
}

func parseEventID(text string) (eventID, error) {
	id, seqText, foundSeq := strings.Cut(text, "/")
	upstream, request, foundRequest := strings.Cut(id, "~")
	seq, err := strconv.ParseUint(seqText, 10, 64)
	parsed := eventID{upstream: ident.UpstreamID(upstream), request: ident.RequestID(request), seq: answer.Seq(seq)}
	if !foundSeq || !foundRequest || err != nil || !ident.Valid(parsed.upstream) || !ident.Valid(parsed.request) {
		return eventID{}, result.Errorf(result.InvalidHeader, "%s: want the ID of an event, UPSTREAM~REQUEST/SEQ", HeaderLastEventID)
	}
	return parsed, nil
}

// resume handles GET /v1/answers. It sends the events after Last-Event-ID.
func (server *Server) resume(ctx iris.Context) {
	server.active.Add(1)
	defer server.active.Add(-1)
	writer := ctx.ResponseWriter().Naive()
	request := ctx.Request()
	relay, err := server.resumedRelay(request)
	if err != nil {
		server.refuse(writer, result.From(err, result.UnknownAnswer))
		return
	}
	defer relay.close()
	if err := relay.resumeAtSidecar(request.Context()); err != nil {
		server.refuse(writer, result.From(err, result.UnknownAnswer))
		return
	}
	server.streamEvents(request.Context(), writer, relay)
}

// resumedRelay returns a relay that continues an answer after the event in
// Last-Event-ID.
func (server *Server) resumedRelay(request *http.Request) (*relay, error) {
	id, err := parseEventID(request.Header.Get(HeaderLastEventID))
	if err != nil {
		return nil, err
	}
	entry, found := server.Directory.Entry(id.upstream)
	if !found {
		return nil, result.Errorf(result.UnknownAnswer, "unknown upstream %q", id.upstream)
	}
	workspace := ident.WorkspaceID(request.Header.Get(HeaderWorkspace))
	incoming := &incoming{id: id.request, workspace: workspace, deadline: server.now().Add(defaultTimeout), events: true}
	relay := &relay{server: server, incoming: incoming, entry: entry}
	relay.assembler.First = id.seq + 1
	return relay, nil
}

// cancel handles DELETE /v1/answers. It cancels the answer that Last-Event-ID
// belongs to.
func (server *Server) cancel(ctx iris.Context) {
	writer := ctx.ResponseWriter().Naive()
	request := ctx.Request()
	relay, err := server.resumedRelay(request)
	if err == nil {
		err = relay.cancel(request.Context())
	}
	if err != nil {
		server.refuse(writer, result.From(err, result.UnknownAnswer))
		return
	}
	writer.WriteHeader(http.StatusNoContent)
}

func (relay *relay) cancel(ctx context.Context) error {
	return relay.server.Sidecars.Cancel(ctx, relay.entry.Address, relay.incoming.id, relay.incoming.workspace)
}
