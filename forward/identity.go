package forward

import (
	"io"
	"net/http"
	"os"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/hickoryhead/hickoryhead/http1"
	"github.com/hickoryhead/hickoryhead/platform"
	"github.com/hickoryhead/hickoryhead/registry"
)

const (
	// identityTimeout bounds the wait for the report of an upstream.
	identityTimeout = 300 * time.Millisecond
	// maxReportBytes bounds the report.
	maxReportBytes = 1 << 20
)

// errOtherIncarnation means that another process runs at the address of an upstream than
// its row says.
var errOtherIncarnation = errors.New("another incarnation runs at the upstream's address")

// errStrayAnswer means that an answer to an earlier request came in place of a report.
var errStrayAnswer = errors.New("stray answer in place of a report")

// errNoReport means that an upstream can't say on a connection that is used for requests behind it
// which process it is: it takes too long, or closes the connection with its report.
var errNoReport = errors.New("no report that leaves the connection usable")

// proveIdentity returns a connection to the process that the row of the upstream describes, which is
// conn unless that can't be used any more. It returns an error if another process may be behind
// it, and the answer depends on which one. No request was sent then, and conn is closed.
func (exchange *exchange) proveIdentity(upstream registry.Upstream, conn *http1.Conn) (*http1.Conn, error) {
	if upstream.Incarnation == 0 || conn.Verified {
		return conn, nil
	}
	depends := exchange.dependsOnProcess(upstream, conn)
	if !depends && !exchange.handler.Quota.Unsure(upstream) {
		return conn, nil
	}
	err := exchange.checkIdentity(upstream, conn, depends)
	switch {
	case err == nil:
		return conn, nil
	case errors.Is(err, errNoReport) && !depends:
		// The request may run at any process.
		exchange.handler.Metrics.CountEvent("identity.unknown")
		conn.Discard()
		return exchange.connect(upstream)
	}
	conn.RecordBreak()
	conn.Discard()
	return nil, err
}

// goesOn reports whether the request is for the rest of a stream that has begun.
func (exchange *exchange) goesOn() bool { return exchange.takesUp() || exchange.started }

// dependsOnProcess reports whether the process behind the connection has to be the one that the row
// describes, and may be another one: what a stream goes on with has to be of the version that it began
// with, and what a new one begins with of the version that all routers take it to be. A new one asks
// only where a connection broke, since a report costs the upstream work (see awaitRow).
func (exchange *exchange) dependsOnProcess(upstream registry.Upstream, conn *http1.Conn) bool {
	if !exchange.resumable() || exchange.handler.Registry.RanAt(upstream.ID, upstream.Incarnation, conn.OpenedAt) {
		return false
	}
	return exchange.goesOn() || conn.Doubtful()
}

// checkIdentity asks the process behind the connection which one it is, and returns an error if it
// is another one than the row describes and the answer depends on that, or if the connection can't be
// used any more.
func (exchange *exchange) checkIdentity(upstream registry.Upstream, conn *http1.Conn, depends bool) error {
	exchange.handler.Metrics.CountEvent("identity.asked")
	doubtful := conn.Doubtful()
	askedAt := time.Now()
	incarnation, known, err := exchange.askIdentity(upstream, conn)
	if errors.Is(err, os.ErrDeadlineExceeded) {
		err = errors.Mark(err, errNoReport)
	}
	other := known && incarnation != upstream.Incarnation
	if other {
		conn.Refute()
		exchange.handler.Metrics.CountEvent("identity.other")
		exchange.handler.Logger.Warn("Another process runs at the upstream's address.", "Upstream", upstream.ID, "Incarnation", upstream.Incarnation, "Got", incarnation)
	}
	switch {
	case other && !depends:
		// It started since: the answer to the request shows that it is back.
		exchange.handler.Quota.Failed(time.Now(), upstream, askedAt)
	case other, !known && err == nil && depends && doubtful && exchange.goesOn():
		return errOtherIncarnation
	case known:
		exchange.handler.Quota.Runs(time.Now(), upstream)
	}
	if err == nil && known && !other {
		conn.Verify()
	}
	return err
}

// askIdentity asks the process behind the connection which incarnation it is. It reports
// false if the process doesn't say. Behind an error the connection can't be used.
func (exchange *exchange) askIdentity(upstream registry.Upstream, conn *http1.Conn) (registry.Incarnation, bool, error) {
	until := time.Now().Add(identityTimeout)
	if exchange.deadline.Before(until) {
		until = exchange.deadline
	}
	if err := conn.SetWriteDeadline(until); err != nil {
		return 0, false, err
	}
	request := &http1.Request{Method: http.MethodGet, Target: platform.ReportPath, Host: upstream.Address, Header: make(http.Header)}
	if err := conn.Send(request); err != nil {
		return 0, false, err
	}
	if err := conn.SetReadDeadline(until); err != nil {
		return 0, false, err
	}
	response, err := conn.Receive(http.MethodGet)
	if err != nil {
		return 0, false, err
	}
	head := platform.DecodeResponse(response)
	exchange.recordAnnouncement(upstream, response.StatusCode, head)
	if head.Attempt != "" || head.NotRun {
		return 0, false, errStrayAnswer
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, maxReportBytes))
	if err != nil {
		return 0, false, err
	}
	if response.Close {
		err = errNoReport
	}
	if response.StatusCode != http.StatusOK {
		return 0, false, err
	}
	incarnation, known := platform.DecodeReport(body)
	return incarnation, known, err
}
