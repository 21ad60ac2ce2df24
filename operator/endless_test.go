package operator_test

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/hickoryhead/hickoryhead/operator"
)

// TestResponseWithoutEndIsGivenUp guards against a response that is read until memory
// or time runs out.
func TestResponseWithoutEndIsGivenUp(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
		block := []byte(strings.Repeat(" ", 1<<20))
		for {
			if _, err := writer.Write(block); err != nil {
				return
			}
		}
	}))
	defer server.Close()
	client := &operator.Client{Server: strings.TrimPrefix(server.URL, "http://"), Team: "beaudoin"}
	if _, err := client.History(t.Context(), 0, 1); err == nil || !strings.Contains(err.Error(), "longer than") {
		t.Errorf("got error %v, want one that says the response is too long", err)
	}
}
