package oncehttp

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/hickoryhead/hickoryhead/socket"
)

// Defaults for the fields of a Client that are zero.
const (
	DefaultMaxIdle     = 64
	DefaultIdleTimeout = 90 * time.Second
	DefaultDialTimeout = 2 * time.Second
)

// maxHeadBytes bounds the head of a response.
const maxHeadBytes = 64 << 10

// maxTries bounds the number of connections tried for a request. Only the last
// one can have sent a byte of it.
const maxTries = 3

// connectionTimeFormat is how errors write when a connection was opened.
const connectionTimeFormat = "15:04:05.000"

// Client sends requests over kept-alive connections. The zero value is ready to
// use. It follows no redirects, stores no cookies and uses no proxy. Set the fields
// before the first request; the methods are safe for concurrent use.
type Client struct {
	// Dial opens a connection; nil means plain TCP.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// MaxIdle is the maximum number of idle connections; zero means
	// DefaultMaxIdle.
	MaxIdle int
	// IdleTimeout is the time after which an idle connection is closed; zero
	// means DefaultIdleTimeout.
	IdleTimeout time.Duration
	// DialTimeout limits the time to open a connection; zero means
	// DefaultDialTimeout.
	DialTimeout time.Duration
	// CloseAfterRefusal closes a connection after a response by which its request has not
	// run: a faulty server may send that once more, and it would be taken for the response
	// to the next request.
	CloseAfterRefusal bool

	// OnSilent, unless nil, is called when a connection, opened at the given time, has given
	// no response to a hedged request while a new connection gave one.
	OnSilent func(openedAt time.Time)

	once      sync.Once
	transport *http.Transport

	mu sync.Mutex
	// hedges holds the hedges of the requests that wait for their response.
	hedges map[*hedge]struct{}
	// retiredBefore is the time before which connections were opened that must not carry a
	// further request.
	retiredBefore time.Time
}

// SendError is the error for a request that received no response.
type SendError struct {
	// Sent reports whether bytes of the request may have left this process.
	Sent bool
	// Reused reports whether the last connection had carried an earlier request, and
	// OpenedAt is when it was opened. It is zero if there was no connection.
	Reused   bool
	OpenedAt time.Time
	// Err is the cause.
	Err error
}

// Error returns whether the request was sent, on which connection, and the text of the
// cause.
func (e *SendError) Error() string {
	outcome := "request not sent"
	if e.Sent {
		outcome = "request sent, no response"
	}
	if !e.OpenedAt.IsZero() {
		kind := "new"
		if e.Reused {
			kind = "reused"
		}
		outcome += " on a " + kind + " connection opened at " + e.OpenedAt.Format(connectionTimeFormat)
	}
	return outcome + ": " + e.Err.Error()
}

// Unwrap returns the cause.
func (e *SendError) Unwrap() error { return e.Err }

// Sent reports whether bytes of the request that failed with err may have left
// this process. It is false for nil and for a SendError that says so, and true for
// any other error.
func Sent(err error) bool {
	var sendError *SendError
	if errors.As(err, &sendError) {
		return sendError.Sent
	}
	return err != nil
}

// Do sends request and returns its response, whose body the caller closes. The
// error is a *SendError. If a kept-alive connection turns out to be closed before
// anything was written, Do tries another connection, provided that the request has
// no body or that request.GetBody returns it again.
func (client *Client) Do(request *http.Request) (*http.Response, error) {
	client.once.Do(client.initTransport)
	guarded := withoutResend(request)
	for tries := 1; ; tries++ {
		attempt := attempt{client: client, method: request.Method}
		response, err := attempt.send(guarded)
		if err == nil {
			return response, nil
		}
		if errors.Is(context.Cause(request.Context()), context.DeadlineExceeded) {
			// The connection may be silent, and the idle ones with it.
			client.Retire(time.Now())
		}
		if attempt.retired {
			// It was not tried. There are no more of them than idle connections.
			tries--
		}
		if Sent(err) || !attempt.reused || tries == maxTries || request.Context().Err() != nil {
			return nil, err
		}
		if !resetBody(guarded, request) {
			return nil, err
		}
	}
}

// CloseIdle closes the idle connections.
func (client *Client) CloseIdle() {
	client.once.Do(client.initTransport)
	client.transport.CloseIdleConnections()
}

// initTransport creates the transport from the fields.
func (client *Client) initTransport() {
	maxIdle := client.MaxIdle
	if maxIdle == 0 {
		maxIdle = DefaultMaxIdle
	}
	idleTimeout := client.IdleTimeout
	if idleTimeout == 0 {
		idleTimeout = DefaultIdleTimeout
	}
	if client.DialTimeout == 0 {
		client.DialTimeout = DefaultDialTimeout
	}
	client.transport = &http.Transport{
		DialContext:            client.dial,
		DisableCompression:     true,
		MaxIdleConns:           maxIdle,
		MaxIdleConnsPerHost:    maxIdle,
		IdleConnTimeout:        idleTimeout,
		MaxResponseHeaderBytes: maxHeadBytes,
	}
}

func (client *Client) dial(ctx context.Context, network, address string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, client.DialTimeout)
	defer cancel()
	dial := client.Dial
	if dial == nil {
		dial = new(net.Dialer).DialContext
	}
	opened, err := dial(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return &conn{Conn: socket.Orderly(opened), openedAt: time.Now()}, nil
}

// attempt is one round trip of the transport. The transport may use several
// connections for a GET or HEAD request, and one for any other.
type attempt struct {
	client *Client
	method string
	// conn is the latest connection, or nil if there was none.
	conn *conn
	// writesBefore is the number of writes of conn before this attempt.
	writesBefore uint64
	// reused reports whether conn had carried an earlier request.
	reused bool
	// retired reports whether conn must not carry a further request.
	retired bool
	// wroteEarlier reports whether a connection before conn has sent bytes of the
	// request.
	wroteEarlier bool
}

func (attempt *attempt) send(request *http.Request) (*http.Response, error) {
	trace := &httptrace.ClientTrace{GotConn: attempt.gotConn}
	ctx := httptrace.WithClientTrace(request.Context(), trace)
	response, err := attempt.client.transport.RoundTrip(request.WithContext(ctx))
	if err != nil {
		return nil, attempt.newError(err)
	}
	if attempt.client.CloseAfterRefusal && ImpliesNotRun(response.StatusCode) && attempt.conn != nil {
		attempt.conn.blockWrites()
		response.Body = &lastBody{ReadCloser: response.Body, conn: attempt.conn}
	}
	return response, nil
}

// newError returns the error of an attempt without a response.
func (attempt *attempt) newError(err error) *SendError {
	sendError := &SendError{Sent: attempt.sent(), Err: err}
	if attempt.conn != nil {
		sendError.Reused, sendError.OpenedAt = attempt.reused, attempt.conn.openedAt
	}
	return sendError
}

// ImpliesNotRun reports whether a response with the status proves that its request has not run.
func ImpliesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// lastBody is the body of the last response of a connection.
type lastBody struct {
	io.ReadCloser
	conn *conn
}

// Close closes the body and the connection.
func (lastBody *lastBody) Close() error {
	return errors.CombineErrors(lastBody.ReadCloser.Close(), lastBody.conn.Close())
}

func (attempt *attempt) gotConn(info httptrace.GotConnInfo) {
	if attempt.conn != nil && attempt.conn.writeCount() > attempt.writesBefore {
		attempt.wroteEarlier = true
	}
	attempt.conn, _ = info.Conn.(*conn)
	attempt.reused = info.Reused
	if attempt.conn != nil {
		attempt.conn.expect(attempt.method)
		attempt.writesBefore = attempt.conn.writeCount()
		if attempt.retired = attempt.reused && attempt.client.retired(attempt.conn); attempt.retired {
			attempt.conn.blockWrites()
		}
	}
}

// sent reports whether bytes of the request may have been sent. It blocks further
// writes first, because net/http can return an error before its writing goroutine
// has stopped.
func (attempt *attempt) sent() bool {
	if attempt.conn == nil {
		return false
	}
	return attempt.conn.blockWrites() > attempt.writesBefore || attempt.wroteEarlier
}

// withoutResend returns a copy of request that net/http doesn't resend. net/http
// resends a request only if it can rewind the body or the body is absent, so the
// copy has a body without GetBody. A GET or HEAD request is copied unchanged.
func withoutResend(request *http.Request) *http.Request {
	guarded := request.Clone(request.Context())
	if request.Method == http.MethodGet || request.Method == http.MethodHead {
		return guarded
	}
	guarded.GetBody = nil
	if !hasBody(request) {
		guarded.Body = io.NopCloser(emptyReader{})
		return guarded
	}
	guarded.Body = request.Body
	return guarded
}

// resetBody sets the body of guarded to the body of request from its start. It
// reports whether that was possible.
func resetBody(guarded, request *http.Request) bool {
	if !hasBody(request) {
		return true
	}
	if request.GetBody == nil {
		return false
	}
	body, err := request.GetBody()
	if err != nil {
		return false
	}
	guarded.Body = body
	return true
}

func hasBody(request *http.Request) bool {
	return request.Body != nil && request.Body != http.NoBody
}

// emptyReader is an empty body that net/http doesn't recognize as empty.
type emptyReader struct{}

// Read returns io.EOF.
func (emptyReader) Read([]byte) (int, error) { return 0, io.EOF }
