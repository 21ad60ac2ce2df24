package upstream_test

import (
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/hickoryhead/hickoryhead/fleettest"
	"github.com/hickoryhead/hickoryhead/result"
	"github.com/hickoryhead/hickoryhead/upstream"
)

func TestUnreachableUpstreamWasSentNothing(t *testing.T) {
	listener, err := net.Listen("tcp", fleettest.AnyPort())
	if err != nil {
		t.Fatal(err)
	}
	address := listener.Addr().String()
	client := upstream.New(address, upstream.Options{})
	if !client.Alive(t.Context(), time.Now().Add(time.Minute)) {
		t.Error("got Alive false with an open listener, want true")
	}
	listener.Close()
	if client.Alive(t.Context(), time.Now().Add(time.Minute)) {
		t.Error("got Alive true after the listener was closed, want false")
	}
	_, err = client.Call(t.Context(), upstream.Call{Operation: "confirm", Key: "k"})
	if got := result.CodeOf(err); got != result.UpstreamUnreachable {
		t.Errorf("got %v, want UpstreamUnreachable", got)
	}
}

func TestReplyThatIsCutIsUnknown(t *testing.T) {
	tests := map[string]http.HandlerFunc{
		"truncated": func(writer http.ResponseWriter, _ *http.Request) {
			writer.Header().Set("Content-Length", "20")
			_, _ = writer.Write([]byte("part"))
		},
		"too long": func(writer http.ResponseWriter, _ *http.Request) {
			_, _ = writer.Write([]byte("more than eight bytes"))
		},
	}
	for name, handler := range tests {
		t.Run(name, func(t *testing.T) {
			server := httptest.NewServer(handler)
			defer server.Close()
			client := upstream.New(strings.TrimPrefix(server.URL, "http://"), upstream.Options{MaxReplyBytes: 8})
			_, err := client.Call(t.Context(), upstream.Call{Operation: "confirm", Key: "k"})
			if got := result.CodeOf(err); got != result.OutcomeUnknown {
				t.Errorf("got %v, want OutcomeUnknown", got)
			}
		})
	}
}
