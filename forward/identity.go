package forward

import (
	"io"
	"net/http"
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

// checkIdentity returns an error if the process behind the connection may be another one
// than the row of the upstream describes, and so have another software version. The
// request was not sent then.
func (exchange *exchange) checkIdentity(upstream registry.Upstream, conn *http1.Conn) error {
	if !exchange.resumable() || upstream.Incarnation == 0 || conn.Verified || exchange.handler.Registry.RanAt(upstream.ID, upstream.Incarnation, conn.OpenedAt) {
		return nil
	}
	goesOn := exchange.takesUp() || exchange.started
	doubtful := conn.Doubtful()
	if !goesOn && !doubtful {
		return nil
	}
	exchange.handler.Metrics.CountEvent("identity.asked")
	incarnation, known, err := exchange.askIdentity(upstream, conn)
	switch {
	case err != nil:
		return err
	case known && incarnation == upstream.Incarnation:
		conn.Verify()
		return nil
	case known:
		conn.Refute()
	case !doubtful || !goesOn:
		return nil
	}
	exchange.handler.Metrics.CountEvent("identity.other")
	exchange.handler.Logger.Warn("Another process runs at the upstream's address.", "Upstream", upstream.ID, "Incarnation", upstream.Incarnation, "Got", incarnation)
	return errOtherIncarnation
}

// askIdentity asks the process behind the connection which incarnation it is. It reports
// false if the process doesn't say.
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
	if err != nil || response.Close {
		return 0, false, errors.CombineErrors(err, errOtherIncarnation)
	}
	if response.StatusCode != http.StatusOK {
		return 0, false, nil
	}
	incarnation, known := platform.DecodeReport(body)
	return incarnation, known, nil
}
