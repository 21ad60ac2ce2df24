package forward_test

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/hickoryhead/hickoryhead/balance"
	"github.com/hickoryhead/hickoryhead/forward"
	"github.com/hickoryhead/hickoryhead/ident"
	"github.com/hickoryhead/hickoryhead/logging"
	"github.com/hickoryhead/hickoryhead/overload"
	"github.com/hickoryhead/hickoryhead/routing"
)

const (
	testSlots  = 64
	testMemory = 500_000
	// undecidedTime is longer than requests may pass without a decision after one that found
	// ample room.
	undecidedTime = 50 * time.Millisecond
)

// startRoomRouter starts a router before engines whose slots and memory are configured.
func startRoomRouter(t *testing.T, upstreams ...*fakeUpstream) *router {
	t.Helper()
	router := startUnconfiguredRouter(t, upstreams...)
	config := testConfig()
	config.Services[0].Slots, config.Services[0].CacheTokens = testSlots, testMemory
	router.handler.Routes.Adopt(routing.New(config))
	router.tuneRoom(50)
	return router
}

// startPlainRoomRouter starts a router before an upstream of a plain service whose row names six
// slots.
func startPlainRoomRouter(t *testing.T, upstream *fakeUpstream) *router {
	t.Helper()
	router := startRouter(t, upstream)
	router.tuneRoom(50)
	listed := router.handler.Registry.Upstreams()
	listed[0].Slots, listed[0].Version = 6, 2
	router.handler.Registry.Replace(time.Now(), 2, listed)
	return router
}

// tuneRoom turns the decision on room on, with so many retries.
func (router *router) tuneRoom(retries float64) {
	router.handler.Tune(forward.Tuning{Chooser: chooserOf(router.handler), RetrySlack: retries, Overload: new(overload.Controller)})
}

// setLoads sets what another router has in flight at each upstream.
func (router *router) setLoads(sequence uint64, requests ...int) {
	counts := make(balance.Counts)
	for i, count := range requests {
		counts[ident.UpstreamID(fmt.Sprintf("i-%d", i))] = balance.Load{Requests: count}
	}
	router.handler.Loads.ApplyRemote(time.Now(), balance.RemoteCounts{Router: "other", Sequence: sequence, Complete: true, Counts: counts, ExpiresAt: time.Now().Add(time.Minute)})
}

// TestRequestWithoutRoomIsRefusedAtOnce guards against requests that are sent to engines without
// room, and against a refusal that is not true, comes late or names no time.
func TestRequestWithoutRoomIsRefusedAtOnce(t *testing.T) {
	upstreams := []*fakeUpstream{startUpstream(t, echo), startUpstream(t, echo)}
	router := startRoomRouter(t, upstreams...)
	logs := new(bytes.Buffer)
	logger, err := logging.New(logs, logging.JSON, "info")
	if err != nil {
		t.Fatal(err)
	}
	router.handler.Logger = logging.Component(logger, "forward")
	router.setLoads(1, 20, 20)
	router.send(t, "a1", "POST", "/again/x", "1").check(t, 200, "answer to a1")
	router.setLoads(2, testSlots, testSlots+9)
	time.Sleep(undecidedTime)
	got := router.send(t, "a2", "POST", "/again/x", "2")
	got.check(t, 503, "HH2022 The upstreams have no room\n")
	retryAfter, err := strconv.ParseFloat(got.header.Get("Retry-After"), 64)
	if err != nil || retryAfter <= 0 || retryAfter > 0.5 {
		t.Errorf("got Retry-After %q, want one up to a third of 1.5 s", got.header.Get("Retry-After"))
	}
	if got := runs(upstreams); got != 1 {
		t.Errorf("got %d arrivals, want only the request that found room", got)
	}
	for _, want := range []string{"Requests are refused for lack of room.", `"Code":"PoolFull"`, `"Usage":`, `"RetryAfterMs":`} {
		if !strings.Contains(logs.String(), want) {
			t.Errorf("got log %s, want %s", logs, want)
		}
	}
	router.setLoads(3, testSlots, 3)
	for n := range 5 {
		router.send(t, fmt.Sprint("b", n), "POST", "/again/x", fmt.Sprint(n)).check(t, 200, "")
	}
	if got := len(upstreams[0].requestsSoFar()); got > 1 {
		t.Errorf("got %d arrivals at the full engine, want none after the first request", got)
	}
}

// TestNoSecondAttemptWithoutKnownRoom guards against retries that are spent on engines without
// room, and against none where there is room.
func TestNoSecondAttemptWithoutKnownRoom(t *testing.T) {
	refuse := func(_ context.Context, conn net.Conn, _ int, request receivedRequest) bool {
		write(conn, fmt.Sprintf("HTTP/1.1 503 Service Unavailable\r\nHickoryhead-Attempt-Id: %s\r\nHickoryhead-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n", request.header.Get("Hickoryhead-Attempt-Id")))
		return true
	}
	for _, test := range []struct {
		name  string
		loads []int
		want  int
	}{
		{"the others are full", []int{50, testSlots, testSlots}, 1},
		{"another one has room", []int{10, 11, testSlots}, 2},
	} {
		t.Run(test.name, func(t *testing.T) {
			upstreams := []*fakeUpstream{startUpstream(t, refuse), startUpstream(t, refuse), startUpstream(t, refuse)}
			router := startRoomRouter(t, upstreams...)
			logs := new(bytes.Buffer)
			logger, err := logging.New(logs, logging.JSON, "info")
			if err != nil {
				t.Fatal(err)
			}
			router.handler.Logger = logging.Component(logger, "forward")
			router.tuneRoom(1)
			router.setLoads(1, test.loads...)
			sentAt := time.Now()
			got := router.send(t, "a1", "POST", "/once/x", "1")
			got.check(t, 503, "")
			// The time that the caller has left, rounded down to milliseconds.
			remaining := 1.5 - time.Since(sentAt).Seconds() - 0.01
			retryAfter, err := strconv.ParseFloat(got.header.Get("Retry-After"), 64)
			if err != nil || retryAfter < 0.12*remaining || retryAfter > 0.3*1.5 {
				t.Errorf("got Retry-After %q, want 0.12 to 0.3 of the remaining part of 1.5 s", got.header.Get("Retry-After"))
			}
			if strings.Contains(logs.String(), "refused for lack of room") {
				t.Errorf("got log %s, want no shortage: an upstream refused the request", logs)
			}
			if got := runs(upstreams); got != test.want {
				t.Errorf("got %d arrivals, want %d", got, test.want)
			}
		})
	}
}

// TestAdmissionControlTurnedOffDuringARequest guards against an exchange that begins with
// admission control and goes on without, which ended in a nil pointer.
func TestAdmissionControlTurnedOffDuringARequest(t *testing.T) {
	var router *router
	refuse := func(_ context.Context, conn net.Conn, _ int, request receivedRequest) bool {
		router.handler.Tune(forward.Tuning{Chooser: chooserOf(router.handler), RetrySlack: 50})
		write(conn, fmt.Sprintf("HTTP/1.1 503 Service Unavailable\r\nHickoryhead-Attempt-Id: %s\r\nHickoryhead-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n", request.header.Get("Hickoryhead-Attempt-Id")))
		return true
	}
	upstreams := []*fakeUpstream{startUpstream(t, refuse), startUpstream(t, refuse), startUpstream(t, refuse)}
	router = startRoomRouter(t, upstreams...)
	router.setLoads(1, 50, testSlots, testSlots)
	router.send(t, "a1", "POST", "/once/x", "1").check(t, 503, "")
	if got := runs(upstreams); got != 1 {
		t.Errorf("got %d arrivals, want 1: the others are full for an exchange that began with admission control", got)
	}
}

// TestRoomOfARegionIsDecidedOnForItself guards against requests that are sent to a full region
// undecided, since those that may run anywhere find ample room.
func TestRoomOfARegionIsDecidedOnForItself(t *testing.T) {
	upstreams := []*fakeUpstream{startUpstream(t, echo), startUpstream(t, echo), startUpstream(t, echo)}
	router := startRegional(t, nil, nil, upstreams...)
	config := testConfig()
	config.Version++
	config.Services[0].Slots, config.Services[0].CacheTokens = testSlots, testMemory
	for i := range config.Routes {
		if strings.HasPrefix(string(config.Routes[i].Prefix), "/once") {
			config.Routes[i].AllowedRegions = []ident.Region{"west"}
		}
	}
	router.handler.Routes.Adopt(routing.New(config))
	router.tuneRoom(50)
	router.setLoads(1, 0, testSlots, 0)
	router.send(t, "a1", "POST", "/again/x", "1").check(t, 200, "answer to a1")
	router.send(t, "a2", "POST", "/once/x", "2").check(t, 503, "HH2022 The upstreams have no room\n")
	if got := len(upstreams[1].requestsSoFar()); got != 0 {
		t.Errorf("got %d arrivals in the full region, want none", got)
	}
}

// TestRequestWithASlowBodyIsDecidedOn guards against requests that are sent to a full pool
// undecided, since their heads came while it was idle.
func TestRequestWithASlowBodyIsDecidedOn(t *testing.T) {
	upstream := startUpstream(t, echo)
	router := startRoomRouter(t, upstream)
	router.setLoads(1, 1)
	conn, err := net.Dial("tcp", router.address)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	router.send(t, "a1", "POST", "/again/x", "1").check(t, 200, "answer to a1")
	write(conn, "POST /again/x HTTP/1.1\r\nHost: a.example\r\nAuthorization: Token key-1\r\nHickoryhead-Attempt-Id: a2\r\nHickoryhead-Deadline-Ms: 1500\r\nContent-Length: 2\r\n\r\n1")
	time.Sleep(2 * undecidedTime)
	router.setLoads(2, testSlots)
	write(conn, "2")
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	if body, _ := io.ReadAll(response.Body); response.StatusCode != 503 || !strings.HasPrefix(string(body), "HH2022 ") {
		t.Errorf("got %d %q, want 503 HH2022", response.StatusCode, body)
	}
}

// TestErrorsAreNoAnswersInTime guards against requests that wait in a queue beyond their deadline,
// since an upstream that answers errors at once counts as fast.
func TestErrorsAreNoAnswersInTime(t *testing.T) {
	upstream := startUpstream(t, func(ctx context.Context, conn net.Conn, n int, request receivedRequest) bool {
		if request.body == "error" {
			write(conn, fmt.Sprintf("HTTP/1.1 404 Not Found\r\nHickoryhead-Attempt-Id: %s\r\nContent-Length: 0\r\n\r\n", request.header.Get("Hickoryhead-Attempt-Id")))
			return true
		}
		time.Sleep(50 * time.Millisecond)
		return echo(ctx, conn, n, request)
	})
	router := startPlainRoomRouter(t, upstream)
	router.setLoads(1, 5)
	for n := range 5 {
		router.send(t, fmt.Sprint("a", n), "POST", "/once/x", fmt.Sprint(n)).check(t, 200, "")
	}
	for n := range 40 {
		router.send(t, fmt.Sprint("e", n), "POST", "/once/x", "error").check(t, 404, "")
	}
	router.setLoads(2, 600)
	time.Sleep(undecidedTime)
	router.send(t, "b1", "POST", "/once/x", "1").check(t, 503, "HH2023 No answer is possible in time\n")
}

// TestNothingIsRefusedForRoomWithoutTheSetting guards against refusals where operators have not
// turned them on.
func TestNothingIsRefusedForRoomWithoutTheSetting(t *testing.T) {
	upstream := startUpstream(t, echo)
	router := startRoomRouter(t, upstream)
	router.handler.Tune(forward.Tuning{Chooser: chooserOf(router.handler)})
	router.setLoads(1, 10*testSlots)
	router.send(t, "a1", "POST", "/again/x", "1").check(t, 200, "answer to a1")
}

// TestServicesWithoutStatedRoomAreNotJudged guards against refusals where the configuration and
// the rows of the upstreams name no slots.
func TestServicesWithoutStatedRoomAreNotJudged(t *testing.T) {
	router := startRouter(t, startUpstream(t, echo))
	router.tuneRoom(50)
	router.setLoads(1, 1000)
	router.send(t, "a1", "POST", "/once/x", "1").check(t, 200, "answer to a1")
}

// TestPlainServiceRefusesWhatCannotBeAnsweredInTime guards against requests that wait in the
// queue of a plain service until their deadline, and against refusals while it serves in time.
func TestPlainServiceRefusesWhatCannotBeAnsweredInTime(t *testing.T) {
	slow := func(ctx context.Context, conn net.Conn, n int, request receivedRequest) bool {
		time.Sleep(50 * time.Millisecond)
		return echo(ctx, conn, n, request)
	}
	upstream := startUpstream(t, slow)
	router := startPlainRoomRouter(t, upstream)
	router.setLoads(1, 9)
	for n := range 5 {
		router.send(t, fmt.Sprint("a", n), "POST", "/once/x", fmt.Sprint(n)).check(t, 200, "")
	}
	router.setLoads(2, 600)
	router.send(t, "b1", "POST", "/once/x", "1").check(t, 503, "HH2023 No answer is possible in time\n")
	if got := len(upstream.requestsSoFar()); got != 5 {
		t.Errorf("got %d arrivals, want 5", got)
	}
}
