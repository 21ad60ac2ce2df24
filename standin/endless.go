package standin

import (
	"bytes"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/hickoryhead/hickoryhead/ident"
	"github.com/hickoryhead/hickoryhead/platform"
)

const (
	// endlessBlockBytes is how much of an answer without an end is written at
	// once, and endlessPause the time between two writes.
	endlessBlockBytes = 64 << 10
	endlessPause      = time.Millisecond
)

// EndlessAnswer is an answer whose bytes don't end before its connection does.
type EndlessAnswer struct {
	Name string
	// signed says that the beginning of a good head precedes the bytes in begin,
	// and complete that a complete answer does.
	signed   bool
	complete bool
	begin    string
	// unit is repeated without end.
	unit string
}

// EndlessAnswers are the answers without an end that a Runner can give.
var EndlessAnswers = []EndlessAnswer{
	{Name: "status line", begin: "HTTP/1.1 200 ", unit: "x"},
	{Name: "no line end", unit: "x"},
	{Name: "header line", begin: "HTTP/1.1 200 OK\r\nX-Long: ", unit: "x"},
	{Name: "header lines", begin: "HTTP/1.1 200 OK\r\n", unit: "X-More: y\r\n"},
	{Name: "body", signed: true, begin: "Connection: close\r\n\r\n", unit: "x"},
	{Name: "chunks", signed: true, begin: "Transfer-Encoding: chunked\r\n\r\n", unit: "5\r\nbytes\r\n"},
	{Name: "behind an answer", signed: true, complete: true, unit: "x"},
}

// Endless makes the runner give an answer without an end to each request, or, for
// nil, answer as usual.
func (runner *Runner) Endless(answer *EndlessAnswer) {
	runner.mu.Lock()
	defer runner.mu.Unlock()
	runner.endless = answer
}

func (runner *Runner) endlessAnswer() *EndlessAnswer {
	runner.mu.Lock()
	defer runner.mu.Unlock()
	return runner.endless
}

// sendEndless writes answer on the connection of writer until it closes, and
// reports how long that took. complete is the usual answer.
func (runner *Runner) sendEndless(writer http.ResponseWriter, answer *EndlessAnswer, attempt ident.AttemptID, complete string) {
	started := time.Now()
	conn, _, err := http.NewResponseController(writer).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	defer conn.Close()
	answer.send(conn, attempt, complete)
	if runner.OnEndless != nil {
		runner.OnEndless(answer.Name, started, time.Now())
	}
}

// send writes the answer to conn until that fails.
func (answer *EndlessAnswer) send(conn net.Conn, attempt ident.AttemptID, complete string) {
	var begin bytes.Buffer
	if answer.signed {
		header := make(http.Header)
		platform.EncodeAnswer(header, attempt, runnerSignature)
		begin.WriteString("HTTP/1.1 200 OK\r\n")
		// A write to a bytes.Buffer returns no error.
		_ = header.Write(&begin)
	}
	if answer.complete {
		fmt.Fprintf(&begin, "Content-Length: %d\r\n\r\n%s", len(complete), complete)
	}
	begin.WriteString(answer.begin)
	block := bytes.Repeat([]byte(answer.unit), endlessBlockBytes/len(answer.unit))
	for next := begin.Bytes(); ; next = block {
		if _, err := conn.Write(next); err != nil {
			return
		}
		time.Sleep(endlessPause)
	}
}
