package forward_test

import (
	"context"
	"fmt"
	"net"
	"testing"
	"time"
)

// unframedHead is the head of an answer without a length and without chunks.
const unframedHead = "HTTP/1.1 200 OK\r\nHickoryhead-Attempt-Id: %s\r\nHickoryhead-Response-Signature: s\r\n\r\n"

// TestAnswersThatEndWithTheirConnection guards against a cut answer that looks
// complete, and against a crash that is taken for the end of an answer.
func TestAnswersThatEndWithTheirConnection(t *testing.T) {
	const event, second = "id: 1\ndata: a\n\n", "id: 2\ndata: b\n\n"
	tests := []struct {
		name string
		path string
		body string
		// cut has the upstream reset the connection instead of closing it.
		cut        bool
		wantStatus int
		wantBody   string
		wantBroken bool
		wantStrike bool
	}{
		{"plain", "/once/", "answer", false, 200, "answer", false, false},
		{"plain, empty", "/once/", "", false, 200, "", false, false},
		{"plain, reset", "/once/", "answ", true, 502, "", false, true},
		{"stream", "/stream/", event + second, false, 200, event + second, false, false},
		{"stream, reset behind an event", "/stream/", event, true, 200, event, true, true},
		{"stream, ended inside an event", "/stream/", event + "id: 2\nda", false, 200, event, true, true},
		{"stream, ended inside the first event", "/stream/", "id: 1\nda", false, 502, "", false, true},
		{"stream, ended before the first event", "/stream/", "", false, 502, "", false, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			router := startRouter(t, startUpstream(t, func(_ context.Context, conn net.Conn, _ int, request receivedRequest) bool {
				write(conn, fmt.Sprintf(unframedHead, request.header.Get("Hickoryhead-Attempt-Id"))+test.body)
				if test.cut {
					time.Sleep(20 * time.Millisecond)
					reset(conn)
				}
				return false
			}))
			got := router.send(t, "a1", "POST", test.path, "body")
			if got.status != test.wantStatus || got.status == 200 && got.body != test.wantBody || (got.err != nil) != test.wantBroken {
				t.Errorf("got status %d, body %q and error %v, want status %d, body %q and an error: %t", got.status, got.body, got.err, test.wantStatus, test.wantBody, test.wantBroken)
			}
			if got := router.handler.Strikes.Any(); got != test.wantStrike {
				t.Errorf("got a strike: %t, want %t", got, test.wantStrike)
			}
		})
	}
}

// TestStreamThatEndsInsideAnEventIsCut guards against a stream that is passed on as
// complete though its chunks end inside an event.
func TestStreamThatEndsInsideAnEventIsCut(t *testing.T) {
	const event = "id: 1\ndata: a\n\n"
	router := startRouter(t, startUpstream(t, func(_ context.Context, conn net.Conn, _ int, request receivedRequest) bool {
		write(conn, fmt.Sprintf(streamHead, request.header.Get("Hickoryhead-Attempt-Id"))+chunk(event+"id: 2\nda")+"0\r\n\r\n")
		return true
	}))
	if got := router.send(t, "a1", "POST", "/stream/", "body"); got.err == nil || got.body != event {
		t.Errorf("got body %q and error %v, want one event and an error", got.body, got.err)
	}
	if router.handler.Strikes.Any() {
		t.Error("got a strike for an upstream that ended its chunks, want none")
	}
}
