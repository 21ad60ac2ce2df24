package load

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/hickoryhead/hickoryhead/caller"
	"github.com/hickoryhead/hickoryhead/ident"
	"github.com/hickoryhead/hickoryhead/oncehttp"
	"github.com/hickoryhead/hickoryhead/result"
)

const (
	// maxResumeTries is the number of attempts to resume a truncated answer.
	maxResumeTries = 4
	// resumeWait is the delay before each of these attempts.
	resumeWait = 100 * time.Millisecond
	// maxReplyBytes bounds the size of a reply that is not a stream of events.
	maxReplyBytes = 16 << 20
	typeEvents    = "text/event-stream"
	typeJSON      = "application/json"
)

// ending says how a reply ended.
type ending int

const (
	// endedComplete means that the reply was marked complete.
	endedComplete ending = iota
	// endedProblem means that the reply was an error with a result code.
	endedProblem
	// endedTruncated means that the reply ended without an end or error event.
	endedTruncated
	// endedUnsent means that no byte of the request was sent.
	endedUnsent
	// endedWrong means that the events were malformed or out of sequence.
	endedWrong
)

// reply is the result of one try.
type reply struct {
	ending   ending
	code     result.Code
	detail   string
	retryAt  time.Time
	status   int
	text     string
	cached   ident.Tokens
	prompt   ident.Tokens
	affinity string
	resumed  int
}

// client sends requests to the routers in round-robin order, as a load balancer
// would. It is safe for concurrent use.
type client struct {
	routers []string
	http    *oncehttp.Client
	now     func() time.Time

	turns atomic.Uint64
}

// call is one try of a request.
type call struct {
	path   string
	header http.Header
	body   []byte
	// event is called for each data event with its arrival time and that of
	// the previous event. first is set for the first event of the answer.
	event func(now, before time.Time, first bool)
}

func (client *client) router(turn uint64) string {
	return client.routers[turn%uint64(len(client.routers))]
}

// post sends call and reads its reply to the end. It skips routers that cannot
// be reached, as a load balancer would.
func (client *client) post(ctx context.Context, call call) reply {
	first := client.turns.Add(1)
	var got reply
	for i := range uint64(len(client.routers)) {
		got = client.postTo(ctx, client.router(first+i), call)
		if got.ending != endedUnsent {
			return got
		}
	}
	return got
}

func (client *client) postTo(ctx context.Context, router string, call call) reply {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+router+call.path, bytes.NewReader(call.body))
	if err != nil {
		return reply{ending: endedUnsent}
	}
	request.Header = call.header.Clone()
	response, err := client.http.Do(request)
	if err != nil {
		return replyToFailedSend(err)
	}
	defer response.Body.Close()
	if response.Header.Get("Content-Type") != typeEvents {
		return client.readJSON(response)
	}
	reader := &answerReader{client: client, call: call, affinity: response.Header.Get(caller.HeaderAffinity)}
	return reader.readAll(ctx, response)
}

func replyToFailedSend(err error) reply {
	if oncehttp.Sent(err) {
		return reply{ending: endedTruncated}
	}
	return reply{ending: endedUnsent}
}

// readJSON reads a reply that is a single JSON value.
func (client *client) readJSON(response *http.Response) reply {
	body, err := io.ReadAll(io.LimitReader(response.Body, maxReplyBytes))
	if err != nil {
		return reply{ending: endedTruncated}
	}
	if response.Header.Get(caller.HeaderResult) == result.OK.String() {
		return reply{
			ending:   endedComplete,
			status:   response.StatusCode,
			text:     string(body),
			affinity: response.Header.Get(caller.HeaderAffinity),
		}
	}
	return client.problem(body)
}

// problem returns the reply for an error body. If the body cannot be decoded,
// the outcome of the request is unknown.
func (client *client) problem(body []byte) reply {
	var problem result.Problem
	if err := json.Unmarshal(body, &problem); err != nil || problem.Number == result.OK {
		return reply{ending: endedProblem, code: result.OutcomeUnknown}
	}
	failure := problem.Err(client.now())
	return reply{ending: endedProblem, code: failure.Code, detail: failure.Detail, retryAt: failure.RetryAt}
}

// answerReader reads one answer that is sent as events. It keeps its state
// across the connections over which the answer is resumed.
type answerReader struct {
	client   *client
	call     call
	affinity string

	text    strings.Builder
	lastID  string
	lastSeq uint64
	lastAt  time.Time
	resumed int
}

// readAll reads events from response until the answer ends. If the connection
// breaks, it resumes the answer at a router.
func (reader *answerReader) readAll(ctx context.Context, response *http.Response) reply {
	for tries := 0; ; {
		final, err := reader.read(response.Body)
		response.Body.Close()
		if err == nil {
			final.affinity = reader.affinity
			final.resumed = reader.resumed
			return final
		}
		response = nil
		for response == nil {
			if tries == maxResumeTries || ctx.Err() != nil || reader.lastID == "" {
				return reply{ending: endedTruncated, resumed: reader.resumed}
			}
			tries++
			response = reader.resume(ctx)
		}
		reader.resumed++
	}
}

// resume requests the rest of the answer from the next router. It returns nil
// if that fails.
func (reader *answerReader) resume(ctx context.Context) *http.Response {
	select {
	case <-time.After(resumeWait):
	case <-ctx.Done():
		return nil
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+reader.client.router(reader.client.turns.Add(1))+"/v1/answers", nil)
	if err != nil {
		return nil
	}
	request.Header.Set(caller.HeaderLastEventID, reader.lastID)
	request.Header.Set(caller.HeaderWorkspace, reader.call.header.Get(caller.HeaderWorkspace))
	request.Header.Set("Accept", typeEvents)
	response, err := reader.client.http.Do(request)
	if err != nil {
		return nil
	}
	if response.StatusCode != http.StatusOK {
		response.Body.Close()
		return nil
	}
	return response
}

// read reads events until the answer ends. It returns an error if the
// connection breaks before that.
func (reader *answerReader) read(body io.Reader) (reply, error) {
	events := &eventReader{reader: bufio.NewReader(body)}
	for {
		event, err := events.next()
		if err != nil {
			return reply{}, err
		}
		final, ended := reader.handle(event)
		if ended {
			return final, nil
		}
	}
}

// handle processes one event. If the event ends the answer, it returns the
// reply.
func (reader *answerReader) handle(event event) (final reply, ended bool) {
	switch event.name {
	case caller.EventError:
		return reader.client.problem([]byte(event.data)), true
	case caller.EventData, caller.EventEnd:
	default:
		return reply{}, false
	}
	seq, err := seqOf(event.id)
	if err != nil || seq != reader.lastSeq+1 {
		return reply{ending: endedWrong}, true
	}
	reader.lastSeq = seq
	reader.lastID = event.id
	if event.name == caller.EventEnd {
		return reader.end(event.data), true
	}
	return reply{ending: endedWrong}, !reader.data(event.data)
}

// seqOf returns the sequence number at the end of an event's ID.
func seqOf(id string) (uint64, error) {
	_, number, found := strings.Cut(id, "/")
	if !found {
		return 0, errors.Newf("event ID %q has no sequence number", id)
	}
	return strconv.ParseUint(number, 10, 64)
}

// data appends the text of a data event to the answer. It reports whether the
// text is valid.
func (reader *answerReader) data(encoded string) bool {
	var text string
	if err := json.Unmarshal([]byte(encoded), &text); err != nil {
		return false
	}
	reader.text.WriteString(text)
	now := reader.client.now()
	reader.call.event(now, reader.lastAt, reader.lastSeq == 1)
	reader.lastAt = now
	return true
}

func (reader *answerReader) end(encoded string) reply {
	var end caller.EndEvent
	if err := json.Unmarshal([]byte(encoded), &end); err != nil || end.Frames != reader.lastSeq-1 {
		return reply{ending: endedWrong}
	}
	if end.Affinity != "" {
		reader.affinity = end.Affinity
	}
	return reply{
		ending: endedComplete,
		status: http.StatusOK,
		text:   reader.text.String(),
		cached: end.Cached,
		prompt: end.Prompt,
	}
}
