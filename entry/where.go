package entry

import (
	"encoding/json"
	"net/http"
	"net/url"
	"strings"

	"github.com/hickoryhead/hickoryhead/ident"
)

// internalHandler serves the internal address: metrics, and where a request would go.
func (daemon *Daemon) internalHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("/", daemon.metrics.Handler())
	mux.HandleFunc("GET /where", daemon.serveWhere)
	return mux
}

// serveWhere answers where a request with the headers of this one and the given host and
// target, which was offered to the upstreams named by tried, would go at the moment.
func (daemon *Daemon) serveWhere(writer http.ResponseWriter, request *http.Request) {
	query := request.URL.Query()
	target, err := url.ParseRequestURI(query.Get("target"))
	if err != nil || !strings.HasPrefix(query.Get("target"), "/") {
		http.Error(writer, "target: want a path and query that begin with /", http.StatusBadRequest)
		return
	}
	described := &http.Request{Method: http.MethodPost, URL: target, RequestURI: query.Get("target"), Host: query.Get("host"), Header: request.Header.Clone()}
	var tried []ident.UpstreamID
	for _, upstream := range query["tried"] {
		tried = append(tried, ident.UpstreamID(upstream))
	}
	writer.Header().Set("Content-Type", "application/json")
	// An error means that the caller has disconnected.
	_ = json.NewEncoder(writer).Encode(daemon.handler.Where(described.WithContext(request.Context()), tried))
}
