package forward_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hickoryhead/hickoryhead/balance"
	"github.com/hickoryhead/hickoryhead/cost"
	"github.com/hickoryhead/hickoryhead/forward"
	"github.com/hickoryhead/hickoryhead/registry"
)

// costRouter is a router that learns costs, with its upstream, and the largest generation
// that was expected of it.
type costRouter struct {
	*router
	model    cost.Model
	upstream registry.Upstream
	expected atomic.Int64
}

// startCostRouter starts a router that chooses by expected times before one upstream, which
// answers streams with the given numbers of events and plain requests with the attempt.
// "cut" in the attempt cuts the stream, and "hang" waits for the caller to leave.
func startCostRouter(t *testing.T, numbers ...int) *costRouter {
	t.Helper()
	router := new(costRouter)
	router.router = startRouter(t, startUpstream(t, func(ctx context.Context, conn net.Conn, n int, request receivedRequest) bool {
		router.expected.Store(max(router.expected.Load(), int64(router.handler.Loads.Generation("i-0"))))
		attempt := request.header.Get("Hickoryhead-Attempt-Id")
		if strings.HasPrefix(attempt, "plain") {
			return echo(ctx, conn, n, request)
		}
		head := strings.Replace(fmt.Sprintf(streamHead, attempt), "Content-Type", "Hickoryhead-Runner-Load: 1,0,64,250\r\nContent-Type", 1)
		write(conn, head)
		for i, number := range numbers {
			if i == 1 && strings.HasPrefix(attempt, "cut") {
				return false
			}
			if i == 1 && strings.HasPrefix(attempt, "hang") {
				<-ctx.Done()
				return false
			}
			write(conn, chunk(fmt.Sprintf("id: %d\ndata: x\n\n", number)))
		}
		write(conn, "0\r\n\r\n")
		return true
	}))
	router.upstream, _ = router.handler.Registry.Upstream("i-0")
	chooser := chooserOf(router.handler)
	chooser.FirstEvent = func(now time.Time, upstream registry.Upstream, work balance.Work) (time.Duration, bool) {
		return router.model.FirstEvent(now, upstream, cost.Work{Prefill: work.Prefill, Local: work.Local, Remote: work.Pending - work.Local})
	}
	router.handler.Tune(forward.Tuning{Chooser: chooser, RetryShare: 0.2, RetrySlack: 50, Costs: &router.model})
	return router
}

func (router *costRouter) stream(t *testing.T, attempt string) outcome {
	t.Helper()
	return router.send(t, attempt, "POST", "/stream/", "", "Hickoryhead-Prompt-Prefix", "house:400,own:100", "Hickoryhead-Length-Hint", "80", "Hickoryhead-Token-Usage", "500,1000")
}

func (router *costRouter) output() int {
	return int(router.model.Output(cost.Request{Route: "stream", Workspace: "grocer", Hint: 80, MaxOutput: 1000}).Mean)
}

// TestCostsAreLearnedFromStreams guards against streams that teach nothing, against broken
// ones that count as short answers, and against generation that stays expected after its
// request has ended in any way.
func TestCostsAreLearnedFromStreams(t *testing.T) {
	router := startCostRouter(t, 10, 20, 30, 40)
	if _, known := router.model.FirstEvent(time.Now(), router.upstream, cost.Work{}); known {
		t.Fatal("got a prediction before any request, want none")
	}
	const streams = 60
	for n := range streams {
		router.stream(t, fmt.Sprint("s", n)).check(t, 200, "id: 10\ndata: x\n\nid: 20\ndata: x\n\nid: 30\ndata: x\n\nid: 40\ndata: x\n\n")
	}
	if got, known := router.model.FirstEvent(time.Now(), router.upstream, cost.Work{Prefill: 100}); !known || got <= 0 {
		t.Errorf("got %v to the first event after %d streams, want a prediction", got, streams)
	}
	before := router.output()
	if before < 35 || before > 45 {
		t.Errorf("got %d expected tokens after streams of 40 with hints of 80, want about 40", before)
	}
	if got := router.expected.Load(); got <= 0 {
		t.Errorf("got %d tokens of expected generation while streams ran, want some", got)
	}
	for n := range 10 {
		if got := router.stream(t, fmt.Sprint("cut", n)); got.err == nil {
			t.Error("got a complete stream, want one that is cut")
		}
	}
	if got := router.output(); got != before {
		t.Errorf("got %d expected tokens after streams that were cut, want %d as before", got, before)
	}
	ctx, cancel := context.WithCancel(t.Context())
	request, err := http.NewRequestWithContext(ctx, "POST", "http://"+router.address+"/stream/", nil)
	if err != nil {
		t.Fatal(err)
	}
	request.Host = "a.example"
	request.Header.Set("Hickoryhead-Attempt-Id", "hang")
	request.Header.Set("Authorization", "Token key-1")
	request.Header.Set("Hickoryhead-Prompt-Prefix", "house:400,own:100")
	response, err := router.client.Do(request)
	if err != nil {
		t.Fatal(err)
	}
	cancel()
	_ = response.Body.Close()
	for deadline := time.Now().Add(5 * time.Second); router.handler.Loads.Generation("i-0") > 0; time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("got %d tokens of expected generation after all requests, want 0", router.handler.Loads.Generation("i-0"))
		}
	}
}

// TestPaceIsLearnedFromReports guards against a pace that is read and not used.
func TestPaceIsLearnedFromReports(t *testing.T) {
	router := startCostRouter(t, 1)
	before := router.model.TokenTime(time.Now(), router.upstream, 1)
	router.stream(t, "s1").check(t, 200, "id: 1\ndata: x\n\n")
	if got := router.model.TokenTime(time.Now(), router.upstream, 1); got <= before {
		t.Errorf("got %v for a token after a report of a pace of 2.5, want more than %v", got, before)
	}
}

// TestTimesOfPlainRequestsAreLearned guards against plain requests that teach nothing.
func TestTimesOfPlainRequestsAreLearned(t *testing.T) {
	router := startCostRouter(t)
	for n := range 30 {
		router.send(t, fmt.Sprint("plain", n), "POST", "/once/", "").check(t, 200, fmt.Sprint("answer to plain", n))
	}
	if _, _, known := router.model.PlainTime("once"); !known {
		t.Error("got no time of plain requests after 30, want one")
	}
}

// TestNothingIsLearnedUnlessTuned guards against costs that are counted although the
// setting is off.
func TestNothingIsLearnedUnlessTuned(t *testing.T) {
	router := startCostRouter(t, 10, 20)
	router.handler.Tune(forward.Tuning{Chooser: chooserOf(router.handler), RetryShare: 0.2, RetrySlack: 50})
	for n := range 30 {
		router.stream(t, fmt.Sprint("s", n)).check(t, 200, "id: 10\ndata: x\n\nid: 20\ndata: x\n\n")
	}
	if _, known := router.model.FirstEvent(time.Now(), router.upstream, cost.Work{}); known || router.expected.Load() != 0 {
		t.Errorf("got a prediction (%v) or expected generation (%d), want neither", known, router.expected.Load())
	}
}

// TestEventNumbersOfAnyKind guards against numbers of events that make the counts overflow.
func TestEventNumbersOfAnyKind(t *testing.T) {
	router := startCostRouter(t, -5, 0, 1<<62)
	for n := range 30 {
		router.stream(t, fmt.Sprint("s", n))
	}
	if got := router.handler.Loads.Generation("i-0"); got != 0 {
		t.Errorf("got %d tokens of expected generation after all streams, want 0", got)
	}
	if got := router.output(); got < 1 || got > 1000 {
		t.Errorf("got %d expected tokens, want 1 to 1000", got)
	}
}
