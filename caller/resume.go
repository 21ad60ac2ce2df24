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

// eventID is the parsed form of an event's ID: UPSTREAM~REQUEST/SEQ.
type eventID struct {
	upstream ident.UpstreamID
	request  ident.RequestID
	seq      answer.Seq
}

func parseEventID(text string) (eventID, error) {
	id, seqText, found := strings.Cut(text, "/")
	upstream, request, found2 := strings.Cut(id, "~")
	seq, err := strconv.ParseUint(seqText, 10, 64)
	parsed := eventID{upstream: ident.UpstreamID(upstream), request: ident.RequestID(request), seq: answer.Seq(seq)}
	if !found || !found2 || err != nil || !ident.Valid(parsed.upstream) || !ident.Valid(parsed.request) {
		return eventID{}, result.Errorf(result.InvalidHeader, "%s: want the ID of a received event", HeaderLastEventID)
	}
	return parsed, nil
}

// resume handles GET /v1/answers: the events after Last-Event-ID.
func (server *Server) resume(ctx iris.Context) {
	server.active.Add(1)
	defer server.active.Add(-1)
	writer := ctx.ResponseWriter().Naive()
	request := ctx.Request()
	relay, err := server.resumed(request)
	if err != nil {
		server.refuse(writer, result.From(err, result.UnknownAnswer))
		return
	}
	defer relay.close()
	if err := relay.resumeHere(request.Context()); err != nil {
		server.refuse(writer, result.From(err, result.UnknownAnswer))
		return
	}
	server.giveEvents(request.Context(), writer, relay)
}

// resumed returns the relay of an answer of which the caller has a part.
func (server *Server) resumed(request *http.Request) (*relay, error) {
	id, err := parseEventID(request.Header.Get(HeaderLastEventID))
	if err != nil {
		return nil, err
	}
	entry, found := server.Directory.Entry(id.upstream)
	if !found {
		return nil, result.Errorf(result.UnknownAnswer, "upstream %q is not known", id.upstream)
	}
	workspace := ident.WorkspaceID(request.Header.Get(HeaderWorkspace))
	incoming := &incoming{id: id.request, workspace: workspace, deadline: server.now().Add(defaultTimeout), events: true}
	relay := &relay{server: server, incoming: incoming, entry: entry}
	relay.assembler.First = id.seq + 1
	return relay, nil
}

// cancel handles DELETE /v1/answers: the caller no longer wants the answer that
// Last-Event-ID names.
func (server *Server) cancel(ctx iris.Context) {
	writer := ctx.ResponseWriter().Naive()
	request := ctx.Request()
	relay, err := server.resumed(request)
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
