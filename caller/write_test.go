package caller

import (
	"bufio"
	"encoding/json"
	"fmt"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"github.com/hickoryhead/hickoryhead/affinity"
	"github.com/hickoryhead/hickoryhead/answer"
	"github.com/hickoryhead/hickoryhead/directory"
	"github.com/hickoryhead/hickoryhead/ident"
	"github.com/hickoryhead/hickoryhead/result"
)

func newRelay() *relay {
	incoming := &incoming{id: "request-1", workspace: "store-12"}
	incoming.route.Model = "planogram-7b@3"
	return &relay{server: &Server{}, incoming: incoming, entry: directory.Entry{Upstream: "engine-1"}}
}

// A data event encodes any text, including line breaks, as one JSON value.
func TestDataEvents(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		frame := answer.Frame{Seq: answer.Seq(rapid.Uint64().Draw(t, "seq")), Data: rapid.String().Draw(t, "text")}
		data, err := json.Marshal(frame.Data)
		if err != nil {
			t.Fatal(err)
		}
		var written strings.Builder
		events := &events{buffer: bufio.NewWriterSize(&written, 16)}
		if err := events.frame(newRelay(), frame); err != nil {
			t.Fatal(err)
		}
		_ = events.buffer.Flush()
		want := fmt.Sprintf("id: engine-1~request-1/%d\nevent: data\ndata: %s\n\n", frame.Seq, data)
		if got := written.String(); got != want {
			t.Fatalf("got %q, want %q", got, want)
		}
	})
}

func TestEndEvent(t *testing.T) {
	var written strings.Builder
	events := &events{buffer: bufio.NewWriter(&written)}
	frame := answer.Frame{Seq: 3, End: &answer.End{Frames: 2, Status: 200, Prompt: 5}}
	if err := events.frame(newRelay(), frame); err != nil {
		t.Fatal(err)
	}
	_ = events.buffer.Flush()
	want := "id: engine-1~request-1/3\nevent: end\ndata: {\"Frames\":2,\"Status\":200,\"Cached\":0,\"Prompt\":5}\n\n"
	if got := written.String(); got != want {
		t.Errorf("got %q, want %q", got, want)
	}
}

// An answer whose text is too long to keep must not be continued on another
// upstream, which would start from an incomplete text.
func TestLongTextIsNotContinued(t *testing.T) {
	for _, test := range []struct {
		bytes   int
		retried bool
	}{{maxTextBytes, true}, {maxTextBytes + 1, false}} {
		relay := newRelay()
		relay.incoming.route.Idempotent = true
		relay.incoming.deadline = relay.server.now().Add(defaultTimeout)
		relay.pool = &directory.Pool{Entries: make([]directory.Entry, 2), Ranking: affinity.NewPool([]affinity.Candidate{{Upstream: "engine-1"}, {Upstream: "engine-2"}})}
		relay.plan = relay.pool.Ranking.Plan("chat-1", "")
		relay.planOffers = 1
		relay.keepText([]answer.Frame{{Seq: 1, Data: strings.Repeat("a", test.bytes)}})
		relay.keepText([]answer.Frame{{Seq: 2, Data: ""}})
		relay.server.countRequest(relay.incoming)
		err := relay.handleFailure(result.Errorf(result.UpstreamFailed, "lost"))
		if got := err == nil; got != test.retried {
			t.Errorf("%d bytes: got retried %t (%v), want %t", test.bytes, got, err, test.retried)
		}
		if got := relay.text.Len(); got > maxTextBytes {
			t.Errorf("%d bytes: got %d bytes kept, want at most %d", test.bytes, got, maxTextBytes)
		}
	}
}

func BenchmarkDataEvent(b *testing.B) {
	var discarded strings.Builder
	events := &events{buffer: bufio.NewWriter(&discarded)}
	relay := newRelay()
	relay.incoming.id = ident.NewRequestID()
	frame := answer.Frame{Seq: 431, Data: " gondola"}
	for b.Loop() {
		if err := events.frame(relay, frame); err != nil {
			b.Fatal(err)
		}
		events.buffer.Reset(&discarded)
	}
}
