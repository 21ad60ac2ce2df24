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

// eventReader reads server-sent events.
type eventReader struct {
	reader *bufio.Reader
}

// next returns the next event, io.EOF where the stream ends between two events,
// and io.ErrUnexpectedEOF where it was cut within one.
func (events *eventReader) next() (event, error) {
	var read event
	begun := false
	for {
		line, err := events.reader.ReadString('\n')
		if err != nil {
			return event{}, endError(err, begun || line != "")
		}
		line = strings.TrimRight(line, "\r\n")
		if line == "" && begun {
			return read, nil
		}
		if line == "" || strings.HasPrefix(line, ":") {
			continue
		}
		begun = true
		read.set(line)
	}
}

func endError(err error, begun bool) error {
	if errors.Is(err, io.EOF) && begun {
		return io.ErrUnexpectedEOF
	}
	return err
}

// set takes in one line of an event. The lines of repeated data are joined by
// line feeds.
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
