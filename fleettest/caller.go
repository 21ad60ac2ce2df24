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

// Request is one request of a caller.
type Request struct {
	Route    string
	Chat     string
	Key      string
	Affinity string
	Body     string
	Priority string
	// Workspace is the caller's; empty means Workspace.
	Workspace string
	// Events asks for server-sent events.
	Events bool
}

// Reply is what a caller received.
type Reply struct {
	Status   int
	Header   http.Header
	Body     string
	Problem  result.Problem
	Text     caller.Text
	Affinity string
}

// Ask sends request to a router and reads its whole answer.
func Ask(entry *Entry, request Request) (Reply, error) {
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

// Open sends request to a router and returns its response as it begins.
func Open(entry *Entry, request Request) (*http.Response, error) {
	url := "http://" + entry.Callers + "/v1/teams/" + string(Team) + "/routes/" + request.Route + "/requests"
	sent, err := http.NewRequest(http.MethodPost, url, strings.NewReader(request.Body))
	if err != nil {
		return nil, err
	}
	sent.GetBody = nil
	headers := map[string]string{
		caller.HeaderWorkspace: either(request.Workspace, string(Workspace)),
		caller.HeaderChat:      request.Chat,
		caller.HeaderKey:       request.Key,
		caller.HeaderAffinity:  request.Affinity,
		caller.HeaderPriority:  request.Priority,
	}
	for name, value := range headers {
		if value != "" {
			sent.Header.Set(name, value)
		}
	}
	if request.Events {
		sent.Header.Set("Accept", "text/event-stream")
	}
	return http.DefaultClient.Do(sent)
}

// Resume asks a router for the events after lastEventID.
func Resume(entry *Entry, lastEventID string) (*http.Response, error) {
	sent, err := http.NewRequest(http.MethodGet, "http://"+entry.Callers+"/v1/answers", nil)
	if err != nil {
		return nil, err
	}
	sent.Header.Set(caller.HeaderWorkspace, string(Workspace))
	sent.Header.Set(caller.HeaderLastEventID, lastEventID)
	return http.DefaultClient.Do(sent)
}

// Event is one server-sent event.
type Event struct {
	ID   string
	Name string
	Data string
}

// Text returns the text of a data event.
func (event Event) Text() string {
	var text string
	_ = json.Unmarshal([]byte(event.Data), &text)
	return text
}

// Events reads the events of a response one by one.
type Events struct {
	scanner *bufio.Scanner
}

// NewEvents returns a reader of the events in body.
func NewEvents(body io.Reader) *Events {
	return &Events{scanner: bufio.NewScanner(body)}
}

// Next returns the next event, or io.ErrUnexpectedEOF at the end of the stream.
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
