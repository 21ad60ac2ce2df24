package load

import (
	"bufio"
	"io"
	"strings"

	"github.com/cockroachdb/errors"
)

// event is one server-sent event.
type event struct {
	id   string
	name string
	data string
}

// eventReader parses a stream of server-sent events.
type eventReader struct {
	reader *bufio.Reader
}

// next returns the next event. It returns io.EOF if the stream ends between two
// events, and io.ErrUnexpectedEOF if it ends within one.
func (events *eventReader) next() (event, error) {
	var read event
	started := false
	for {
		line, err := events.reader.ReadString('\n')
		if err != nil {
			return event{}, endError(err, started || line != "")
		}
		line = strings.TrimRight(line, "\r\n")
		if line == "" && started {
			return read, nil
		}
		if line == "" || strings.HasPrefix(line, ":") {
			continue
		}
		started = true
		read.set(line)
	}
}

func endError(err error, started bool) error {
	if errors.Is(err, io.EOF) && started {
		return io.ErrUnexpectedEOF
	}
	return err
}

// set applies one line of an event. Repeated data lines are joined by line
// feeds.
func (event *event) set(line string) {
	field, value, _ := strings.Cut(line, ":")
	value = strings.TrimPrefix(value, " ")
	switch field {
	case "id":
		event.id = value
	case "event":
		event.name = value
	case "data":
		if event.data != "" {
			event.data += "\n"
		}
		event.data += value
	}
}
