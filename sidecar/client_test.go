package sidecar

import (
	"bufio"
	"io"
	"testing"
	"time"

	"github.com/hickoryhead/hickoryhead/answer"
)

// parts gives one part of a stream at each Read.
type parts []string

func (parts *parts) Read(buffer []byte) (int, error) {
	if len(*parts) == 0 {
		return 0, io.EOF
	}
	part := (*parts)[0]
	*parts = (*parts)[1:]
	return copy(buffer, part), nil
}

// A frame of which only a part has come, or a heartbeat, must not hold up the
// frames before it.
func TestFramesAreBufferedOnlyWhole(t *testing.T) {
	stream := &parts{"{\"Seq\":1,\"Data\":\"a\"}\n{\"Seq\":2,\"Data\":\"b\"}\n{\"Seq\":3,\"Da", "ta\":\"c\"}\n\n\n", "{\"Seq\":4}\n"}
	frames := &Frames{body: io.NopCloser(stream), buffer: bufio.NewReader(stream), silence: time.AfterFunc(time.Hour, func() {})}
	wantBuffered := []bool{true, false, false, false}
	for i, want := range wantBuffered {
		frame, err := frames.Next()
		if err != nil || frame.Seq != answer.Seq(i+1) {
			t.Fatalf("got frame %d and %v, want frame %d", frame.Seq, err, i+1)
		}
		if got := frames.Buffered(); got != want {
			t.Errorf("after frame %d: got buffered %t, want %t", frame.Seq, got, want)
		}
	}
	if _, err := frames.Next(); err != io.ErrUnexpectedEOF {
		t.Errorf("got %v at the end, want io.ErrUnexpectedEOF", err)
	}
}
