package upstream

import (
	"io"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"

	"github.com/hickoryhead/hickoryhead/ident"
)

func TestStreamTellsWholeFromCut(t *testing.T) {
	const first = `{"Index":1,"Text":"a"}` + "\n"
	const second = `{"Index":2,"Text":"b"}` + "\n"
	tests := []struct {
		name   string
		body   string
		after  ident.Tokens
		tokens int
		want   error
	}{
		{"separate last line", first + second + `{"Index":2,"Done":true}` + "\n", 0, 3, io.EOF},
		{"last token done", first + `{"Index":2,"Text":"b","Done":true}` + "\n", 0, 2, io.EOF},
		{"nothing after done", first + `{"Index":1,"Done":true}` + "\n" + second, 0, 2, io.EOF},
		{"resumed", second + `{"Index":2,"Done":true}` + "\n", 1, 2, io.EOF},
		{"ends without done", first + second, 0, 2, io.ErrUnexpectedEOF},
		{"ends within a line", first + `{"Index":2,"Done":true}`, 0, 1, io.ErrUnexpectedEOF},
		{"missing token", first + `{"Index":3,"Text":"c"}` + "\n", 0, 1, io.ErrUnexpectedEOF},
		{"repeated token", first + first, 0, 1, io.ErrUnexpectedEOF},
		{"done too early", first + `{"Index":5,"Done":true}` + "\n", 0, 1, io.ErrUnexpectedEOF},
		{"not JSON", first + "oops\n", 0, 1, io.ErrUnexpectedEOF},
		{"long line", `{"Index":1,"Text":"` + strings.Repeat("x", 3*streamBufferBytes) + `","Done":true}` + "\n", 0, 1, io.EOF},
		{"line over the limit", strings.Repeat("x", 2*maxLineBytes), 0, 0, io.ErrUnexpectedEOF},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			stream := newStream(io.NopCloser(strings.NewReader(test.body)), test.after)
			tokens := 0
			for {
				_, err := stream.Next()
				if err == nil {
					tokens++
					continue
				}
				if !errors.Is(err, test.want) || tokens != test.tokens {
					t.Errorf("got %d tokens and error %v, want %d and %v", tokens, err, test.tokens, test.want)
				}
				if _, again := stream.Next(); !errors.Is(again, test.want) {
					t.Errorf("got error %v from a further call, want %v", again, test.want)
				}
				return
			}
		})
	}
}

func TestBufferedSeesWholeLinesOnly(t *testing.T) {
	reader, writer := io.Pipe()
	defer writer.Close()
	stream := newStream(reader, 0)
	go lineWriter{writer}.run()
	if _, err := stream.Next(); err != nil {
		t.Fatal(err)
	}
	if !stream.Buffered() {
		t.Error("got Buffered false with a complete line in the buffer, want true")
	}
	if _, err := stream.Next(); err != nil {
		t.Fatal(err)
	}
	if stream.Buffered() {
		t.Error("got Buffered true with an incomplete line in the buffer, want false")
	}
}

// lineWriter writes two complete lines of a stream and an incomplete one.
type lineWriter struct {
	writer *io.PipeWriter
}

func (lineWriter lineWriter) run() {
	_, _ = io.WriteString(lineWriter.writer, `{"Index":1,"Text":"a"}`+"\n"+`{"Index":2,"Text":"b"}`+"\n"+`{"Index":3`)
}
