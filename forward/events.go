package forward

import (
	"bytes"
	"mime"
	"net/http"
	"strconv"

	"github.com/cockroachdb/errors"
)

// eventStreamType is the media type of an event stream.
const eventStreamType = "text/event-stream"

var (
	errNoStream      = errors.New("answer is no event stream")
	errBadEvent      = errors.New("bytes in a stream that are no event of it")
	errEventWithout  = errors.New("event without an ID in a stream with IDs")
	errEventOrder    = errors.New("event with an ID that does not follow the one before")
	errMissingEvents = errors.New("rest of a stream that begins behind the event that follows")
)

// isEventStream reports whether an answer is an event stream by its status and type.
func isEventStream(response *http.Response) bool {
	mediaType, _, err := mime.ParseMediaType(response.Header.Get("Content-Type"))
	return response.StatusCode == http.StatusOK && err == nil && mediaType == eventStreamType
}

// eventSequence checks the events of a stream in the order in which they arrive, over all
// answers that it is made of. The zero value is that of a stream from its beginning on.
type eventSequence struct {
	// lastID is the ID of the last event that has one, as it stands there.
	lastID string
	// number is lastID as a number, if numeric is set, and step the largest difference
	// between the numbers of two events of which steps are known, or else the number of
	// the first event.
	number  int64
	numeric bool
	step    int64
	steps   int
	// resumed is set from the beginning of an answer that has to continue behind lastID until
	// its first event.
	resumed bool
}

// resume says that the next event comes from another answer.
func (sequence *eventSequence) resume() { sequence.resumed = true }

// resumeAfter returns the sequence of a stream of which only the ID of the last event is known.
// The next one may be any distance from it.
func resumeAfter(lastID string) eventSequence {
	sequence := eventSequence{resumed: true}
	sequence.setID(lastID)
	return sequence
}

// add checks one complete event. It returns an error for one that is not the next of the
// stream.
func (sequence *eventSequence) add(event []byte) error {
	id, data, err := parseEvent(event)
	switch {
	case err != nil:
		return err
	case id == "" && data && sequence.lastID != "":
		return errEventWithout
	case id == "":
		return nil
	}
	return sequence.follow(id)
}

// follow checks the ID of the next event.
func (sequence *eventSequence) follow(id string) error {
	number, err := strconv.ParseInt(id, 10, 64)
	if err == nil && sequence.numeric {
		step := number - sequence.number
		switch {
		case step <= 0:
			return errEventOrder
		case sequence.resumed && sequence.step > 0 && step > sequence.step:
			return errMissingEvents
		case sequence.steps == 0:
			sequence.step = step
		}
		sequence.step = max(sequence.step, step)
		sequence.steps++
	} else if id == sequence.lastID || sequence.numeric {
		return errEventOrder
	}
	first := sequence.lastID == ""
	sequence.setID(id)
	sequence.resumed = false
	if first && sequence.numeric {
		sequence.step = max(number, 1)
	}
	return nil
}

func (sequence *eventSequence) setID(id string) {
	number, err := strconv.ParseInt(id, 10, 64)
	sequence.lastID, sequence.number, sequence.numeric = id, number, err == nil
}

// httpVersion begins the head of a response, which is no line of an event.
const httpVersion = "HTTP/1."

// parseEvent returns the ID of an event, which is empty if it has none, and whether it has
// data. It returns an error if the event can't be one.
func parseEvent(event []byte) (id string, data bool, err error) {
	for line := range bytes.Lines(event) {
		line = bytes.TrimRight(line, "\r\n")
		name, value, found := bytes.Cut(line, []byte(":"))
		switch {
		case bytes.HasPrefix(line, []byte(httpVersion)):
			return "", false, errBadEvent
		case found && string(name) == "id":
			id = string(bytes.TrimSpace(value))
		case found && string(name) == "data":
			data = true
		}
	}
	return id, data, nil
}
