package standin

import (
	"bytes"
	"io"
	"net/http"

	"github.com/hickoryhead/hickoryhead/ident"
	"github.com/hickoryhead/hickoryhead/platform"
)

// MalformedAnswer is an answer whose head or chunks are not in the form of HTTP/1.1, or that is cut. It
// is signed, and its body is no answer of the runner: a caller must get none of it as whole.
type MalformedAnswer struct {
	Name string
	// start ends with the status line of the signed head, and rest is what follows that head.
	start, rest string
}

// MalformedAnswers are the malformed answers that a Runner can give.
var MalformedAnswers = []MalformedAnswer{
	{"blank in a name", "HTTP/1.1 200 OK\r\n", "Ba d: x\r\nContent-Length: 5\r\n\r\nwrong"},
	{"blank before a colon", "HTTP/1.1 200 OK\r\n", "Content-Length : 5\r\n\r\nwrong"},
	{"control byte in a name", "HTTP/1.1 200 OK\r\n", "Ba\x01d: x\r\nContent-Length: 5\r\n\r\nwrong"},
	{"folded line", "HTTP/1.1 200 OK\r\n", "X: a\r\n b\r\nContent-Length: 5\r\n\r\nwrong"},
	{"two lengths", "HTTP/1.1 200 OK\r\n", "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"},
	{"status below 100", "HTTP/1.1 000 X\r\n\r\nHTTP/1.1 200 OK\r\n", "Content-Length: 5\r\n\r\nwrong"},
	{"status above 599", "HTTP/1.1 999 X\r\n", "Content-Length: 5\r\n\r\nwrong"},
	{"other version", "HTTP/2.0 200 OK\r\n", "Content-Length: 5\r\n\r\nwrong"},
	{"chunk without an end", "HTTP/1.1 200 OK\r\n", "Transfer-Encoding: chunked\r\n\r\n5\nwrong\r\n0\r\n\r\n"},
}

// Malform makes the runner give a malformed answer to each request, or, for nil, answer as usual.
func (runner *Runner) Malform(answer *MalformedAnswer) {
	runner.mu.Lock()
	defer runner.mu.Unlock()
	runner.malformed = answer
}

// sendMalformed gives the malformed answer of Malform, and reports whether there is one.
func (runner *Runner) sendMalformed(writer http.ResponseWriter, attempt ident.AttemptID) bool {
	runner.mu.Lock()
	answer := runner.malformed
	runner.mu.Unlock()
	if answer == nil {
		return false
	}
	conn, _, err := http.NewResponseController(writer).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	defer conn.Close()
	header := make(http.Header)
	platform.EncodeAnswer(header, attempt, runnerSignature)
	var text bytes.Buffer
	text.WriteString(answer.start)
	// A write to a bytes.Buffer returns no error.
	_ = header.Write(&text)
	text.WriteString(answer.rest)
	// An error means that the sender has disconnected.
	_, _ = io.Copy(conn, &text)
	return true
}
