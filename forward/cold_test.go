package forward_test

import (
	"context"
	"fmt"
	"net"
	"strconv"
	"testing"
	"time"

	"github.com/hickoryhead/hickoryhead/forward"
	"github.com/hickoryhead/hickoryhead/ident"
	"github.com/hickoryhead/hickoryhead/quota"
	"github.com/hickoryhead/hickoryhead/registry"
)

// coldTracker returns a tracker of a router without others, whose upstreams are cold for
// start.
func coldTracker(start time.Duration) *quota.Tracker {
	tracker := &quota.Tracker{ColdRule: func(ident.ServiceName) quota.ColdRule {
		return quota.ColdRule{Start: start, PerSecond: 4, Overage: 1.5, Slack: 5}
	}}
	self := []string{"router-0"}
	tracker.SetFleet(time.Now().Add(-time.Minute), self[0], self, self)
	return tracker
}

// TestColdUpstreamsRefuseAtOnce guards against callers that wait where all upstreams are cold,
// or return when nothing is possible yet, and against a cold upstream beside which another one
// is not used.
func TestColdUpstreamsRefuseAtOnce(t *testing.T) {
	for _, allCold := range []bool{true, false} {
		t.Run(fmt.Sprintf("all cold %t", allCold), func(t *testing.T) {
			upstreams := []*fakeUpstream{startUpstream(t, echo), startUpstream(t, echo)}
			router := startRouter(t, upstreams...)
			router.handler.Quota = coldTracker(time.Minute)
			listed := router.handler.Registry.Upstreams()
			if !allCold {
				listed = listed[:1]
			}
			router.handler.Quota.MarkCold(time.Now(), listed)
			refused := 0
			for n := range 40 {
				sent := time.Now()
				got := router.send(t, fmt.Sprint("a", n), "POST", "/once/", "")
				if got.status == 200 {
					continue
				}
				refused++
				retryAfter, err := strconv.ParseFloat(got.header.Get("Retry-After"), 64)
				if got.status != 503 || got.body != "HH2021 Every upstream is cold\n" || time.Since(sent) > 500*time.Millisecond || err != nil || retryAfter <= 0 || retryAfter > 1 {
					t.Errorf("got status %d (%q) after %v with Retry-After %q, want UpstreamsCold at once with at most 1 s", got.status, got.body, time.Since(sent), got.header.Get("Retry-After"))
				}
			}
			if (refused > 0) != allCold {
				t.Errorf("got %d requests refused, want some: %t", refused, allCold)
			}
		})
	}
}

// TestUpstreamThatBrokeOffIsColdOnceItAnswers guards against an upstream that gets requests at
// the full rate when it comes back: by the failure and the answer after it, and by the header
// of an answer, also of a refusal, but not by a 421, which may be of another process.
func TestUpstreamThatBrokeOffIsColdOnceItAnswers(t *testing.T) {
	const head = "HTTP/1.1 %s\r\nHickoryhead-Attempt-Id: %s\r\nHickoryhead-Response-Signature: s\r\n%sContent-Length: 0\r\n\r\n"
	tests := []struct {
		name   string
		status string
		header string
		broken bool
		want   bool
	}{
		{"answer", "200 OK", "", false, false},
		{"broken connection, then an answer", "200 OK", "", true, true},
		{"header", "200 OK", "Hickoryhead-Cold-Ms: 2500\r\n", false, true},
		{"header of a refusal", "503 Service Unavailable", "Hickoryhead-Not-Executed: 1\r\nHickoryhead-Cold-Ms: 2500\r\n", false, true},
		{"broken connection, then a header that says no", "200 OK", "Hickoryhead-Cold-Ms: 0\r\n", true, false},
		{"header of another process", "421 Misdirected Request", "Hickoryhead-Cold-Ms: 2500\r\n", false, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			upstream := startUpstream(t, func(_ context.Context, conn net.Conn, n int, request receivedRequest) bool {
				if test.broken && n == 0 {
					return false
				}
				write(conn, fmt.Sprintf(head, test.status, request.header.Get("Hickoryhead-Attempt-Id"), test.header))
				return true
			})
			router := startRouter(t, upstream)
			router.handler.Quota = coldTracker(3 * time.Second)
			listed := router.handler.Registry.Upstreams()[0]
			if test.broken {
				router.send(t, "a0", "POST", "/once/", "")
				if until, cold := router.handler.Quota.ColdUntil(time.Now(), listed); !cold || !until.IsZero() {
					t.Errorf("got cold %t until %v after the broken connection, want cold without a deadline", cold, until)
				}
				time.Sleep(500 * time.Millisecond)
			}
			router.send(t, "a1", "POST", "/once/", "")
			if _, got := router.handler.Quota.ColdUntil(time.Now(), listed); got != test.want {
				t.Errorf("got cold %t, want %t", got, test.want)
			}
		})
	}
}

// TestUnreachableUpstreamIsColdOnceItAnswers guards against an upstream whose listener was gone
// and that is not known to be cold when package health lets a request through again.
func TestUnreachableUpstreamIsColdOnceItAnswers(t *testing.T) {
	upstream := startUpstream(t, echo)
	router := startRouter(t, upstream)
	router.handler.Quota = coldTracker(3 * time.Second)
	_ = upstream.listener.Close()
	router.send(t, "a0", "POST", "/once/", "").check(t, 503, "")
	listed := router.handler.Registry.Upstreams()[0]
	now := time.Now()
	if _, cold := router.handler.Quota.ColdUntil(now.Add(10*time.Second), listed); !cold {
		t.Error("got an unreachable upstream that is not cold, want it cold until it answers")
	}
	if !router.handler.Health.Ejected(now, listed.ID) {
		t.Error("got no ejection, want one")
	}
}

// TestUpstreamThatClosesAllConnectionsHasEnded guards against routers without a request in the
// time in which an upstream restarted, and which send at the full rate then. It also guards
// against an upstream that is taken for ended while a request runs there.
func TestUpstreamThatClosesAllConnectionsHasEnded(t *testing.T) {
	for _, running := range []bool{false, true} {
		t.Run(fmt.Sprintf("request running %t", running), func(t *testing.T) {
			started, release := make(chan struct{}), make(chan struct{})
			upstream := startUpstream(t, func(ctx context.Context, conn net.Conn, n int, request receivedRequest) bool {
				if request.header.Get("Hickoryhead-Attempt-Id") == "long" {
					close(started)
					<-release
				}
				echo(ctx, conn, n, request)
				return false
			})
			router := startRouter(t, upstream)
			tracker := coldTracker(3 * time.Second)
			router.handler.Quota = tracker
			router.handler.Connections.OnAllClosed = func(upstream registry.Upstream, connections int) {
				tracker.Closed(time.Now(), upstream, connections)
			}
			listed := router.handler.Registry.Upstreams()
			ended := make(chan struct{})
			if running {
				long := &longRequest{router: router, t: t, ended: ended}
				go long.run()
				<-started
			} else {
				close(ended)
			}
			router.send(t, "a1", "POST", "/once/", "").check(t, 200, "")
			got := false
			for until := time.Now().Add(300 * time.Millisecond); !got && time.Now().Before(until); time.Sleep(10 * time.Millisecond) {
				router.handler.Connections.Retain(listed)
				_, got = tracker.ColdUntil(time.Now(), listed[0])
			}
			if got == running {
				t.Errorf("got cold %t, want %t", got, !running)
			}
			if len(tracker.TakeColds(500)) > 0 {
				t.Error("got a message for other routers, want none: it may have closed them for another reason")
			}
			close(release)
			<-ended
		})
	}
}

// longRequest is a request that waits for its answer.
type longRequest struct {
	router *router
	t      *testing.T
	ended  chan struct{}
}

func (request *longRequest) run() {
	defer close(request.ended)
	request.router.send(request.t, "long", "POST", "/once/", "").check(request.t, 200, "")
}

// TestDeadlineOfARequestIsNoFailure guards against a healthy upstream that all routers treat as
// failed, since the deadline of a request ended while its connection was opened, and against
// one that doesn't accept connections and is not treated as failed.
func TestDeadlineOfARequestIsNoFailure(t *testing.T) {
	for _, test := range []struct {
		takes      time.Duration
		deadlineMs string
		want       bool
	}{
		{60 * time.Millisecond, "30", false},
		{time.Minute, "1500", true},
	} {
		router := startRouter(t, startUpstream(t, echo))
		router.handler.Quota = coldTracker(3 * time.Second)
		router.handler.Connections = &forward.Connections{Dial: func(ctx context.Context, network, address string) (net.Conn, error) {
			dialer := forward.Dialer()
			ctx, cancel := context.WithTimeout(ctx, dialer.Timeout)
			defer cancel()
			select {
			case <-ctx.Done():
				return nil, ctx.Err()
			case <-time.After(test.takes):
			}
			return dialer.DialContext(ctx, network, address)
		}}
		router.send(t, "a1", "POST", "/once/", "", "Hickoryhead-Deadline-Ms", test.deadlineMs)
		if _, got := router.handler.Quota.ColdUntil(time.Now(), router.handler.Registry.Upstreams()[0]); got != test.want {
			t.Errorf("got cold %t after a dial of %v with deadline %s ms, want %t", got, test.takes, test.deadlineMs, test.want)
		}
	}
}

// TestLateReportIsNoFailure guards against a busy upstream that all routers treat as failed,
// since its report on which incarnation runs came late.
func TestLateReportIsNoFailure(t *testing.T) {
	for _, late := range []bool{true, false} {
		t.Run(fmt.Sprintf("late %t", late), func(t *testing.T) {
			asked := make(chan struct{}, 1)
			router := startRouter(t, startUpstream(t, func(ctx context.Context, conn net.Conn, n int, request receivedRequest) bool {
				if request.target != "/report" {
					return wholeStream(ctx, conn, n, request)
				}
				asked <- struct{}{}
				if late {
					<-ctx.Done()
				}
				return false
			}))
			listed := router.handler.Registry.Upstreams()
			listed[0].Incarnation, listed[0].Version = 1_700_000_000_001, 2
			router.handler.Registry.Replace(time.Now(), 2, listed)
			router.useSplit("v1", time.Minute)
			router.handler.Quota = coldTracker(3 * time.Second)
			router.send(t, "a1", "POST", "/resume/", "", "Hickoryhead-Prompt-Prefix", "5c:80,"+ownKey+":20").check(t, 200, "")
			router.takeUp(t, "a2", "a1").check(t, 503, "")
			select {
			case <-asked:
			default:
				t.Fatal("got no request for the report, want one")
			}
			if _, got := router.handler.Quota.ColdUntil(time.Now(), listed[0]); got == late {
				t.Errorf("got cold %t after a report that was late: %t", got, late)
			}
		})
	}
}

// TestUpstreamsThatCloseIdleConnectionsAreUsed guards against a pool of healthy upstreams that
// is refused, since each closed a single idle connection.
func TestUpstreamsThatCloseIdleConnectionsAreUsed(t *testing.T) {
	closing := func(ctx context.Context, conn net.Conn, n int, request receivedRequest) bool {
		echo(ctx, conn, n, request)
		return false
	}
	router := startRouter(t, startUpstream(t, closing), startUpstream(t, closing))
	tracker := coldTracker(3 * time.Second)
	router.handler.Quota = tracker
	router.handler.Connections.OnAllClosed = func(upstream registry.Upstream, connections int) {
		tracker.Closed(time.Now(), upstream, connections)
	}
	for n := range 12 {
		router.send(t, fmt.Sprint("a", n), "POST", "/once/", "").check(t, 200, "")
		time.Sleep(50 * time.Millisecond)
	}
	for _, upstream := range router.handler.Registry.Upstreams() {
		if until, _ := tracker.ColdUntil(time.Now(), upstream); !until.IsZero() {
			t.Errorf("got upstream %s cold until %v, want no deadline", upstream.ID, until)
		}
	}
}

// TestRequestGoesToTheWarmUpstream guards against a request that is refused although an
// upstream is warm, since others became cold while their connections were opened.
func TestRequestGoesToTheWarmUpstream(t *testing.T) {
	for _, warm := range []int{0, 1} {
		t.Run(fmt.Sprintf("%d warm", warm), func(t *testing.T) {
			var upstreams []*fakeUpstream
			for range 6 {
				upstreams = append(upstreams, startUpstream(t, echo))
			}
			router := startRouter(t, upstreams...)
			tracker := coldTracker(time.Minute)
			router.handler.Quota = tracker
			listed := router.handler.Registry.Upstreams()
			dials := 0
			router.handler.Connections = &forward.Connections{Dial: func(ctx context.Context, network, address string) (net.Conn, error) {
				if dials++; dials <= len(listed)-warm {
					for _, upstream := range listed {
						if upstream.Address == address {
							tracker.MarkCold(time.Now(), []registry.Upstream{upstream})
						}
					}
				}
				return forward.Dialer().DialContext(ctx, network, address)
			}}
			sent := time.Now()
			got := router.send(t, "a1", "POST", "/once/", "")
			if warm > 0 {
				got.check(t, 200, "")
				return
			}
			retryAfter, err := strconv.ParseFloat(got.header.Get("Retry-After"), 64)
			got.check(t, 503, "HH2021 Every upstream is cold\n")
			if took := time.Since(sent); took > 500*time.Millisecond || err != nil || retryAfter <= 0 || retryAfter > 1 {
				t.Errorf("got the refusal after %v with Retry-After %q, want it at once with at most 1 s", took, got.header.Get("Retry-After"))
			}
		})
	}
}
