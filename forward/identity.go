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
// it, which may have another software version. No request was sent then, and conn is closed.
func (exchange *exchange) proveIdentity(upstream registry.Upstream, conn *http1.Conn) (*http1.Conn, error) {
	err := exchange.checkIdentity(upstream, conn)
	switch {
	case err == nil:
		return conn, nil
	case errors.Is(err, errNoReport) && !exchange.goesOn() && !conn.Doubtful():
		// Nothing speaks against the row.
		exchange.handler.Metrics.CountEvent("identity.unknown")
		conn.Discard()
		next, err := exchange.connect(upstream)
		if err == nil {
			next.RecordAsked()
		}
		return next, err
	}
	conn.RecordBreak()
	conn.Discard()
	return nil, err
}

// goesOn reports whether the request is for the rest of a stream that has begun.
func (exchange *exchange) goesOn() bool { return exchange.takesUp() || exchange.started }

// checkIdentity returns an error if the process behind the connection may be another one
// than the row of the upstream describes. It asks for a stream that goes on, and for a new one
// unless an earlier connection, open ever since, shows that the process is the same: what a
// stream begins with is of the version that all routers take it to be.
func (exchange *exchange) checkIdentity(upstream registry.Upstream, conn *http1.Conn) error {
	if !exchange.resumable() || upstream.Incarnation == 0 || conn.Verified || exchange.handler.Registry.RanAt(upstream.ID, upstream.Incarnation, conn.OpenedAt) {
		return nil
	}
	goesOn := exchange.goesOn()
	doubtful := conn.Doubtful()
	if !goesOn && !doubtful && conn.Asked() {
		return nil
	}
	exchange.handler.Metrics.CountEvent("identity.asked")
	incarnation, known, err := exchange.askIdentity(upstream, conn)
	switch {
	case known && incarnation != upstream.Incarnation:
		conn.Refute()
	case errors.Is(err, os.ErrDeadlineExceeded):
		return errors.Mark(err, errNoReport)
	case err != nil:
		return err
	case known:
		conn.Verify()
		return nil
	case !doubtful || !goesOn:
		conn.RecordAsked()
		return nil
	}
	exchange.handler.Metrics.CountEvent("identity.other")
	exchange.handler.Logger.Warn("Another process runs at the upstream's address.", "Upstream", upstream.ID, "Incarnation", upstream.Incarnation, "Got", incarnation)
	return errOtherIncarnation
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
