package forward

import (
	"net/http"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/hickoryhead/hickoryhead/platform"
	"github.com/hickoryhead/hickoryhead/result"
	"github.com/hickoryhead/hickoryhead/routing"
)

const (
	// defaultTimeout limits requests of a route without a timeout of its own.
	defaultTimeout = 60 * time.Second
	// maxTableWait limits how long a request waits for the first configuration
	// of a router that has just started: one of 1,200 routes takes 0.4 s over a
	// link of 10 Mbit/s. maxTableWaitShare limits it to a fraction of the time
	// that the caller waits.
	maxTableWait      = 700 * time.Millisecond
	maxTableWaitShare = 0.4
)

// prepare validates the request, selects its route and reads its body. It
// returns OK or the code with which the request is refused.
func (exchange *exchange) prepare() result.Code {
	if !WellFormed(exchange.request.Context()) {
		return exchange.refuseMalformed()
	}
	if code := exchange.identify(); code != result.OK {
		return code
	}
	if code := exchange.readBody(); code != result.OK {
		return code
	}
	if exchange.conn.bodyIsMalformed() {
		return exchange.refuseMalformed()
	}
	return exchange.checkStop()
}

// refuseMalformed returns the code of a request that is out of form. Nothing more is read on its
// connection.
func (exchange *exchange) refuseMalformed() result.Code {
	exchange.writer.Header().Set("Connection", "close")
	return result.AmbiguousFraming
}

// identify reads the head of the request, and selects its route and service.
func (exchange *exchange) identify() result.Code {
	head, err := platform.DecodeRequest(exchange.request.Header)
	exchange.head = head
	exchange.table = exchange.handler.Routes.Table()
	if exchange.table == nil {
		exchange.table = exchange.awaitTable()
	}
	if exchange.table == nil {
		return result.NotReady
	}
	if err != nil {
		exchange.setCauseText(err.Error())
		return result.InvalidHeader
	}
	path, _, _ := strings.Cut(exchange.target(), "?")
	exchange.route = exchange.table.Route(exchange.request.Host, path)
	if exchange.route == nil {
		return result.UnknownRoute
	}
	if limit := exchange.table.Limits.HeaderBytes; limit > 0 && headBytes(exchange.request) > limit {
		return result.HeadTooLarge
	}
	if code := exchange.authenticate(); code != result.OK {
		return code
	}
	exchange.allowed = exchange.route.Regions(exchange.workspace)
	if exchange.route.Sticky {
		exchange.prefixIDs = sharedPrefixIDs(exchange.head.Prompt)
	}
	exchange.setDeadline()
	exchange.service = exchange.route.Service(xxhash.Sum64String(string(exchange.firstAttempt())))
	return result.OK
}

// checkStop refuses a request that was read late in a planned stop, and bounds the time of
// any other one by the end of the router.
func (exchange *exchange) checkStop() result.Code {
	stop := exchange.handler.currentStop()
	if !stop.Takes(time.Now(), exchange.deadline) {
		return result.RouterStopping
	}
	exchange.deadline = stop.Deadline(exchange.deadline)
	return result.OK
}

// tableWait returns how long the request waits for what a router that has just started
// reads: maxTableWait, or maxTableWaitShare of the time that the caller waits, whichever
// is shorter.
func (exchange *exchange) tableWait() time.Duration {
	if exchange.head.Wait <= 0 {
		return maxTableWait
	}
	return min(maxTableWait, time.Duration(maxTableWaitShare*float64(exchange.head.Wait.Duration())))
}

// awaitTable waits for the first configuration. It returns nil if there is none after
// tableWait.
func (exchange *exchange) awaitTable() *routing.Table {
	timer := time.NewTimer(exchange.tableWait())
	defer timer.Stop()
	select {
	case <-exchange.handler.Routes.Loaded():
	case <-exchange.request.Context().Done():
	case <-timer.C:
	}
	return exchange.handler.Routes.Table()
}

// target returns the path and query as the caller sent them.
func (exchange *exchange) target() string {
	if strings.HasPrefix(exchange.request.RequestURI, "/") {
		return exchange.request.RequestURI
	}
	return exchange.request.URL.RequestURI()
}

// headBytes returns the size in bytes of the request line and the headers.
func headBytes(request *http.Request) int {
	count := len(request.Method) + len(request.RequestURI) + len(request.Host)
	for name, values := range request.Header {
		for _, value := range values {
			count += len(name) + len(value) + len(": \r\n")
		}
	}
	return count
}

func (exchange *exchange) authenticate() result.Code {
	if !exchange.table.NeedsKeys() {
		return result.OK
	}
	exchange.workspace = exchange.table.Workspace(exchange.head.APIKey)
	if exchange.workspace == nil && !exchange.route.Public {
		return result.UnknownKey
	}
	return result.OK
}

func (exchange *exchange) setDeadline() {
	timeout := exchange.route.Timeout.Duration()
	if timeout <= 0 {
		timeout = defaultTimeout
	}
	exchange.deadline = exchange.arrived.Add(timeout)
	exchange.callerDeadline = exchange.deadline
	if exchange.head.Wait > 0 {
		exchange.callerDeadline = exchange.arrived.Add(exchange.head.Wait.Duration())
	}
	if exchange.callerDeadline.Before(exchange.deadline) {
		exchange.deadline = exchange.callerDeadline
	}
}
