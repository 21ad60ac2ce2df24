package forward_test

import (
	"context"
	"fmt"
	"net"
	"strings"
	"testing"
	"time"
)

const (
	eventOne   = "id: 1\ndata: a\n\n"
	eventTwo   = "id: 2\ndata: b\n\n"
	eventThree = "id: 3\ndata: c\n\n"
	// answerHead is the head of a signed answer, up to its other headers.
	answerHead = "HTTP/1.1 %s\r\nHickoryhead-Attempt-Id: %s\r\nHickoryhead-Response-Signature: s\r\n"
)

// rest is an answer to a request for the rest of a stream, behind its second event.
type rest struct {
	name   string
	status string
	header string
	body   string
	// want is what the caller gets behind the first two events, and cut whether its answer
	// is broken off there.
	want string
	cut  bool
}

// raw returns the bytes of the answer to an attempt. They are chunked unless the header says
// otherwise.
func (rest rest) raw(attempt string) string {
	head := fmt.Sprintf(answerHead, rest.status, attempt) + rest.header
	if strings.Contains(rest.header, "Content-Length") || strings.Contains(rest.header, "Connection: close") {
		return head + "\r\n" + rest.body
	}
	body := "0\r\n\r\n"
	if rest.body != "" {
		body = chunk(rest.body) + body
	}
	return head + "Transfer-Encoding: chunked\r\n\r\n" + body
}

const eventStreamHeader = "Content-Type: text/event-stream\r\n"

var rests = []rest{
	{name: "the rest", status: "200 OK", header: eventStreamHeader, body: eventThree, want: eventThree},
	{name: "the rest, with a charset", status: "200 OK", header: "Content-Type: text/event-stream; charset=utf-8\r\n", body: eventThree, want: eventThree},
	{name: "a rest of two events", status: "200 OK", header: eventStreamHeader, body: eventThree + "id: 4\ndata: d\n\n", want: eventThree + "id: 4\ndata: d\n\n"},
	{name: "an empty rest", status: "200 OK", header: eventStreamHeader},
	{name: "an empty rest that ends with its connection", status: "200 OK", header: eventStreamHeader + "Connection: close\r\n", cut: true},
	{name: "a comment before the rest", status: "200 OK", header: eventStreamHeader, body: ": wait\n\n" + eventThree, want: ": wait\n\n" + eventThree},
	{name: "JSON", status: "200 OK", header: "Content-Type: application/json\r\n", body: `{"error":"busy"}`, cut: true},
	{name: "JSON that looks like an event", status: "200 OK", header: "Content-Type: application/json\r\n", body: eventThree, cut: true},
	{name: "empty JSON", status: "200 OK", header: "Content-Type: application/json\r\nContent-Length: 0\r\n", cut: true},
	{name: "text", status: "200 OK", header: "Content-Type: text/plain\r\n", body: "overloaded\n\n", cut: true},
	{name: "HTML", status: "200 OK", header: "Content-Type: text/html\r\n", body: "<h1>busy</h1>\n\n", cut: true},
	{name: "no type", status: "200 OK", body: eventThree, cut: true},
	{name: "events without IDs", status: "200 OK", header: eventStreamHeader, body: "data: c\n\n", cut: true},
	{name: "events from the first on", status: "200 OK", header: eventStreamHeader, body: eventOne + eventTwo + eventThree, cut: true},
	{name: "the last event again", status: "200 OK", header: eventStreamHeader, body: eventTwo + eventThree, cut: true},
	{name: "a skipped event", status: "200 OK", header: eventStreamHeader, body: "id: 4\ndata: d\n\n", cut: true},
	{name: "an ID that is no number", status: "200 OK", header: eventStreamHeader, body: "id: x\ndata: d\n\n", cut: true},
	{name: "a head in the body", status: "200 OK", header: eventStreamHeader, body: "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n" + eventThree, cut: true},
	{name: "a bad event behind a good one", status: "200 OK", header: eventStreamHeader, body: eventThree + "id: 3\ndata: again\n\n", want: eventThree, cut: true},
	{name: "204", status: "204 No Content", header: "Content-Length: 0\r\n", cut: true},
	{name: "206", status: "206 Partial Content", header: eventStreamHeader, body: eventThree, cut: true},
	{name: "302", status: "302 Found", header: "Location: /x\r\nContent-Length: 0\r\n", cut: true},
	{name: "404", status: "404 Not Found", header: "Content-Type: text/plain\r\n", body: "no such run\n\n", cut: true},
	{name: "500", status: "500 Internal Server Error", header: eventStreamHeader, body: eventThree, cut: true},
	{name: "503", status: "503 Service Unavailable", header: "Retry-After: 1\r\nContent-Length: 0\r\n", cut: true},
}

// resumingUpstream breaks new streams off behind their second event, and answers requests for
// the rest with answer.
func resumingUpstream(answer rest) func(context.Context, net.Conn, int, receivedRequest) bool {
	return func(_ context.Context, conn net.Conn, _ int, request receivedRequest) bool {
		attempt := request.header.Get("Hickoryhead-Attempt-Id")
		if request.header.Get("Last-Event-Id") != "" {
			write(conn, answer.raw(attempt))
			return !strings.Contains(answer.header, "Connection: close")
		}
		write(conn, fmt.Sprintf(streamHead, attempt)+chunk(eventOne+eventTwo)+chunk("id: 3\nda"))
		time.Sleep(20 * time.Millisecond)
		return false
	}
}

// TestOnlyTheRestOfAStreamIsJoinedToIt guards against another answer of the next upstream in
// the middle of a stream that broke off, and against a stream that ends as if it were whole.
func TestOnlyTheRestOfAStreamIsJoinedToIt(t *testing.T) {
	for _, rest := range rests {
		t.Run(rest.name, func(t *testing.T) {
			t.Parallel()
			router := startRouter(t, startUpstream(t, resumingUpstream(rest)), startUpstream(t, resumingUpstream(rest)))
			got := router.send(t, "a1", "POST", "/resume/", "")
			if want := eventOne + eventTwo + rest.want; got.body != want || (got.err != nil) != rest.cut {
				t.Errorf("got body %q and error %v, want %q and an error: %t", got.body, got.err, want, rest.cut)
			}
		})
	}
}

// TestTakeUpIsAnsweredWithARestOnly guards against another answer to a caller that takes a
// stream up behind its second event.
func TestTakeUpIsAnsweredWithARestOnly(t *testing.T) {
	for _, rest := range rests {
		if rest.name == "a skipped event" || rest.name == "a bad event behind a good one" || !strings.HasPrefix(rest.status, "2") {
			// Only the ID of the last event is known, or the answer is one of its own.
			continue
		}
		t.Run(rest.name, func(t *testing.T) {
			t.Parallel()
			router := startRouter(t, startUpstream(t, resumingUpstream(rest)))
			router.setSoftware("v1")
			router.useSplit("v1", time.Minute)
			got := router.send(t, "a2", "POST", "/resume/", "", "Last-Event-Id", "2", "Resumes", "a1")
			if strings.Contains(got.body, "HH2015") {
				t.Fatalf("got body %q, want the upstream to be asked", got.body)
			}
			if rest.cut && (got.status == 200 && got.err == nil || strings.Contains(got.body, "data:")) {
				t.Errorf("got status %d, body %q and error %v, want a failure", got.status, got.body, got.err)
			}
			if !rest.cut && (got.status != 200 || got.err != nil || got.body != rest.want) {
				t.Errorf("got status %d, body %q and error %v, want %q", got.status, got.body, got.err, rest.want)
			}
		})
	}
}

// TestStreamThatGoesBadIsCut guards against events in a first answer that come twice, out of
// order or without IDs, or with the head of another answer among them.
func TestStreamThatGoesBadIsCut(t *testing.T) {
	for name, bad := range map[string]string{
		"twice":        eventTwo,
		"out of order": eventOne,
		"without ID":   "data: c\n\n",
		"head":         "HTTP/1.1 200 OK\r\n\r\n" + eventThree,
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			router := startRouter(t, startUpstream(t, func(_ context.Context, conn net.Conn, _ int, request receivedRequest) bool {
				write(conn, fmt.Sprintf(streamHead, request.header.Get("Hickoryhead-Attempt-Id"))+chunk(eventOne+eventTwo)+chunk(bad)+"0\r\n\r\n")
				return true
			}))
			got := router.send(t, "a1", "POST", "/stream/", "")
			if got.err == nil || got.body != eventOne+eventTwo {
				t.Errorf("got body %q and error %v, want two events and an error", got.body, got.err)
			}
		})
	}
}

// TestPlainSuccessOfAStreamRouteIsRelayed guards against a whole answer that is cut because it
// is no stream.
func TestPlainSuccessOfAStreamRouteIsRelayed(t *testing.T) {
	answer := rest{status: "200 OK", header: "Content-Type: application/json\r\n", body: `{"text":"whole"}`}
	router := startRouter(t, startUpstream(t, func(_ context.Context, conn net.Conn, _ int, request receivedRequest) bool {
		write(conn, answer.raw(request.header.Get("Hickoryhead-Attempt-Id")))
		return true
	}))
	router.send(t, "a1", "POST", "/stream/", "").check(t, 200, answer.body)
}
