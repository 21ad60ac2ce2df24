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
	// resumeTries is how often a cut answer is asked for again.
	resumeTries = 4
	resumeWait  = 100 * time.Millisecond
	// maxReplyBytes bounds an answer in one JSON value.
	maxReplyBytes = 16 << 20
	typeEvents    = "text/event-stream"
	typeJSON      = "application/json"
)

// ending says how a reply ended.
type ending int

// The endings of a reply.
const (
	// endedWhole means that the reply calls itself whole.
	endedWhole ending = iota
	// endedProblem means that it gave a code.
	endedProblem
	// endedCut means that it stopped without either.
	endedCut
	// endedUnsent means that no byte of the request was sent.
	endedUnsent
	// endedWrong means that its events contradict each other.
	endedWrong
)

// reply is what a caller got for one try.
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

// client sends requests to routers in turn, as a balancer would.
type client struct {
	routers []string
	http    *oncehttp.Client
	now     func() time.Time

	turn atomic.Uint64
}

// call is one try of a request.
type call struct {
	path   string
	header http.Header
	body   []byte
	// event is told when each data event arrived and when the one before it
	// did; first marks the first one of the answer.
	event func(now, before time.Time, first bool)
}

func (client *client) router(turn uint64) string {
	return client.routers[turn%uint64(len(client.routers))]
}

// post sends call and reads its reply to the end. A router that cannot be
// reached is passed over, as a balancer would.
func (client *client) post(ctx context.Context, call call) reply {
	first := client.turn.Add(1)
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
		return unanswered(err)
	}
	defer response.Body.Close()
	if response.Header.Get("Content-Type") != typeEvents {
		return client.readWhole(response)
	}
	reading := &reading{client: client, call: call, affinity: response.Header.Get(caller.HeaderAffinity)}
	return reading.readAll(ctx, response)
}

func unanswered(err error) reply {
	if oncehttp.Sent(err) {
		return reply{ending: endedCut}
	}
	return reply{ending: endedUnsent}
}

// readWhole reads a reply that is one JSON value.
func (client *client) readWhole(response *http.Response) reply {
	body, err := io.ReadAll(io.LimitReader(response.Body, maxReplyBytes))
	if err != nil {
		return reply{ending: endedCut}
	}
	if response.Header.Get(caller.HeaderResult) == result.OK.String() {
		return reply{
			ending:   endedWhole,
			status:   response.StatusCode,
			text:     string(body),
			affinity: response.Header.Get(caller.HeaderAffinity),
		}
	}
	return client.problem(body)
}

// problem returns the reply of an error body. A body that is none leaves open
// what became of the request.
func (client *client) problem(body []byte) reply {
	var problem result.Problem
	if err := json.Unmarshal(body, &problem); err != nil || problem.Number == result.OK {
		return reply{ending: endedProblem, code: result.OutcomeUnknown}
	}
	failure := problem.Err(client.now())
	return reply{ending: endedProblem, code: failure.Code, detail: failure.Detail, retryAt: failure.RetryAt}
}

// reading is the state of one answer that comes as events, across the
// connections that it needs.
type reading struct {
	client   *client
	call     call
	affinity string

	text    strings.Builder
	lastID  string
	lastSeq uint64
	last    time.Time
	resumed int
}

// readAll reads events from response, and again from a router where that was
// cut, until the answer ends.
func (reading *reading) readAll(ctx context.Context, response *http.Response) reply {
	for tries := 0; ; {
		final, err := reading.read(response.Body)
		response.Body.Close()
		if err == nil {
			final.affinity = reading.affinity
			final.resumed = reading.resumed
			return final
		}
		response = nil
		for response == nil {
			if tries == resumeTries || ctx.Err() != nil || reading.lastID == "" {
				return reply{ending: endedCut, resumed: reading.resumed}
			}
			tries++
			response = reading.resume(ctx)
		}
		reading.resumed++
	}
}

// resume asks a router for the rest of the answer. It returns nil where that
// failed.
func (reading *reading) resume(ctx context.Context) *http.Response {
	select {
	case <-time.After(resumeWait):
	case <-ctx.Done():
		return nil
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+reading.client.router(reading.client.turn.Add(1))+"/v1/answers", nil)
	if err != nil {
		return nil
	}
	request.Header.Set(caller.HeaderLastEventID, reading.lastID)
	request.Header.Set(caller.HeaderWorkspace, reading.call.header.Get(caller.HeaderWorkspace))
	request.Header.Set("Accept", typeEvents)
	response, err := reading.client.http.Do(request)
	if err != nil {
		return nil
	}
	if response.StatusCode != http.StatusOK {
		response.Body.Close()
		return nil
	}
	return response
}

// read reads events until the answer ends. Its error is that of a connection
// that was cut before.
func (reading *reading) read(body io.Reader) (reply, error) {
	events := &eventReader{reader: bufio.NewReader(body)}
	for {
		event, err := events.next()
		if err != nil {
			return reply{}, err
		}
		final, ended := reading.take(event)
		if ended {
			return final, nil
		}
	}
}

// take takes in one event and returns the reply if it is the last one.
func (reading *reading) take(event event) (final reply, ended bool) {
	switch event.name {
	case caller.EventError:
		return reading.client.problem([]byte(event.data)), true
	case caller.EventData, caller.EventEnd:
	default:
		return reply{}, false
	}
	seq, err := seqOf(event.id)
	if err != nil || seq != reading.lastSeq+1 {
		return reply{ending: endedWrong}, true
	}
	reading.lastSeq = seq
	reading.lastID = event.id
	if event.name == caller.EventEnd {
		return reading.end(event.data), true
	}
	return reply{ending: endedWrong}, !reading.data(event.data)
}

// seqOf returns the sequence number at the end of an event's ID.
func seqOf(id string) (uint64, error) {
	_, number, found := strings.Cut(id, "/")
	if !found {
		return 0, errors.Newf("event ID %q", id)
	}
	return strconv.ParseUint(number, 10, 64)
}

// data takes in the text of a data event and reports whether it is valid.
func (reading *reading) data(encoded string) bool {
	var text string
	if err := json.Unmarshal([]byte(encoded), &text); err != nil {
		return false
	}
	reading.text.WriteString(text)
	now := reading.client.now()
	reading.call.event(now, reading.last, reading.lastSeq == 1)
	reading.last = now
	return true
}

func (reading *reading) end(encoded string) reply {
	var end caller.EndEvent
	if err := json.Unmarshal([]byte(encoded), &end); err != nil || end.Frames != reading.lastSeq-1 {
		return reply{ending: endedWrong}
	}
	if end.Affinity != "" {
		reading.affinity = end.Affinity
	}
	return reply{
		ending: endedWhole,
		status: http.StatusOK,
		text:   reading.text.String(),
		cached: end.Cached,
		prompt: end.Prompt,
	}
}
