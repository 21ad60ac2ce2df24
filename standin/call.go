package standin

import (
	"bytes"
	"context"
	"io"
	"net/http"

	"github.com/hickoryhead/hickoryhead/ident"
	"github.com/hickoryhead/hickoryhead/platform"
)

// Call is a request that a caller sends to a router of the users' platform.
type Call struct {
	Method string
	// Router is the address at which the router listens for callers, IP:port.
	Router string
	Host   string
	Path   string
	Head   platform.RequestHead
	Body   string
}

// Ready sends one readiness probe to the router at address, as a load balancer
// does, and reports whether it answered with status 200.
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

// Reply is the answer that a caller received, or the error in its place.
type Reply struct {
	// Status is zero if the response head was not received.
	Status int
	// Attempt is the request that the answer says it belongs to.
	Attempt ident.AttemptID
	// RetryAfter is the value of the header Retry-After.
	RetryAfter string
	// Leaving says that the answer is one of an upstream that leaves.
	Leaving bool
	Body    string
	// Err is nil if the answer was received completely.
	Err error
}

// Send sends the call once over client and reads the complete answer.
func (call *Call) Send(ctx context.Context, client *http.Client) Reply {
	request, err := http.NewRequestWithContext(ctx, call.Method, "http://"+call.Router+call.Path, bytes.NewReader([]byte(call.Body)))
	if err != nil {
		return Reply{Err: err}
	}
	// net/http retries a request only if it can recreate the body with GetBody.
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
		Status:     response.StatusCode,
		Attempt:    platform.AnsweredAttempt(response.Header),
		RetryAfter: response.Header.Get("Retry-After"),
		Leaving:    platform.DecodeResponse(response).Leaving,
		Body:       string(body),
		Err:        err,
	}
}
