package forward_test

import (
	"context"
	"fmt"
	"net"
	"strings"
	"testing"
	"time"
)

// signedHead is the beginning of the head of a signed answer, with a place for the ID of the request.
const signedHead = "HTTP/1.1 200 OK\r\nHickoryhead-Attempt-Id: %s\r\nHickoryhead-Response-Signature: s\r\n"

// sendToAnswering sends a request on path to a router whose upstream writes the text of an answer, with
// the ID of the request in place of %s, at once or line by line.
func sendToAnswering(t *testing.T, path, text string, inParts bool) outcome {
	t.Helper()
	upstream := startUpstream(t, func(_ context.Context, conn net.Conn, _ int, request receivedRequest) bool {
		text := strings.ReplaceAll(text, "%s", request.header.Get("Hickoryhead-Attempt-Id"))
		if !inParts {
			write(conn, text)
			return true
		}
		for line := range strings.SplitAfterSeq(text, "\n") {
			write(conn, line)
			time.Sleep(time.Millisecond)
		}
		return true
	})
	return startRouter(t, upstream).send(t, "a1", "POST", path, "body")
}

// checkNoAnswer sends a request on each kind of route to an upstream that answers with text, and fails
// the test if the caller gets an answer of that upstream.
func checkNoAnswer(t *testing.T, text string) {
	t.Helper()
	for _, path := range []string{"/once/x", "/again/x", "/stream/x", "/resume/x"} {
		for _, inParts := range []bool{false, true} {
			got := sendToAnswering(t, path, text, inParts)
			if got.status != 502 || got.header.Get("Hickoryhead-Response-Signature") != "" {
				t.Errorf("%s, in parts %t: got status %d, header %v and body %q, want 502 of the router", path, inParts, got.status, got.header, got.body)
			}
		}
	}
}

// TestAnswerWithABadName guards against a head that is no answer and that a caller gets as one (MIXED):
// a name with a blank or a control byte was passed on, or hid the length or the type of the body.
func TestAnswerWithABadName(t *testing.T) {
	const length, body = "Content-Length: 15\r\n", "id: 1\ndata: a\n\n"
	for name, text := range map[string]string{
		"blank before the colon":        signedHead + length + "Bad : x\r\n\r\n" + body,
		"blank in a name":               signedHead + length + "Ba d: x\r\n\r\n" + body,
		"tab in a name":                 signedHead + length + "Ba\td: x\r\n\r\n" + body,
		"control byte in a name":        signedHead + length + "Ba\x01d: x\r\n\r\n" + body,
		"byte beyond ASCII in a name":   signedHead + length + "Ba\xe9d: x\r\n\r\n" + body,
		"first line":                    "HTTP/1.1 200 OK\r\nBa d: x\r\n" + strings.SplitAfterN(signedHead, "\r\n", 2)[1] + length + "\r\n" + body,
		"length":                        signedHead + "Content-Length : 1\r\n\r\n" + body,
		"coding":                        signedHead + "Transfer-Encoding : chunked\r\n\r\nf\r\n" + body + "\r\n0\r\n\r\n",
		"type":                          signedHead + length + "Content-Type : text/event-stream\r\n\r\n" + body,
		"folded line":                   signedHead + length + "X: a\r\n b\r\n\r\n" + body,
		"in an interim answer":          "HTTP/1.1 103 Early Hints\r\nBa d: x\r\n\r\n" + signedHead + length + "\r\n" + body,
		"other version":                 strings.Replace(signedHead, "HTTP/1.1", "HTTP/2.0", 1) + length + "\r\n" + body,
		"says that it has not run":      "HTTP/1.1 503 X\r\nHickoryhead-Attempt-Id: %s\r\nHickoryhead-Not-Executed : 1\r\nContent-Length: 0\r\n\r\n",
		"coding beside a length":        signedHead + length + "Transfer-Encoding: chunked\r\n\r\nf\r\n" + body + "\r\n0\r\n\r\n",
		"coding in the earlier version": strings.Replace(signedHead, "HTTP/1.1", "HTTP/1.0", 1) + "Transfer-Encoding: chunked\r\n\r\nf\r\n" + body + "\r\n0\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) { checkNoAnswer(t, text) })
	}
}

// TestSoundHeads guards against sound answers that are refused for their heads.
func TestSoundHeads(t *testing.T) {
	const length, body = "Content-Length: 15\r\n", "id: 1\ndata: a\n\n"
	for name, text := range map[string]string{
		"plain":                   signedHead + length + "\r\n" + body,
		"odd names and values":    signedHead + length + "x!#$%&'*+-.^_`|~9: \t a: \xff\tb \r\nEmpty:\r\n\r\n" + body,
		"interim answers":         "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n" + signedHead + length + "\r\n" + body,
		"no reason":               strings.Replace(signedHead, "200 OK", "200", 1) + length + "\r\n" + body,
		"chunks with trailers":    signedHead + "Transfer-Encoding: chunked\r\n\r\nf;a=b\r\n" + body + "\r\n0\r\nX: y\r\n\r\n",
		"earlier version, length": strings.Replace(signedHead, "HTTP/1.1", "HTTP/1.0", 1) + length + "\r\n" + body,
		"bytes behind the answer": signedHead + length + "\r\n" + body + "Ba d: x\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			for _, path := range []string{"/once/x", "/again/x", "/stream/x", "/resume/x"} {
				for _, inParts := range []bool{false, true} {
					got := sendToAnswering(t, path, text, inParts)
					if got.status != 200 || got.body != body || got.err != nil {
						t.Errorf("%s, in parts %t: got status %d, body %q and error %v, want the whole answer", path, inParts, got.status, got.body, got.err)
					}
				}
			}
		})
	}
}

// TestAnswerWithABadStatus guards against an answer with a status that is none (MIXED): below 100 it
// passed for an interim answer, so that its body, or what followed it, passed for the answer.
func TestAnswerWithABadStatus(t *testing.T) {
	const length, body = "Content-Length: 15\r\n", "id: 1\ndata: a\n\n"
	for _, status := range []string{"000", "001", "042", "099", "600", "999"} {
		bad := strings.Replace(signedHead, "200 OK", status+" X", 1)
		for name, text := range map[string]string{
			"alone":                    bad + length + "\r\n" + body,
			"before a proper answer":   bad + "\r\n" + signedHead + length + "\r\n" + body,
			"behind an interim answer": "HTTP/1.1 103 Early Hints\r\n\r\n" + bad + length + "\r\n" + body,
		} {
			t.Run(fmt.Sprint(status, " ", name), func(t *testing.T) { checkNoAnswer(t, text) })
		}
	}
}
