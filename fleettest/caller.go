package fleettest

import (
	"bufio"
	"encoding/json"
	"io"
	"net/http"
	"strings"

	"github.com/hickoryhead/hickoryhead/caller"
	"github.com/hickoryhead/hickoryhead/result"
)

// Request is a request of a caller. Headers whose field is empty are not sent.
type Request struct {
	Route    string
	Chat     string
	Key      string
	Affinity string
	Body     string
	Priority string
	// Workspace defaults to the constant Workspace.
	Workspace string
	// Events requests the answer as server-sent events.
	Events bool
}

// Reply is the reply that a caller received. Text is set after a successful
// answer of a model, and Problem after an error.
type Reply struct {
	Status   int
	Header   http.Header
	Body     string
	Problem  result.Problem
	Text     caller.Text
	Affinity string
}

// Send sends request to a router and reads the complete reply. It returns an
// error if the connection fails; an error status is part of the reply.
func Send(entry *Router, request Request) (Reply, error) {
	response, err := Open(entry, request)
	if err != nil {
		return Reply{}, err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return Reply{}, err
	}
	reply := Reply{Status: response.StatusCode, Header: response.Header, Body: string(body), Affinity: response.Header.Get(caller.HeaderAffinity)}
	if reply.Header.Get(caller.HeaderResult) == result.OK.String() {
		_ = json.Unmarshal(body, &reply.Text)
		return reply, nil
	}
	_ = json.Unmarshal(body, &reply.Problem)
	return reply, nil
}

// Open sends request to a router and returns the response once its header has
// arrived. The caller must close the body.
func Open(entry *Router, request Request) (*http.Response, error) {
	url := "http://" + entry.Callers + "/v1/teams/" + string(Team) + "/routes/" + request.Route + "/requests"
	httpRequest, err := http.NewRequest(http.MethodPost, url, strings.NewReader(request.Body))
	if err != nil {
		return nil, err
	}
	httpRequest.GetBody = nil
	headers := map[string]string{
		caller.HeaderWorkspace: firstNonEmpty(request.Workspace, string(Workspace)),
		caller.HeaderChat:      request.Chat,
		caller.HeaderKey:       request.Key,
		caller.HeaderAffinity:  request.Affinity,
		caller.HeaderPriority:  request.Priority,
	}
	for name, value := range headers {
		if value != "" {
			httpRequest.Header.Set(name, value)
		}
	}
	if request.Events {
		httpRequest.Header.Set("Accept", "text/event-stream")
	}
	return http.DefaultClient.Do(httpRequest)
}

// Resume requests from a router the events of an answer that follow lastEventID.
// The caller must close the body.
func Resume(entry *Router, lastEventID string) (*http.Response, error) {
	httpRequest, err := http.NewRequest(http.MethodGet, "http://"+entry.Callers+"/v1/answers", nil)
	if err != nil {
		return nil, err
	}
	httpRequest.Header.Set(caller.HeaderWorkspace, string(Workspace))
	httpRequest.Header.Set(caller.HeaderLastEventID, lastEventID)
	return http.DefaultClient.Do(httpRequest)
}

// Event is a server-sent event.
type Event struct {
	ID   string
	Name string
	Data string
}

// Text decodes the text of a data event. It returns an empty string if the data
// is not a JSON string.
func (event Event) Text() string {
	var text string
	_ = json.Unmarshal([]byte(event.Data), &text)
	return text
}

// Events reads server-sent events from a response body.
type Events struct {
	scanner *bufio.Scanner
}

// NewEvents returns a reader of the events in body. It doesn't close body.
func NewEvents(body io.Reader) *Events {
	return &Events{scanner: bufio.NewScanner(body)}
}

// Next returns the next event. At the end of the stream it returns
// io.ErrUnexpectedEOF, since a complete answer ends with an event of its own.
func (events *Events) Next() (Event, error) {
	var event Event
	for events.scanner.Scan() {
		name, value, _ := strings.Cut(events.scanner.Text(), ": ")
		switch name {
		case "id":
			event.ID = value
		case "event":
			event.Name = value
		case "data":
			event.Data = value
		case "":
			return event, nil
		}
	}
	return event, io.ErrUnexpectedEOF
}
