package bodylimit_test

import (
	"bytes"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/hickoryhead/hickoryhead/bodylimit"
	"github.com/hickoryhead/hickoryhead/memory"
)

// endedBody is a body that calls onEnd once its end has been read.
type endedBody struct {
	io.ReadCloser
	onEnd func()
}

func (endedBody *endedBody) Read(buffer []byte) (int, error) {
	count, err := endedBody.ReadCloser.Read(buffer)
	if err == io.EOF {
		endedBody.onEnd()
	}
	return count, err
}

// takeRoom takes so much of the account for small bodies that a large one is given up.
func takeRoom(account *memory.Account) {
	var holdings [8]memory.Holding
	for i := range holdings {
		account.Grow(time.Now(), &holdings[i], 100<<10)
	}
}

// TestConnectionOfABodyGivenUpAtItsEnd guards against a request whose context has ended before it
// starts, as if its caller had left: the body before it on the connection was given up when its
// end had been read, but not recorded.
func TestConnectionOfABodyGivenUpAtItsEnd(t *testing.T) {
	limiter := new(bodylimit.Limiter)
	limiter.Account.Limit = bodyBytes
	limited := limiter.Handler(http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		if request.Context().Err() != nil {
			writer.WriteHeader(http.StatusInternalServerError)
			return
		}
		if _, err := io.ReadAll(request.Body); err != nil {
			writer.WriteHeader(http.StatusServiceUnavailable)
		}
	}))
	server := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		if request.ContentLength == bodyBytes {
			request.Body = &endedBody{ReadCloser: request.Body, onEnd: func() {
				takeRoom(&limiter.Account)
				// The background read of net/http ends meanwhile.
				time.Sleep(50 * time.Millisecond)
			}}
		}
		limited.ServeHTTP(writer, request)
	}))
	defer server.Close()
	for _, test := range []struct{ bytes, want int }{
		{bodyBytes, http.StatusServiceUnavailable},
		{1, http.StatusOK},
	} {
		response, err := server.Client().Post(server.URL, "text/plain", bytes.NewReader(make([]byte, test.bytes)))
		if err != nil {
			t.Fatal(err)
		}
		response.Body.Close()
		if got := response.StatusCode; got != test.want {
			t.Errorf("body of %d bytes: got status %d, want %d", test.bytes, got, test.want)
		}
	}
}
