package sidecar

import (
	"context"
	"io"
	"net/http"
	"net/url"
	"strconv"

	"github.com/hickoryhead/hickoryhead/ident"
	"github.com/hickoryhead/hickoryhead/result"
)

// FetchPrefix returns a reader of the prefix of chat that the engine of the
// sidecar at address has cached. The caller closes it.
func (client *Client) FetchPrefix(ctx context.Context, address string, chat ident.ChatID) (io.ReadCloser, error) {
	request, err := client.request(ctx, http.MethodGet, address, "/v1/prefixes/"+url.PathEscape(string(chat)), nil)
	if err != nil {
		return nil, err
	}
	response, _, err := client.do(request)
	if result.CodeOf(err) == result.UnknownAnswer {
		return nil, errNoPrefix
	}
	if err != nil {
		return nil, err
	}
	return response.Body, nil
}

// OfferPrefix asks the sidecar at address to fetch the prefix of chat from the
// upstream source. The sidecar fetches it only if the prefix is worth importing.
func (client *Client) OfferPrefix(ctx context.Context, address string, chat ident.ChatID, source ident.UpstreamID, tokens ident.Tokens) error {
	query := url.Values{"Holder": {string(source)}, "Tokens": {strconv.Itoa(int(tokens))}}
	path := "/v1/prefixes/" + url.PathEscape(string(chat)) + "/fetch?" + query.Encode()
	return client.doJSON(ctx, http.MethodPost, address, path, nil)
}

// export handles GET /v1/prefixes/{chat}.
func (server *Server) export(writer http.ResponseWriter, request *http.Request) {
	chat := ident.ChatID(request.PathValue("chat"))
	body, size, err := server.Sidecar.Client.Export(request.Context(), chat)
	if err != nil {
		server.refuse(writer, result.Errorf(result.UnknownAnswer, "prefix of chat %q: %v", chat, err))
		return
	}
	defer body.Close()
	writer.Header().Set("Content-Type", "application/octet-stream")
	if size > 0 {
		writer.Header().Set("Content-Length", strconv.FormatInt(int64(size), 10))
	}
	if _, err := io.Copy(writer, body); err == nil && server.Sidecar.Prefixes != nil {
		server.Sidecar.Prefixes.Moved(chat)
	}
}

// fetch handles POST /v1/prefixes/{chat}/fetch?Holder=H&Tokens=N.
func (server *Server) fetch(writer http.ResponseWriter, request *http.Request) {
	tokens, err := strconv.Atoi(request.FormValue("Tokens"))
	if err != nil || server.Sidecar.Prefixes == nil {
		server.refuse(writer, result.Errorf(result.InvalidHeader, "Tokens: want a number"))
		return
	}
	chat := ident.ChatID(request.PathValue("chat"))
	source := ident.UpstreamID(request.FormValue("Holder"))
	if server.Sidecar.Prefixes.WantsImport(chat, ident.Tokens(tokens)) {
		server.Sidecar.Prefixes.Fetch(request.Context(), chat, source, ident.Tokens(tokens))
	}
	writer.WriteHeader(http.StatusNoContent)
}
