package standin

import (
	"bytes"
	"context"
	"io"
	"net/http"

	"github.com/hickoryhead/hickoryhead/ident"
	"github.com/hickoryhead/hickoryhead/platform"
)

// Call is a request that a caller of the users' platform sends to a router.
type Call struct {
	Method string
	// Router is the router's callers' address, IP:port.
	Router string
	Host   string
	Path   string
	Head   platform.RequestHead
	Body   string
}

// Ready asks a router once whether it takes callers, as a balancer does.
func Ready(ctx context.Context, address string) bool {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/readyz", nil)
	if err != nil {
		return false
	}
	response, err := http.DefaultTransport.RoundTrip(request)
	if err != nil {
		return false
	}
	defer response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// Reply is what a caller got.
type Reply struct {
	// Status is zero where no head of an answer came.
	Status int
	// Attempt says which request the answer belongs to.
	Attempt ident.AttemptID
	Body    string
	// Err is nil where the answer is whole.
	Err error
}

// Send sends the call once over client and reads the answer to its end.
func (call *Call) Send(ctx context.Context, client *http.Client) Reply {
	request, err := http.NewRequestWithContext(ctx, call.Method, "http://"+call.Router+call.Path, bytes.NewReader([]byte(call.Body)))
	if err != nil {
		return Reply{Err: err}
	}
	// Without a way to make the body anew, net/http sends a request only once.
	request.GetBody = nil
	request.Host = call.Host
	platform.EncodeCaller(request.Header, call.Head)
	response, err := client.Do(request)
	if err != nil {
		return Reply{Err: err}
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return Reply{
		Status:  response.StatusCode,
		Attempt: platform.AnsweredAttempt(response.Header),
		Body:    string(body),
		Err:     err,
	}
}
