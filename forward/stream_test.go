package forward_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/hickoryhead/hickoryhead/ident"
)

const streamHead = "HTTP/1.1 200 OK\r\nHickoryhead-Attempt-Id: %s\r\nHickoryhead-Response-Signature: s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"

func chunk(data string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(data), data) }

// TestTruncatedStreams truncates a stream inside its third event. The caller
// must receive two complete events and an error, or the rest from another
// upstream if the route allows that.
func TestTruncatedStreams(t *testing.T) {
	const first, second = "id: 1\ndata: a\n\n", "id: 2\ndata: b\n\n"
	upstream := func(_ context.Context, conn net.Conn, _ int, request receivedRequest) bool {
		head := fmt.Sprintf(streamHead, request.header.Get("Hickoryhead-Attempt-Id"))
		if request.header.Get("Last-Event-Id") == "2" {
			write(conn, head+chunk("id: 3\ndata: c\n\n")+"0\r\n\r\n")
			return true
		}
		write(conn, head+chunk(first+second)+chunk("id: 3\nda"))
		time.Sleep(20 * time.Millisecond)
		return false
	}
	router := startRouter(t, startUpstream(t, upstream), startUpstream(t, upstream))

	got := router.send(t, "a1", "POST", "/stream/", "")
	if got.err == nil || got.body != first+second {
		t.Errorf("got body %q and error %v, want two events and an error", got.body, got.err)
	}
	router.send(t, "a2", "POST", "/resume/", "").check(t, 200, first+second+"id: 3\ndata: c\n\n")
}

// TestKeepAliveAfterAStreamDeadline sends a plain request on a connection whose
// earlier request was a stream with a deadline that has passed since. That
// deadline must not apply to the plain request.
func TestKeepAliveAfterAStreamDeadline(t *testing.T) {
	upstream := startUpstream(t, func(ctx context.Context, conn net.Conn, n int, request receivedRequest) bool {
		if n > 0 {
			return echo(ctx, conn, n, request)
		}
		write(conn, fmt.Sprintf(streamHead, request.header.Get("Hickoryhead-Attempt-Id"))+chunk("id: 1\ndata: a\n\n")+"0\r\n\r\n")
		return true
	})
	router := startRouter(t, upstream)
	router.client.Transport = &http.Transport{DisableCompression: true, MaxConnsPerHost: 1}
	router.send(t, "a1", "POST", "/stream/", "", "Hickoryhead-Deadline-Ms", "100").check(t, 200, "id: 1\ndata: a\n\n")
	time.Sleep(1300 * time.Millisecond)
	router.send(t, "a2", "POST", "/once/", "").check(t, 200, "answer to a2")
}

// TestLongAnswer relays an answer that is too long to be buffered, once
// complete and once truncated.
func TestLongAnswer(t *testing.T) {
	long := strings.Repeat("0123456789abcdef", 200_000)
	upstream := startUpstream(t, func(_ context.Context, conn net.Conn, n int, request receivedRequest) bool {
		answer := completeResponse(request.header.Get("Hickoryhead-Attempt-Id"), long)
		if n > 0 {
			answer = answer[:len(answer)-1000]
		}
		write(conn, answer)
		return n == 0
	})
	router := startRouter(t, upstream)
	router.send(t, "a1", "POST", "/once/", "").check(t, 200, long)
	if got := router.send(t, "a2", "POST", "/once/", ""); got.err == nil {
		t.Errorf("got status %d and %d bytes for a truncated answer, want an error", got.status, len(got.body))
	}
}

// TestEventsAreFlushedImmediately has the upstream send its second event only
// after the caller has received the first one.
func TestEventsAreFlushedImmediately(t *testing.T) {
	proceed := make(chan struct{})
	upstream := startUpstream(t, func(_ context.Context, conn net.Conn, _ int, request receivedRequest) bool {
		write(conn, fmt.Sprintf(streamHead, request.header.Get("Hickoryhead-Attempt-Id"))+chunk("id: 1\ndata: a\n\n"))
		<-proceed
		write(conn, chunk("id: 2\ndata: b\n\n")+"0\r\n\r\n")
		return true
	})
	router := startRouter(t, upstream)
	request, err := http.NewRequestWithContext(t.Context(), "POST", "http://"+router.address+"/stream/", nil)
	if err != nil {
		t.Fatal(err)
	}
	request.Host = "a.example"
	request.Header.Set("Hickoryhead-Attempt-Id", "a1")
	request.Header.Set("Authorization", "Token key-1")
	response, err := router.client.Do(request)
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	event := make([]byte, len("id: 1\ndata: a\n\n"))
	if _, err := io.ReadFull(response.Body, event); err != nil {
		t.Fatalf("got %v, want the first event", err)
	}
	close(proceed)
	rest, err := io.ReadAll(response.Body)
	if err != nil || string(rest) != "id: 2\ndata: b\n\n" {
		t.Errorf("got %q and %v, want the second event", rest, err)
	}
}

// TestStreamIsNotResumedAtAnotherSoftwareVersion guards against an answer that is
// joined from what two versions of an upstream's software write.
func TestStreamIsNotResumedAtAnotherSoftwareVersion(t *testing.T) {
	const first, second = "id: 1\ndata: a\n\n", "id: 2\ndata: b\n\n"
	upstream := func(_ context.Context, conn net.Conn, _ int, request receivedRequest) bool {
		head := fmt.Sprintf(streamHead, request.header.Get("Hickoryhead-Attempt-Id"))
		if request.header.Get("Last-Event-Id") == "1" {
			write(conn, head+chunk(second)+"0\r\n\r\n")
			return true
		}
		write(conn, head+chunk(first)+chunk("id: 2\nda"))
		time.Sleep(20 * time.Millisecond)
		return false
	}
	tests := []struct {
		name     string
		software []ident.SoftwareVersion
		want     string
	}{
		{"another version", []ident.SoftwareVersion{"v1", "v2"}, first},
		{"no version", []ident.SoftwareVersion{"v1", ""}, first},
		{"none has a version", []ident.SoftwareVersion{"", ""}, first},
		{"same version", []ident.SoftwareVersion{"v1", "v1"}, first + second},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			router := startRouter(t, startUpstream(t, upstream), startUpstream(t, upstream))
			router.setSoftware(test.software...)
			for n := range 4 {
				got := router.send(t, fmt.Sprint("a", n), "POST", "/resume/", fmt.Sprint("body ", n))
				if got.body != test.want || (got.err == nil) != (test.want != first) {
					t.Errorf("got body %q and error %v, want %q", got.body, got.err, test.want)
				}
			}
		})
	}
}
