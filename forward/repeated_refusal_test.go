package forward_test

import (
	"context"
	"fmt"
	"net"
	"testing"
	"time"
)

// TestRepeatedRefusalBesideInterimAnswers guards against a refusal of an earlier request that
// is taken for the answer to another one, when an upstream writes it once more around interim
// answers on a kept connection. A connection that brought a refusal is not kept.
func TestRepeatedRefusalBesideInterimAnswers(t *testing.T) {
	const interim = "HTTP/1.1 100 Continue\r\n\r\n"
	const hints = "HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n"
	for _, status := range []string{"503 Service Unavailable", "429 Too Many Requests", "421 Misdirected Request"} {
		named := "HTTP/1.1 " + status + "\r\nHickoryhead-Attempt-Id: a0\r\nHickoryhead-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
		unnamed := "HTTP/1.1 " + status + "\r\nHickoryhead-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
		for _, before := range []string{interim + named, named + interim, hints + named + hints, interim + unnamed, unnamed + interim, named + unnamed} {
			t.Run(fmt.Sprintf("%.3s %q", status, before), func(t *testing.T) {
				t.Parallel()
				upstream := startUpstream(t, func(_ context.Context, conn net.Conn, n int, request receivedRequest) bool {
					attempt := request.header.Get("Hickoryhead-Attempt-Id")
					if n == 0 {
						write(conn, completeResponse(attempt, "answer"))
						return true
					}
					write(conn, before+completeResponse(attempt, "answer"))
					return true
				})
				router := startRouter(t, upstream)
				router.send(t, "a1", "POST", "/once/", "")
				runsBefore := len(upstream.requestsSoFar())
				got := router.send(t, "a2", "POST", "/once/", "")
				ran := len(upstream.requestsSoFar()) - runsBefore
				if ran > 1 || ran == 1 && got.status != 200 && got.status != 502 {
					t.Errorf("got status %d for a request that ran %d times, want 200 or 502 and one run", got.status, ran)
				}
			})
		}
	}
}

// TestRepeatedRefusalDuringIdentityCheck guards against a refusal that is written once more
// while the router asks which process runs behind a kept connection.
func TestRepeatedRefusalDuringIdentityCheck(t *testing.T) {
	for name, refusal := range map[string]string{
		"named":   "HTTP/1.1 503 Service Unavailable\r\nHickoryhead-Attempt-Id: b1\r\nHickoryhead-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n",
		"unnamed": "HTTP/1.1 503 Service Unavailable\r\nHickoryhead-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			runs := 0
			upstream := startUpstream(t, func(_ context.Context, conn net.Conn, _ int, request receivedRequest) bool {
				attempt := request.header.Get("Hickoryhead-Attempt-Id")
				switch {
				case request.target == "/report":
					write(conn, refusal+"HTTP/1.1 200 OK\r\nContent-Length: 14\r\n\r\n{\"born\":1000 }")
				case attempt == "b0":
					write(conn, completeResponse(attempt, "answer to b0"))
				default:
					runs++
					write(conn, fmt.Sprintf(streamHead, attempt)+chunk(eventThree)+"0\r\n\r\n")
				}
				return true
			})
			router := startRouter(t, upstream)
			listed := router.handler.Registry.Upstreams()
			listed[0].Software, listed[0].Incarnation, listed[0].Version = "v1", 1000, 2
			router.handler.Registry.Replace(time.Now(), 2, listed)
			router.useSplit("v1", time.Minute)
			router.send(t, "b0", "POST", "/once/", "").check(t, 200, "answer to b0")
			got := router.send(t, "b2", "POST", "/resume/", "", "Last-Event-Id", "2", "Resumes", "b0")
			if runs > 1 || runs == 1 && got.status != 200 && got.status != 502 || runs == 0 && got.status == 200 {
				t.Errorf("got status %d and body %q for a request that ran %d times", got.status, got.body, runs)
			}
			t.Logf("status %d, %d runs", got.status, runs)
		})
	}
}
