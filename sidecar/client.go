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
	// idleTimeout is below the servers', so that the client closes first.
	idleTimeout = 60 * time.Second
	maxIdle     = 8192
	// endTimeout bounds the reading of a response's end after its last frame.
	endTimeout = 100 * time.Millisecond
	// frameBuffer is the size of the buffer of one answer, in bytes.
	frameBuffer = 16 << 10
	// silenceLimit is how long a sidecar may send nothing at all. It is a few
	// times its heartbeat.
	silenceLimit = 3 * time.Second
)

// Client reaches sidecars from a router. Set its exported fields before the
// first use.
type Client struct {
	// Token is the bearer token of the hop.
	Token string
	// Seen is told of the state that each answer of a sidecar carries.
	Seen func(state State)

	once sync.Once
	http oncehttp.Client
}

func (client *Client) prepare() {
	client.http.DialTimeout = connectTimeout
	client.http.IdleTimeout = idleTimeout
	client.http.MaxIdle = maxIdle
}

// Frames reads the frames of one answer.
type Frames struct {
	body    io.ReadCloser
	buffer  *bufio.Reader
	cancel  context.CancelFunc
	silence *time.Timer
	// ended is set once the last frame was read.
	ended bool
}

func newFrames(body io.ReadCloser, cancel context.CancelFunc, silence *time.Timer) *Frames {
	return &Frames{body: body, buffer: bufio.NewReaderSize(body, frameBuffer), cancel: cancel, silence: silence}
}

// Next returns the next frame, or the error of a cut connection. A sidecar that
// sends neither a frame nor a heartbeat for a while counts as cut off.
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
		frames.silence.Reset(silenceLimit)
		defer frames.silence.Stop()
	}
	frame, err = frames.line()
	frames.ended = err == nil && frame.Last()
	return frame, err == nil && frame.Seq == 0, err
}

func (frames *Frames) line() (answer.Frame, error) {
	line, err := frames.buffer.ReadSlice('\n')
	if errors.Is(err, bufio.ErrBufferFull) {
		return frames.long(line)
	}
	if err != nil {
		return answer.Frame{}, unexpected(err)
	}
	if len(line) == 1 {
		return answer.Frame{}, nil
	}
	return answer.DecodeFrame(line)
}

// long reads a frame that is longer than the buffer.
func (frames *Frames) long(start []byte) (answer.Frame, error) {
	line := bytes.Clone(start)
	rest, err := frames.buffer.ReadBytes('\n')
	if err != nil {
		return answer.Frame{}, unexpected(err)
	}
	return answer.DecodeFrame(append(line, rest...))
}

func unexpected(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}

// Buffered reports whether a whole further frame is at hand already, so that
// Next does not wait. A heartbeat is no frame.
func (frames *Frames) Buffered() bool {
	held, _ := frames.buffer.Peek(frames.buffer.Buffered())
	return bytes.IndexByte(bytes.TrimLeft(held, "\n"), '\n') >= 0
}

// Close ends the reading and frees the connection.
func (frames *Frames) Close() error {
	if frames.ended {
		// What is left is the end of the response. With it read, the
		// connection carries the next request.
		frames.silence.Reset(endTimeout)
		_, _ = io.Copy(io.Discard, frames.buffer)
	}
	frames.silence.Stop()
	frames.cancel()
	return frames.body.Close()
}

// Run sends a request to the sidecar at address. Its error is a *result.Error:
// with the sidecar's own code and state where it refused, UpstreamUnreachable where no
// byte was sent, and OutcomeUnknown where the sidecar may have the request.
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
	// A connection that was closed while idle is replaced before anything of
	// the request was sent.
	request.GetBody = content
	request.ContentLength = int64(len(body) + len(resumeText))
	request.Header.Set(HeaderCall, string(header))
	return client.frames(request, time.Now().Add(silenceLimit))
}

// Resume reads the answer of request again from frame number from on. It gives
// up where the sidecar has not begun to answer at the time giveUpAt.
func (client *Client) Resume(ctx context.Context, address string, request ident.RequestID, workspace ident.WorkspaceID, from answer.Seq, giveUpAt time.Time) (*Frames, error) {
	query := url.Values{"From": {strconv.FormatUint(uint64(from), 10)}, "Workspace": {string(workspace)}}
	path := "/v1/answers/" + string(request) + "?" + query.Encode()
	sent, err := client.request(ctx, http.MethodGet, address, path, nil)
	if err != nil {
		return nil, err
	}
	frames, _, err := client.frames(sent, giveUpAt)
	return frames, err
}

// Cancel stops the answer of request.
func (client *Client) Cancel(ctx context.Context, address string, request ident.RequestID, workspace ident.WorkspaceID) error {
	query := url.Values{"Workspace": {string(workspace)}}
	path := "/v1/answers/" + string(request) + "?" + query.Encode()
	return client.exchange(ctx, http.MethodDelete, address, path, nil)
}

// Abandon makes the sidecar say whether it forwarded the attempt, and makes
// sure that it never will if it has not. It also returns the incarnation of the
// process that answered.
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
	err = json.NewDecoder(response.Body).Decode(&abandoned)
	return abandoned, state.Incarnation, err
}

// Drain tells the sidecar at address to leave.
func (client *Client) Drain(ctx context.Context, address string) (Status, error) {
	var status Status
	err := client.exchange(ctx, http.MethodPost, address, "/v1/drain", &status)
	return status, err
}

// Status asks the sidecar at address for its status.
func (client *Client) Status(ctx context.Context, address string) (Status, error) {
	var status Status
	err := client.exchange(ctx, http.MethodGet, address, "/v1/status", &status)
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

// frames sends request and returns the frames of its answer, which has to begin
// before giveUpAt.
func (client *Client) frames(request *http.Request, giveUpAt time.Time) (*Frames, State, error) {
	ctx, cancel := context.WithCancel(request.Context())
	silence := time.AfterFunc(time.Until(giveUpAt), cancel)
	response, state, err := client.do(request.WithContext(ctx))
	if err != nil {
		silence.Stop()
		cancel()
		return nil, state, err
	}
	return newFrames(response.Body, cancel, silence), state, nil
}

func (client *Client) exchange(ctx context.Context, method, address, path string, into any) error {
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
	return errors.Wrap(json.NewDecoder(response.Body).Decode(into), "sidecar answer")
}

// do sends request and returns a response with a status below 300.
func (client *Client) do(request *http.Request) (*http.Response, State, error) {
	client.once.Do(client.prepare)
	response, err := client.http.Do(request)
	if err != nil {
		return nil, State{}, transportError(err)
	}
	state := client.state(response)
	if response.StatusCode < 300 {
		return response, state, nil
	}
	defer response.Body.Close()
	var problem result.Problem
	if err := json.NewDecoder(response.Body).Decode(&problem); err != nil || problem.Number == result.OK {
		return nil, state, result.Errorf(result.OutcomeUnknown, "sidecar status %d", response.StatusCode)
	}
	return nil, state, problem.Err(time.Now())
}

func (client *Client) state(response *http.Response) State {
	var state State
	if err := json.Unmarshal([]byte(response.Header.Get(HeaderState)), &state); err != nil {
		return State{}
	}
	if client.Seen != nil {
		client.Seen(state)
	}
	return state
}

// transportError tells a request of which nothing was sent from one that may
// have arrived.
func transportError(err error) error {
	if !oncehttp.Sent(err) {
		return result.Errorf(result.UpstreamUnreachable, "%v", err)
	}
	return result.Errorf(result.OutcomeUnknown, "%v", err)
}
