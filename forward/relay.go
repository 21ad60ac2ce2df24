package forward

import (
	"bytes"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/hickoryhead/hickoryhead/health"
	"github.com/hickoryhead/hickoryhead/platform"
	"github.com/hickoryhead/hickoryhead/result"
	"github.com/hickoryhead/hickoryhead/routing"
)

const (
	// wholeBytes is the longest plain answer that is read whole before any of
	// it is passed on, so that a cut one can be asked for again.
	wholeBytes = 1 << 20
	// writeGrace is how long after its deadline an answer may still be written.
	writeGrace = time.Second
	// relayBytes is the size of the buffer of a stream.
	relayBytes = 4 << 10
)

// relay passes an answer on to the caller. Where it returns a code other than
// OK without having started the caller's answer, the request may be sent again.
func (x *exchange) relay(a *answer) result.Code {
	if x.route.Kind == routing.Stream && a.response.StatusCode < http.StatusMultipleChoices {
		return x.relayStream(a)
	}
	return x.relayPlain(a)
}

// relayPlain reads the whole answer before it passes it on.
func (x *exchange) relayPlain(a *answer) result.Code {
	body, err := io.ReadAll(io.LimitReader(a.response.Body, wholeBytes+1))
	if err == nil && len(body) > wholeBytes {
		return x.relayLong(a, body)
	}
	if err != nil {
		x.causeOf(err)
		code := x.cutCode()
		x.judgeFailure(a.upstream, code)
		a.drop()
		return code
	}
	status := a.response.StatusCode
	a.keep()
	if status >= http.StatusInternalServerError {
		x.handler.judge(a.upstream, health.ServerError)
		if x.again(result.UpstreamFailed, x.handler.Registry.Pool(x.service)) {
			x.handler.Metrics.CountRetry(result.UpstreamFailed)
			return x.offerInstead(a, body)
		}
	} else {
		x.handler.judge(a.upstream, health.Succeeded)
	}
	return x.writePlain(a, body)
}

// relayLong passes on an answer that is too long to be read whole first, of which
// beginning was read.
func (x *exchange) relayLong(a *answer, beginning []byte) result.Code {
	x.writeHead(a)
	if a.response.ContentLength > 0 {
		x.writer.Header().Set("Content-Length", strconv.FormatInt(a.response.ContentLength, 10))
	}
	x.start(a.response.StatusCode)
	_, err := io.Copy(x.writer, io.MultiReader(bytes.NewReader(beginning), a.response.Body))
	if err != nil {
		x.causeOf(err)
		x.judgeFailure(a.upstream, x.cutCode())
		a.drop()
		x.aborted = true
		return result.AnswerCut
	}
	x.handler.judge(a.upstream, health.Succeeded)
	a.keep()
	return result.OK
}

// offerInstead sends a request whose upstream failed to another one, and falls
// back on the failure where that gives no answer.
func (x *exchange) offerInstead(failed *answer, body []byte) result.Code {
	pool := x.handler.Registry.Pool(x.service)
	if !x.chooseNext(pool) {
		return x.writePlain(failed, body)
	}
	a, code := x.attempt(x.choice.Upstream, "")
	if code == result.OK {
		code = x.relay(a)
	}
	if code == result.OK || x.started || x.request.Context().Err() != nil {
		return code
	}
	x.logAttempt(code)
	return x.writePlain(failed, body)
}

func (x *exchange) writePlain(a *answer, body []byte) result.Code {
	header := x.writer.Header()
	x.writeHead(a)
	switch {
	case x.request.Method == http.MethodHead && a.response.ContentLength >= 0:
		header.Set("Content-Length", strconv.FormatInt(a.response.ContentLength, 10))
	case hasBody(x.request.Method, a.response.StatusCode):
		header.Set("Content-Length", strconv.Itoa(len(body)))
	}
	x.start(a.response.StatusCode)
	if _, err := x.writer.Write(body); err != nil {
		x.causeOf(err)
	}
	if a.response.StatusCode >= http.StatusInternalServerError {
		x.code = result.UpstreamFailed
	}
	return x.code
}

// hasBody reports whether an answer with status to a request of method has a
// body, be it empty.
func hasBody(method string, status int) bool {
	return method != http.MethodHead && status != http.StatusNoContent && status != http.StatusNotModified
}

// writeHead copies the upstream's head. Headers that the library would add are
// suppressed.
func (x *exchange) writeHead(a *answer) {
	header := x.writer.Header()
	closing := header.Get("Connection")
	platform.EncodeResponse(header, a.response.Header)
	for _, name := range []string{"Content-Type", "Date"} {
		if _, present := header[name]; !present {
			header[name] = nil
		}
	}
	if closing != "" || x.handler.leaving.Load() {
		header.Set("Connection", "close")
	}
}

func (x *exchange) start(status int) {
	x.started = true
	x.status = status
	x.firstByte = time.Now()
	x.handler.Metrics.ObserveFirstByte(x.route.Kind.String(), x.firstByte.Sub(x.arrived))
	x.boundWrites(x.deadline.Add(writeGrace))
	x.writer.WriteHeader(status)
}

// boundWrites sets the time at which writing to a caller that does not read is
// given up. It is cleared by net/http before the next request.
func (x *exchange) boundWrites(until time.Time) {
	if err := http.NewResponseController(x.writer).SetWriteDeadline(until); err != nil {
		x.handler.Logger.Debug("Write deadline not set.", "Error", err)
	}
}

// cutCode returns what is known of a request whose answer ended early.
func (x *exchange) cutCode() result.Code {
	if !time.Now().Before(x.deadline) {
		return result.DeadlineExpired
	}
	return result.OutcomeUnknown
}

// stream is the state of a relayed stream of events.
type stream struct {
	// pending holds the bytes behind the last whole event.
	pending []byte
	// lastEvent is the ID of the last event that the caller was given.
	lastEvent string
}

// relayStream passes whole events on as they arrive. A stream that breaks is
// continued by another upstream where its route allows that.
func (x *exchange) relayStream(a *answer) result.Code {
	var events stream
	first := a
	control := http.NewResponseController(x.writer)
	for {
		err := x.copyEvents(first, a, &events, control)
		if err == nil {
			x.handler.judge(a.upstream, health.Succeeded)
			a.keep()
			if !x.started {
				x.writeHead(first)
				x.start(first.response.StatusCode)
			}
			return result.OK
		}
		x.causeOf(err)
		code := x.cutCode()
		x.judgeFailure(a.upstream, code)
		a.drop()
		if x.request.Context().Err() != nil {
			return code
		}
		if !x.started {
			return code
		}
		next := x.resume(code, events.lastEvent)
		if next == nil {
			x.aborted = true
			return result.AnswerCut
		}
		events.pending = events.pending[:0]
		a = next
	}
}

var errPartialEvent = errors.New("stream ended inside an event")

// copyEvents passes on the events of a until its end, which is nil where the
// stream is whole. The head of first goes before the first event.
func (x *exchange) copyEvents(first, a *answer, events *stream, control *http.ResponseController) error {
	buffer := make([]byte, relayBytes)
	for {
		count, err := a.response.Body.Read(buffer)
		events.pending = append(events.pending, buffer[:count]...)
		if whole := wholeEvents(events.pending); whole > 0 {
			if err := x.passOn(first, events, whole, control); err != nil {
				return err
			}
		}
		switch {
		case errors.Is(err, io.EOF):
			if len(bytes.TrimSpace(events.pending)) > 0 {
				return errPartialEvent
			}
			return nil
		case err != nil:
			return err
		}
	}
}

// passOn gives the caller the first whole bytes that are pending.
func (x *exchange) passOn(first *answer, events *stream, whole int, control *http.ResponseController) error {
	if !x.started {
		x.writeHead(first)
		x.start(first.response.StatusCode)
	}
	if id, found := lastEventID(events.pending[:whole]); found {
		events.lastEvent = id
	}
	if _, err := x.writer.Write(events.pending[:whole]); err != nil {
		return err
	}
	if err := control.Flush(); err != nil {
		return err
	}
	events.pending = append(events.pending[:0], events.pending[whole:]...)
	return nil
}

// wholeEvents returns the length of the part of data that ends with an event.
func wholeEvents(data []byte) int {
	end := bytes.LastIndex(data, []byte("\n\n"))
	if end < 0 {
		return 0
	}
	return end + len("\n\n")
}

// lastEventID returns the ID of the last event in data that has one.
func lastEventID(data []byte) (string, bool) {
	const field = "id:"
	for len(data) > 0 {
		start := bytes.LastIndexByte(data, '\n')
		line := data[start+1:]
		if bytes.HasPrefix(line, []byte(field)) {
			return string(bytes.TrimSpace(line[len(field):])), true
		}
		if start < 0 {
			break
		}
		data = data[:start]
	}
	return "", false
}

// resume asks another upstream for the rest of a stream. It returns nil where
// that is not allowed or failed.
func (x *exchange) resume(code result.Code, lastEvent string) *answer {
	for lastEvent != "" && x.route.Resumable {
		pool := x.handler.Registry.Pool(x.service)
		if pool == nil || !x.again(code, pool) {
			return nil
		}
		x.handler.Metrics.CountRetry(result.AnswerCut)
		if !x.chooseNext(pool) {
			return nil
		}
		var a *answer
		a, code = x.attempt(x.choice.Upstream, lastEvent)
		if code == result.OK && a.response.StatusCode == http.StatusOK {
			return a
		}
		if code == result.OK {
			a.drop()
			return nil
		}
		x.logAttempt(code)
	}
	return nil
}
