package sidecar

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/hickoryhead/hickoryhead/answer"
	"github.com/hickoryhead/hickoryhead/ident"
	"github.com/hickoryhead/hickoryhead/oncehttp"
	"github.com/hickoryhead/hickoryhead/result"
)

const (
	connectTimeout = time.Second
	// idleTimeout is shorter than the idle timeout of the servers, so that the
	// client closes idle connections first.
	idleTimeout        = 60 * time.Second
	maxIdleConnections = 8192
	// bodyEndTimeout limits the read of the end of a response body after the
	// last frame.
	bodyEndTimeout = 100 * time.Millisecond
	// frameBufferBytes is the size of the read buffer of one answer.
	frameBufferBytes = 16 << 10
	// readTimeout is how long a sidecar may send neither a frame nor a
	// heartbeat. It covers several heartbeats, see heartbeatInterval.
	readTimeout = 3 * time.Second
)

// Client calls sidecars. It is safe for concurrent use. Set its exported fields
// before the first use.
type Client struct {
	// Token is the bearer token that sidecars expect; empty sends none.
	Token string
	// OnState is called with the state in each response of a sidecar; nil ignores
	// the states.
	OnState func(state State)

	once sync.Once
	http oncehttp.Client
}

func (client *Client) prepare() {
	client.http.DialTimeout = connectTimeout
	client.http.IdleTimeout = idleTimeout
	client.http.MaxIdle = maxIdleConnections
}

// Frames reads the frames of one answer. It is not safe for concurrent use. The
// caller has to close it.
type Frames struct {
	body      io.ReadCloser
	buffer    *bufio.Reader
	cancel    context.CancelFunc
	readTimer *time.Timer
	// ended is set when the last frame has been read.
	ended bool
}

func newFrames(body io.ReadCloser, cancel context.CancelFunc, readTimer *time.Timer) *Frames {
	return &Frames{body: body, buffer: bufio.NewReaderSize(body, frameBufferBytes), cancel: cancel, readTimer: readTimer}
}

// Next returns the next frame. It fails if the connection breaks, or if the
// sidecar sends neither a frame nor a heartbeat within readTimeout.
func (frames *Frames) Next() (answer.Frame, error) {
	for {
		frame, heartbeat, err := frames.read()
		if !heartbeat {
			return frame, err
		}
	}
}

// read reads one line and reports whether it is a heartbeat.
func (frames *Frames) read() (frame answer.Frame, heartbeat bool, err error) {
	if !frames.Buffered() {
		frames.readTimer.Reset(readTimeout)
		defer frames.readTimer.Stop()
	}
	frame, err = frames.readLine()
	frames.ended = err == nil && frame.Last()
	return frame, err == nil && frame.Seq == 0, err
}

func (frames *Frames) readLine() (answer.Frame, error) {
	line, err := frames.buffer.ReadSlice('\n')
	if errors.Is(err, bufio.ErrBufferFull) {
		return frames.readLongLine(line)
	}
	if err != nil {
		return answer.Frame{}, unexpectedEOF(err)
	}
	if len(line) == 1 {
		return answer.Frame{}, nil
	}
	return answer.DecodeFrame(line)
}

// maxFrameBytes limits the length of a frame: an event of an engine is far shorter.
const maxFrameBytes = 4 << 20

// errFrameTooLong means that a sidecar sent a frame of more than maxFrameBytes.
var errFrameTooLong = errors.New("frame too long")

// readLongLine reads the rest of a frame that is longer than the buffer and
// begins with start.
func (frames *Frames) readLongLine(start []byte) (answer.Frame, error) {
	line := bytes.Clone(start)
	for len(line) <= maxFrameBytes {
		rest, err := frames.buffer.ReadSlice('\n')
		line = append(line, rest...)
		if err == nil {
			return answer.DecodeFrame(line)
		}
		if !errors.Is(err, bufio.ErrBufferFull) {
			return answer.Frame{}, unexpectedEOF(err)
		}
	}
	return answer.Frame{}, errFrameTooLong
}

// unexpectedEOF replaces io.EOF, since an answer ends with its last frame and not
// with the end of the connection.
func unexpectedEOF(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}

// Buffered reports whether the buffer holds another complete frame, so that Next
// returns without waiting. Heartbeats don't count as frames.
func (frames *Frames) Buffered() bool {
	buffered, _ := frames.buffer.Peek(frames.buffer.Buffered())
	return bytes.IndexByte(bytes.TrimLeft(buffered, "\n"), '\n') >= 0
}

// Close stops reading and releases the connection. After the last frame the
// connection is kept for reuse.
func (frames *Frames) Close() error {
	if frames.ended {
		// Only the end of the response body remains. The connection can be
		// reused once that has been read.
		frames.readTimer.Reset(bodyEndTimeout)
		_, _ = io.Copy(io.Discard, frames.buffer)
	}
	frames.readTimer.Stop()
	frames.cancel()
	return frames.body.Close()
}

// Run sends a request to the sidecar at address. Its error is a *result.Error. If
// the sidecar refused the request, it has the sidecar's code, and the state is
// that of the sidecar. Otherwise its code is UpstreamUnreachable if no byte was
// sent, and OutcomeUnknown if the sidecar may have received the request.
func (client *Client) Run(ctx context.Context, address string, call Call, body []byte, resumeText string) (*Frames, State, error) {
	call.BodyBytes = len(body)
	header, err := json.Marshal(call)
	if err != nil {
		return nil, State{}, result.Errorf(result.InvalidHeader, "%v", err)
	}
	content := func() (io.ReadCloser, error) {
		return io.NopCloser(io.MultiReader(bytes.NewReader(body), strings.NewReader(resumeText))), nil
	}
	reader, _ := content()
	request, err := client.request(ctx, http.MethodPost, address, "/v1/run", reader)
	if err != nil {
		return nil, State{}, err
	}
	// GetBody allows the request to be sent on a new connection if an idle one
	// turns out to be closed before any byte was sent.
	request.GetBody = content
	request.ContentLength = int64(len(body) + len(resumeText))
	request.Header.Set(HeaderCall, string(header))
	return client.openFrames(request, time.Now().Add(readTimeout))
}

// Resume reads the answer of request from frame number from on. It fails if the
// sidecar has not begun to answer by the time deadline.
func (client *Client) Resume(ctx context.Context, address string, request ident.RequestID, workspace ident.WorkspaceID, from answer.Seq, deadline time.Time) (*Frames, error) {
	query := url.Values{"From": {strconv.FormatUint(uint64(from), 10)}, "Workspace": {string(workspace)}}
	path := "/v1/answers/" + string(request) + "?" + query.Encode()
	sent, err := client.request(ctx, http.MethodGet, address, path, nil)
	if err != nil {
		return nil, err
	}
	frames, _, err := client.openFrames(sent, deadline)
	return frames, err
}

// Cancel stops the run of request. It fails with UnknownAnswer if the sidecar has
// no such request of workspace.
func (client *Client) Cancel(ctx context.Context, address string, request ident.RequestID, workspace ident.WorkspaceID) error {
	query := url.Values{"Workspace": {string(workspace)}}
	path := "/v1/answers/" + string(request) + "?" + query.Encode()
	return client.doJSON(ctx, http.MethodDelete, address, path, nil)
}

// Abandon asks the sidecar whether it forwarded the attempt to its upstream. If
// it did not, it never will afterwards. Abandon also returns the incarnation of
// the sidecar that answered.
func (client *Client) Abandon(ctx context.Context, address string, attempt ident.AttemptID) (Abandoned, string, error) {
	request, err := client.request(ctx, http.MethodPost, address, "/v1/attempts/"+string(attempt)+"/abandon", nil)
	if err != nil {
		return Abandoned{}, "", err
	}
	response, state, err := client.do(request)
	if err != nil {
		return Abandoned{}, "", err
	}
	defer response.Body.Close()
	var abandoned Abandoned
	err = decodeBody(response, &abandoned)
	return abandoned, state.Incarnation, err
}

// Drain makes the sidecar at address refuse new requests, and returns its status.
func (client *Client) Drain(ctx context.Context, address string) (Status, error) {
	var status Status
	err := client.doJSON(ctx, http.MethodPost, address, "/v1/drain", &status)
	return status, err
}

// Status returns the status of the sidecar at address.
func (client *Client) Status(ctx context.Context, address string) (Status, error) {
	var status Status
	err := client.doJSON(ctx, http.MethodGet, address, "/v1/status", &status)
	return status, err
}

func (client *Client) request(ctx context.Context, method, address, path string, body io.Reader) (*http.Request, error) {
	request, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, body)
	if err != nil {
		return nil, result.Errorf(result.UpstreamUnreachable, "%v", err)
	}
	if client.Token != "" {
		request.Header.Set("Authorization", "Bearer "+client.Token)
	}
	return request, nil
}

// openFrames sends request and returns the frames of its answer. It fails if the
// response has not begun by the time deadline.
func (client *Client) openFrames(request *http.Request, deadline time.Time) (*Frames, State, error) {
	ctx, cancel := context.WithCancel(request.Context())
	readTimer := time.AfterFunc(time.Until(deadline), cancel)
	response, state, err := client.do(request.WithContext(ctx))
	if err != nil {
		readTimer.Stop()
		cancel()
		return nil, state, err
	}
	return newFrames(response.Body, cancel, readTimer), state, nil
}

// doJSON sends a request without a body and decodes the JSON response into into,
// unless that is nil.
func (client *Client) doJSON(ctx context.Context, method, address, path string, into any) error {
	request, err := client.request(ctx, method, address, path, nil)
	if err != nil {
		return err
	}
	response, _, err := client.do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if into == nil {
		return nil
	}
	return errors.Wrap(decodeBody(response, into), "decode the sidecar's response")
}

// maxJSONBytes limits a JSON response of a sidecar.
const maxJSONBytes = 4 << 20

// decodeBody decodes the JSON body of a response, unless it is longer than maxJSONBytes.
func decodeBody(response *http.Response, into any) error {
	return json.NewDecoder(http.MaxBytesReader(nil, response.Body, maxJSONBytes)).Decode(into)
}

// do sends request and returns the response and the state in it. A response with
// a status of 300 or more is returned as a *result.Error.
func (client *Client) do(request *http.Request) (*http.Response, State, error) {
	client.once.Do(client.prepare)
	response, err := client.http.Do(request)
	if err != nil {
		return nil, State{}, transportError(err)
	}
	state := client.readState(response)
	if response.StatusCode < 300 {
		return response, state, nil
	}
	defer response.Body.Close()
	var problem result.Problem
	if err := decodeBody(response, &problem); err != nil || problem.Number == result.OK {
		return nil, state, result.Errorf(result.OutcomeUnknown, "the sidecar answered with status %d and no valid problem", response.StatusCode)
	}
	return nil, state, problem.Err(time.Now())
}

// readState returns the state in the header of response and passes it to
// OnState. A response without a valid state has the zero state.
func (client *Client) readState(response *http.Response) State {
	var state State
	if err := json.Unmarshal([]byte(response.Header.Get(HeaderState)), &state); err != nil {
		return State{}
	}
	if client.OnState != nil {
		client.OnState(state)
	}
	return state
}

// transportError returns UpstreamUnreachable if nothing of the request was sent,
// and OutcomeUnknown if it may have arrived.
func transportError(err error) error {
	if !oncehttp.Sent(err) {
		return result.Errorf(result.UpstreamUnreachable, "%v", err)
	}
	return result.Errorf(result.OutcomeUnknown, "%v", err)
}
