package upstream

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/hickoryhead/hickoryhead/ident"
	"github.com/hickoryhead/hickoryhead/metrics"
	"github.com/hickoryhead/hickoryhead/oncehttp"
	"github.com/hickoryhead/hickoryhead/result"
)

// DefaultMaxReplyBytes is the default maximum size of a plain service's reply.
const DefaultMaxReplyBytes ident.Bytes = 8 << 20

// maxDetailBytes bounds the part of an error response's body that is kept as the
// detail of the error.
const maxDetailBytes = 512

// maxControlBytes bounds a load report and a list of cache events.
const maxControlBytes = 8 << 20

// The headers of a call to a plain service.
const (
	headerIdempotencyKey = "Idempotency-Key"
	headerWorkspace      = "Hickoryhead-Workspace"
)

// Options configure a Client. The zero value is ready to use.
type Options struct {
	// Control counts the bytes of load reports, cache events, cancellations and
	// orders. If it is nil, they are not counted.
	Control *metrics.Traffic
	// MaxIdle is the maximum number of idle connections for Generate, Call,
	// Export and Import; zero means oncehttp.DefaultMaxIdle.
	MaxIdle int
	// MaxReplyBytes is the maximum size of a plain service's reply; zero means
	// DefaultMaxReplyBytes. A longer reply gives OutcomeUnknown, because the
	// service has run the call.
	MaxReplyBytes ident.Bytes
}

// New returns a client of the upstream at address, which is IP:port. It opens no
// connection.
func New(address string, options Options) *Client {
	if options.Control == nil {
		options.Control = &metrics.Traffic{Peer: metrics.PeerUpstream}
	}
	if options.MaxReplyBytes == 0 {
		options.MaxReplyBytes = DefaultMaxReplyBytes
	}
	remote := &remote{
		address:       address,
		maxReplyBytes: options.MaxReplyBytes,
		work:          &oncehttp.Client{MaxIdle: options.MaxIdle, CloseAfterRefusal: true},
		control:       &oncehttp.Client{Dial: options.Control.DialContext},
	}
	return &Client{
		Generate: remote.generate,
		Call:     remote.call,
		Cancel:   remote.cancel,
		Load:     remote.load,
		Events:   remote.events,
		Export:   remote.export,
		Import:   remote.importKV,
		Order:    remote.order,
		Alive:    remote.alive,
	}
}

// remote implements the functions of a Client over HTTP.
type remote struct {
	address       string
	maxReplyBytes ident.Bytes
	// work makes the calls that carry requests and KV caches. control makes the
	// others, whose bytes are counted as control traffic.
	work    *oncehttp.Client
	control *oncehttp.Client
}

func (remote *remote) generate(ctx context.Context, generate Generate) (*Stream, error) {
	request, err := remote.jsonRequest(ctx, "/v1/generate", generate)
	if err != nil {
		return nil, err
	}
	response, err := do(remote.work, request)
	if err != nil {
		return nil, err
	}
	return newStream(response.Body, generate.ResumeTokens), nil
}

func (remote *remote) call(ctx context.Context, call Call) (Reply, error) {
	request, err := remote.request(ctx, http.MethodPost, "/v1/call/"+url.PathEscape(call.Operation), bytes.NewReader(call.Body))
	if err != nil {
		return Reply{}, err
	}
	request.Header.Set("Content-Type", "application/json")
	if call.Key != "" {
		request.Header.Set(headerIdempotencyKey, string(call.Key))
	}
	if call.Workspace != "" {
		request.Header.Set(headerWorkspace, string(call.Workspace))
	}
	response, err := send(remote.work, request)
	if err != nil {
		return Reply{}, err
	}
	defer response.Body.Close()
	body, err := readAll(response.Body, remote.maxReplyBytes)
	if err != nil {
		return Reply{}, err
	}
	return Reply{Status: response.StatusCode, ContentType: response.Header.Get("Content-Type"), Body: string(body)}, nil
}

func (remote *remote) cancel(ctx context.Context, attempt ident.AttemptID) error {
	request, err := remote.jsonRequest(ctx, "/v1/cancel", Cancel{Request: attempt})
	if err != nil {
		return err
	}
	return doDiscard(remote.control, request)
}

func (remote *remote) load(ctx context.Context) (Load, error) {
	request, err := remote.request(ctx, http.MethodGet, "/v1/load", nil)
	if err != nil {
		return Load{}, err
	}
	response, err := do(remote.control, request)
	if err != nil {
		return Load{}, err
	}
	defer response.Body.Close()
	var load Load
	err = decode(response.Body, &load)
	return load, err
}

func (remote *remote) events(ctx context.Context, after uint64) ([]CacheEvent, error) {
	request, err := remote.request(ctx, http.MethodGet, "/v1/events?after="+strconv.FormatUint(after, 10), nil)
	if err != nil {
		return nil, err
	}
	response, err := do(remote.control, request)
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	var events []CacheEvent
	decoder := json.NewDecoder(http.MaxBytesReader(nil, response.Body, maxControlBytes))
	for {
		var event CacheEvent
		err := decoder.Decode(&event)
		if err == io.EOF {
			return events, nil
		}
		if err != nil {
			return events, outcomeUnknown(err)
		}
		events = append(events, event)
	}
}

func (remote *remote) export(ctx context.Context, chat ident.ChatID) (io.ReadCloser, ident.Bytes, error) {
	request, err := remote.request(ctx, http.MethodGet, "/v1/kv/"+url.PathEscape(string(chat)), nil)
	if err != nil {
		return nil, 0, err
	}
	response, err := do(remote.work, request)
	if err != nil {
		return nil, 0, err
	}
	return response.Body, ident.Bytes(response.ContentLength), nil
}

func (remote *remote) importKV(ctx context.Context, chat ident.ChatID, body io.Reader) error {
	request, err := remote.request(ctx, http.MethodPut, "/v1/kv/"+url.PathEscape(string(chat)), body)
	if err != nil {
		return err
	}
	return doDiscard(remote.work, request)
}

func (remote *remote) order(ctx context.Context, order Order) error {
	request, err := remote.jsonRequest(ctx, "/v1/orders", order)
	if err != nil {
		return err
	}
	return doDiscard(remote.control, request)
}

// alive checks that the upstream accepts a connection, and closes it unused.
func (remote *remote) alive(ctx context.Context, deadline time.Time) bool {
	dialer := net.Dialer{Deadline: deadline}
	conn, err := dialer.DialContext(ctx, "tcp", remote.address)
	if err != nil {
		return false
	}
	_ = conn.Close()
	return true
}

func (remote *remote) jsonRequest(ctx context.Context, path string, body any) (*http.Request, error) {
	encoded, err := json.Marshal(body)
	if err != nil {
		return nil, unreachable(err)
	}
	request, err := remote.request(ctx, http.MethodPost, path, bytes.NewReader(encoded))
	if err != nil {
		return nil, err
	}
	request.Header.Set("Content-Type", "application/json")
	return request, nil
}

func (remote *remote) request(ctx context.Context, method, path string, body io.Reader) (*http.Request, error) {
	request, err := http.NewRequestWithContext(ctx, method, "http://"+remote.address+path, body)
	if err != nil {
		return nil, unreachable(err)
	}
	return request, nil
}

// do sends request and returns the response if its status reports success. For any
// other status the error has the code UpstreamFailed, or StaleFence for an order
// that the engine refused with 409.
func do(client *oncehttp.Client, request *http.Request) (*http.Response, error) {
	response, err := send(client, request)
	if err != nil {
		return nil, err
	}
	if response.StatusCode < http.StatusMultipleChoices {
		return response, nil
	}
	defer response.Body.Close()
	detail, _ := io.ReadAll(io.LimitReader(response.Body, maxDetailBytes))
	code := result.UpstreamFailed
	if response.StatusCode == http.StatusConflict && request.URL.Path == "/v1/orders" {
		code = result.StaleFence
	}
	return nil, result.Errorf(code, "status %d: %s", response.StatusCode, bytes.TrimSpace(detail))
}

// doDiscard sends request and discards the body of a successful response.
func doDiscard(client *oncehttp.Client, request *http.Request) error {
	response, err := do(client, request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	_, _ = io.Copy(io.Discard, io.LimitReader(response.Body, maxDetailBytes))
	return nil
}

// send sends request and returns the response with any status.
func send(client *oncehttp.Client, request *http.Request) (*http.Response, error) {
	response, err := client.Do(request)
	switch {
	case err == nil:
		return response, nil
	case oncehttp.Sent(err):
		return nil, outcomeUnknown(err)
	}
	return nil, unreachable(err)
}

func readAll(body io.Reader, limit ident.Bytes) ([]byte, error) {
	content, err := io.ReadAll(io.LimitReader(body, int64(limit)+1))
	if err != nil {
		return nil, outcomeUnknown(err)
	}
	if len(content) > int(limit) {
		return nil, result.Errorf(result.OutcomeUnknown, "reply longer than %d bytes", limit)
	}
	return content, nil
}

func decode(body io.ReadCloser, value any) error {
	if err := json.NewDecoder(http.MaxBytesReader(nil, body, maxControlBytes)).Decode(value); err != nil {
		return outcomeUnknown(err)
	}
	return nil
}

func unreachable(err error) error {
	return result.Errorf(result.UpstreamUnreachable, "%v", err)
}

func outcomeUnknown(err error) error {
	return result.Errorf(result.OutcomeUnknown, "%v", err)
}
