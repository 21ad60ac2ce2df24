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
)

// Limits of a Client whose fields are zero.
const (
	DefaultMaxIdle     = 64
	DefaultIdleTimeout = 90 * time.Second
	DefaultDialTimeout = 2 * time.Second
)

// maxTries bounds the connections that a request is offered to. Only the last
// one can have carried a byte of it.
const maxTries = 3

// Client sends requests over kept-alive connections. The zero value is ready.
// It follows no redirects, keeps no cookies and uses no proxy.
type Client struct {
	// Dial opens a connection; nil means plain TCP.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// MaxIdle is the most idle connections kept; zero means DefaultMaxIdle.
	MaxIdle int
	// IdleTimeout closes a connection that is idle this long; zero means
	// DefaultIdleTimeout.
	IdleTimeout time.Duration
	// DialTimeout bounds the opening of a connection; zero means
	// DefaultDialTimeout.
	DialTimeout time.Duration

	once      sync.Once
	transport *http.Transport
}

// SendError is the error of a request that got no response.
type SendError struct {
	// Sent says that bytes of the request may have left this process.
	Sent bool
	Err  error
}

// Error returns the text of the cause.
func (e *SendError) Error() string {
	if e.Sent {
		return "sent without response: " + e.Err.Error()
	}
	return "not sent: " + e.Err.Error()
}

// Unwrap returns the cause.
func (e *SendError) Unwrap() error { return e.Err }

// Sent reports whether the request of err may have left this process. Only a
// SendError can say that it did not.
func Sent(err error) bool {
	var sendError *SendError
	if errors.As(err, &sendError) {
		return sendError.Sent
	}
	return err != nil
}

// Do sends request and returns its response, whose body the caller closes. Its
// error is a *SendError. A kept-alive connection that turns out to be closed
// before anything was written is replaced by another, where the body is absent
// or request.GetBody can give it again.
func (client *Client) Do(request *http.Request) (*http.Response, error) {
	client.once.Do(client.prepare)
	sealed := sealBody(request)
	for tries := 1; ; tries++ {
		attempt := attempt{client: client}
		response, err := attempt.send(sealed)
		if err == nil {
			return response, nil
		}
		if Sent(err) || !attempt.reused || tries == maxTries || request.Context().Err() != nil {
			return nil, err
		}
		if !renewBody(sealed, request) {
			return nil, err
		}
	}
}

// CloseIdle closes the connections that carry no request.
func (client *Client) CloseIdle() {
	client.once.Do(client.prepare)
	client.transport.CloseIdleConnections()
}

func (client *Client) prepare() {
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
		DialContext:         client.dial,
		DisableCompression:  true,
		MaxIdleConns:        maxIdle,
		MaxIdleConnsPerHost: maxIdle,
		IdleConnTimeout:     idleTimeout,
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
	return &conn{Conn: opened}, nil
}

// attempt is one offer of a request to one connection.
type attempt struct {
	client *Client
	conn   *conn
	before uint64
	reused bool
	// wrote says that an earlier connection, of a GET, carried bytes.
	wrote bool
}

func (attempt *attempt) send(request *http.Request) (*http.Response, error) {
	trace := &httptrace.ClientTrace{GotConn: attempt.gotConn}
	ctx := httptrace.WithClientTrace(request.Context(), trace)
	response, err := attempt.client.transport.RoundTrip(request.WithContext(ctx))
	if err != nil {
		return nil, &SendError{Sent: attempt.sent(), Err: err}
	}
	return response, nil
}

func (attempt *attempt) gotConn(info httptrace.GotConnInfo) {
	if attempt.conn != nil && attempt.conn.writes() > attempt.before {
		attempt.wrote = true
	}
	attempt.conn, _ = info.Conn.(*conn)
	attempt.reused = info.Reused
	if attempt.conn != nil {
		attempt.before = attempt.conn.writes()
	}
}

// sent seals the connection of a failed attempt first, since net/http may
// return before its writing goroutine has stopped.
func (attempt *attempt) sent() bool {
	if attempt.conn == nil {
		return false
	}
	return attempt.conn.seal() > attempt.before || attempt.wrote
}

// sealBody returns a copy of request with a body that net/http can neither
// rewind nor take for absent, which are its two grounds for sending a request
// again.
func sealBody(request *http.Request) *http.Request {
	sealed := request.Clone(request.Context())
	if request.Method == http.MethodGet || request.Method == http.MethodHead {
		return sealed
	}
	sealed.GetBody = nil
	if !hasBody(request) {
		sealed.Body = io.NopCloser(emptyReader{})
		return sealed
	}
	sealed.Body = request.Body
	return sealed
}

// renewBody gives sealed the body of request from its start.
func renewBody(sealed, request *http.Request) bool {
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
	sealed.Body = body
	return true
}

func hasBody(request *http.Request) bool {
	return request.Body != nil && request.Body != http.NoBody
}

// emptyReader has nothing to read.
type emptyReader struct{}

// Read returns io.EOF.
func (emptyReader) Read([]byte) (int, error) { return 0, io.EOF }
