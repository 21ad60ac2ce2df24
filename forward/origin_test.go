package forward_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hickoryhead/hickoryhead/ident"
	"github.com/hickoryhead/hickoryhead/registry"
	"github.com/hickoryhead/hickoryhead/routing"
	"github.com/hickoryhead/hickoryhead/split"
)

// ownKey is the part of the prompts in these tests that is the request's own.
const ownKey = "91bd"

// wholeStream answers each request with one event.
func wholeStream(_ context.Context, conn net.Conn, _ int, request receivedRequest) bool {
	write(conn, fmt.Sprintf(streamHead, request.header.Get("Hickoryhead-Attempt-Id"))+chunk("id: 9\ndata: z\n\n")+"0\r\n\r\n")
	return true
}

// useSplit gives the router a split with all cells at one version, settled for the given
// time.
func (router *router) useSplit(version ident.SoftwareVersion, settledFor time.Duration) {
	empty := split.Split{Service: "pool"}
	only := empty.Rebalanced(split.Capacity{version: 1})
	router.handler.Splits, router.handler.Origins = new(split.Tracker), new(split.Origins)
	const storeTime = 1_000_000
	router.handler.Splits.ObserveClock(time.Now(), storeTime)
	router.handler.Splits.Adopt(only.Settle(storeTime - ident.StoreTime(settledFor.Milliseconds())))
	router.handler.RefreshSplits = func(context.Context) bool { return true }
}

// takeUp sends a take-up of the stream of an attempt.
func (router *router) takeUp(t *testing.T, attempt, resumes string) outcome {
	t.Helper()
	header := []string{"Last-Event-Id", "3", "Hickoryhead-Prompt-Prefix", "5c:80," + ownKey + ":20"}
	if resumes != "" {
		header = append(header, "Resumes", resumes)
	}
	return router.send(t, attempt, "POST", "/resume/", "", header...)
}

// TestTakeUp takes streams up at a router with one upstream of v1, i-0, and one of v2,
// i-1. A take-up must continue at the version that began its stream, or be refused with 503
// and not run.
func TestTakeUp(t *testing.T) {
	origin := func(attempt ident.AttemptID, version ident.SoftwareVersion, workspace ident.WorkspaceID) split.Origin {
		return split.Origin{Attempt: attempt, Service: "pool", Version: version, Workspace: workspace, BeganAt: time.Now()}
	}
	tests := []struct {
		name string
		// version has all cells of the split, which is settled for settledFor.
		version    ident.SoftwareVersion
		settledFor time.Duration
		storeDown  bool
		origins    []split.Origin
		told       []split.Origin
		resumes    string
		want       ident.SoftwareVersion
		code       string
	}{
		{name: "known attempt", version: "v1", origins: []split.Origin{origin("b1", "v2", "grocer")}, resumes: "b1", want: "v2"},
		{name: "attempt that another router knows", version: "v1", told: []split.Origin{origin("b1", "v2", "grocer")}, resumes: "b1", want: "v2"},
		{name: "certain by its cell", version: "v2", settledFor: time.Minute, resumes: "b1", want: "v2"},
		{name: "no attempt named, certain by its cell", version: "v1", settledFor: time.Minute, want: "v1"},
		{name: "cell settled just now", version: "v2", settledFor: time.Second, resumes: "b1", code: "HH2015"},
		{name: "store away", version: "v2", settledFor: time.Minute, storeDown: true, resumes: "b1", code: "HH2015"},
		{name: "unknown attempt", version: "v1", resumes: "b9", code: "HH2015"},
		{name: "no attempt named", version: "v1", code: "HH2015"},
		{name: "its own attempt", version: "v1", resumes: "a1", code: "HH2015"},
		{name: "attempt of another workspace", version: "v1", origins: []split.Origin{origin("b1", "v1", "cane")}, resumes: "b1", code: "HH2015"},
		{name: "attempt of another service", version: "v1", origins: []split.Origin{{Attempt: "b1", Service: "other", Version: "v1", Workspace: "grocer", BeganAt: time.Now()}}, resumes: "b1", code: "HH2015"},
		{name: "attempt with two origins", version: "v1", origins: []split.Origin{origin("b1", "v1", "grocer"), origin("b1", "v2", "grocer")}, resumes: "b1", code: "HH2015"},
		{name: "begun at an upstream without a version", version: "v1", origins: []split.Origin{origin("b1", "", "grocer")}, resumes: "b1", code: "HH2015"},
		{name: "version has left", version: "v1", origins: []split.Origin{origin("b1", "v3", "grocer")}, resumes: "b1", code: "HH2016"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			upstreams := map[ident.SoftwareVersion]*fakeUpstream{"v1": startUpstream(t, wholeStream), "v2": startUpstream(t, wholeStream)}
			router := startRouter(t, upstreams["v1"], upstreams["v2"])
			router.setSoftware("v1", "v2")
			router.useSplit(test.version, test.settledFor)
			if test.storeDown {
				router.handler.RefreshSplits = func(context.Context) bool { return false }
			}
			for _, origin := range test.origins {
				router.handler.Origins.Add(time.Now(), origin)
			}
			router.handler.FetchOrigin = func(_ context.Context, attempt ident.AttemptID) {
				for _, origin := range test.told {
					router.handler.Origins.Add(time.Now(), origin)
				}
			}
			got := router.takeUp(t, "a1", test.resumes)
			for version, upstream := range upstreams {
				if runs := len(upstream.requestsSoFar()); runs > 0 != (version == test.want) {
					t.Errorf("got %d runs at %s, want the stream to go on at %q", runs, version, test.want)
				}
			}
			if test.want != "" {
				got.check(t, http.StatusOK, "id: 9\ndata: z\n\n")
				return
			}
			if got.status != http.StatusServiceUnavailable || got.body[:len(test.code)] != test.code {
				t.Errorf("got status %d and body %q, want 503 and %s", got.status, got.body, test.code)
			}
			if retryAfter := got.header.Get("Retry-After"); retryAfter != "" {
				t.Errorf("got Retry-After %q, want none: the caller's time ends before that helps", retryAfter)
			}
		})
	}
}

// TestSecondTakeUpIsBoundByTheFirstAttempt guards against a stream that is taken up twice
// and continues the second time where the router would begin it now.
func TestSecondTakeUpIsBoundByTheFirstAttempt(t *testing.T) {
	old, current := startUpstream(t, wholeStream), startUpstream(t, wholeStream)
	router := startRouter(t, old, current)
	router.setSoftware("v1", "v2")
	router.useSplit("v1", 0)
	router.send(t, "a1", "POST", "/resume/", "", "Hickoryhead-Prompt-Prefix", "5c:80,"+ownKey+":20").check(t, http.StatusOK, "")
	all := split.Split{Service: "pool", Revision: 1}
	router.handler.Splits.Adopt(all.Rebalanced(split.Capacity{"v2": 1}))
	for _, attempt := range []string{"a2", "a3"} {
		router.takeUp(t, attempt, "a1").check(t, http.StatusOK, "")
	}
	if got := len(old.requestsSoFar()); got != 3 {
		t.Errorf("got %d runs at the version that began the stream, want 3", got)
	}
	if got := len(current.requestsSoFar()); got != 0 {
		t.Errorf("got %d runs at the other version, want none", got)
	}
}

// TestNewStreamWaitsForTheSplits guards against a stream that a router begins at any
// version while it doesn't know the splits yet.
func TestNewStreamWaitsForTheSplits(t *testing.T) {
	upstream := startUpstream(t, wholeStream)
	router := startRouter(t, upstream)
	router.handler.Splits = new(split.Tracker)
	got := router.send(t, "a1", "POST", "/resume/", "", "Hickoryhead-Deadline-Ms", "500")
	if got.status != http.StatusServiceUnavailable || len(upstream.requestsSoFar()) > 0 {
		t.Errorf("got status %d and %d runs, want 503 without a run", got.status, len(upstream.requestsSoFar()))
	}
	time.AfterFunc(50*time.Millisecond, router.handler.Splits.MarkRead)
	router.send(t, "a2", "POST", "/resume/", "").check(t, http.StatusOK, "")
}

// restartable answers requests for its report with the start time of its process, and
// breaks its first stream behind an event, as a process that restarts does.
type restartable struct {
	born atomic.Int64
	next int64
}

func (restartable *restartable) answer(ctx context.Context, conn net.Conn, n int, request receivedRequest) bool {
	if request.target == "/report" {
		write(conn, report(restartable.born.Load(), ""))
		return true
	}
	if restartable.next != 0 && restartable.born.Swap(restartable.next) != restartable.next {
		write(conn, fmt.Sprintf(streamHead, request.header.Get("Hickoryhead-Attempt-Id"))+chunk("id: 3\ndata: c\n\n")+chunk("id: 4\nda"))
		return false
	}
	return wholeStream(ctx, conn, n, request)
}

// TestStreamAtARestartedUpstream guards against a stream that continues, or begins, at a
// process of another version than the upstream's row still names: the process has
// restarted under its ID.
func TestStreamAtARestartedUpstream(t *testing.T) {
	const first, second = 1_700_000_000_001, 1_700_000_000_002
	tests := []struct {
		name string
		next int64
		want int
	}{
		{"other incarnation", second, http.StatusServiceUnavailable},
		{"connection broke, same incarnation", first, http.StatusOK},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			process := &restartable{next: test.next}
			process.born.Store(first)
			if test.next == first {
				process.next = 0
			}
			router := startRouter(t, startUpstream(t, process.answer))
			listed := router.handler.Registry.Upstreams()
			listed[0].Incarnation, listed[0].Version = first, 2
			router.handler.Registry.Replace(time.Now(), 2, listed)
			router.useSplit("v1", time.Minute)
			router.send(t, "a1", "POST", "/resume/", "", "Hickoryhead-Prompt-Prefix", "5c:80,"+ownKey+":20")
			router.takeUp(t, "a2", "a1").check(t, test.want, "")
			router.send(t, "a3", "POST", "/resume/", "").check(t, test.want, "")
			listed[0].Incarnation, listed[0].Version, listed[0].Software = second, 3, "v2"
			if test.next == second {
				router.handler.Registry.Replace(time.Now(), 3, listed)
				router.takeUp(t, "a4", "a1").check(t, http.StatusServiceUnavailable, "")
			}
		})
	}
}

// TestStreamOnAnEarlierConnectionToARestartedUpstream guards against a stream that begins
// on a connection which was opened after the upstream restarted, and before the router
// noticed on another one.
func TestStreamOnAnEarlierConnectionToARestartedUpstream(t *testing.T) {
	const first, second = 1_700_000_000_001, 1_700_000_000_002
	for _, broke := range []bool{false, true} {
		t.Run(fmt.Sprintf("a connection broke before: %t", broke), func(t *testing.T) {
			process := &restartable{next: second}
			process.born.Store(second)
			end := make(chan struct{})
			router := startRouter(t, startUpstream(t, func(ctx context.Context, conn net.Conn, n int, request receivedRequest) bool {
				if request.target != "/stream/" {
					return process.answer(ctx, conn, n, request)
				}
				write(conn, fmt.Sprintf(streamHead, request.header.Get("Hickoryhead-Attempt-Id"))+chunk("id: 1\ndata: a\n\n"))
				<-end
				write(conn, "0\r\n\r\n")
				return true
			}))
			listed := router.handler.Registry.Upstreams()
			listed[0].Incarnation, listed[0].Version = first, 2
			router.handler.Registry.Replace(time.Now(), 2, listed)
			router.useSplit("v1", time.Minute)
			if broke {
				process.born.Store(first)
				router.send(t, "a1", "POST", "/resume/", "", "Hickoryhead-Prompt-Prefix", "5c:80,"+ownKey+":20")
			}
			response, err := router.do(t, "b1", "POST", "/stream/", "")
			if err != nil {
				t.Fatal(err)
			}
			defer response.Body.Close()
			router.takeUp(t, "a2", "a1").check(t, http.StatusServiceUnavailable, "")
			close(end)
			if _, err := io.Copy(io.Discard, response.Body); err != nil {
				t.Fatal(err)
			}
			router.send(t, "a3", "POST", "/resume/", "").check(t, http.StatusServiceUnavailable, "")
		})
	}
}

// TestStreamOfAnUpstreamThatRestartedUnnoticed guards against one answer with events of two
// software versions (review case 2, ORDER): the upstream restarted under its ID with another
// version before the router's first connection to it, its row is read while it sends a
// stream, and it breaks. The stream must not go on at an upstream of the version before; one
// whose upstream is listed as before, or with the same version, does.
func TestStreamOfAnUpstreamThatRestartedUnnoticed(t *testing.T) {
	const first, second = 1_700_000_000_001, 1_700_000_000_002
	tests := []struct {
		name        string
		incarnation registry.Incarnation
		software    ident.SoftwareVersion
		wantWhole   bool
	}{
		{"another version", second, "v2", false},
		{"the same version", second, "v1", true},
		{"not restarted", first, "v1", true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			read := make(chan struct{})
			began := make(chan struct{})
			breaking := startUpstream(t, func(_ context.Context, conn net.Conn, _ int, request receivedRequest) bool {
				write(conn, fmt.Sprintf(streamHead, request.header.Get("Hickoryhead-Attempt-Id"))+chunk("id: 1\ndata: a\n\n"))
				close(began)
				<-read
				return false
			})
			router := startRouter(t, breaking)
			listed := router.handler.Registry.Upstreams()
			listed[0].Incarnation, listed[0].Version, listed[0].Software = first, 2, "v1"
			router.handler.Registry.Replace(time.Now(), 2, listed)
			router.useSplit("v1", time.Minute)
			done := make(chan outcome, 1)
			caller := &streamCaller{router: router, done: done}
			go caller.run(t)
			<-began
			rest := startUpstream(t, func(_ context.Context, conn net.Conn, _ int, request receivedRequest) bool {
				write(conn, fmt.Sprintf(streamHead, request.header.Get("Hickoryhead-Attempt-Id"))+chunk("id: 2\ndata: b\n\n")+"0\r\n\r\n")
				return true
			})
			restarted := listed[0]
			restarted.Incarnation, restarted.Version, restarted.Software = test.incarnation, 3, test.software
			other := registry.Upstream{ID: "i-rest", Service: "pool", Address: rest.address(), Software: "v1", Version: 3}
			another := other
			another.ID = "i-rest-2"
			router.handler.Registry.Replace(time.Now(), 3, []registry.Upstream{restarted, other, another})
			close(read)
			got := <-done
			if whole := got.err == nil && strings.Contains(got.body, "id: 2"); whole != test.wantWhole {
				t.Errorf("got body %q and error %v, want a whole stream: %t", got.body, got.err, test.wantWhole)
			}
			if !test.wantWhole {
				router.takeUp(t, "a2", "a1").check(t, http.StatusServiceUnavailable, "")
			}
		})
	}
}

// streamCaller sends the request for one stream.
type streamCaller struct {
	router *router
	done   chan outcome
}

func (caller *streamCaller) run(t *testing.T) {
	caller.done <- caller.router.send(t, "a1", "POST", "/resume/", "", "Hickoryhead-Prompt-Prefix", "5c:80,"+ownKey+":20")
}

// TestTakeUpStaysAtTheServiceThatBeganTheStream guards against a stream that continues at
// another service of a route that splits its traffic.
func TestTakeUpStaysAtTheServiceThatBeganTheStream(t *testing.T) {
	upstreams := map[ident.ServiceName]*fakeUpstream{"pool": startUpstream(t, wholeStream), "other": startUpstream(t, wholeStream)}
	router := startRouter(t, upstreams["pool"], upstreams["other"])
	listed := router.handler.Registry.Upstreams()
	listed[1].Service, listed[1].Version = "other", 2
	router.handler.Registry.Replace(time.Now(), 2, listed)
	config := testConfig()
	config.Version++
	for i := range config.Routes {
		config.Routes[i].Shares = []routing.Share{{Service: "pool", Weight: 1}, {Service: "other", Weight: 1}}
	}
	router.handler.Routes.Adopt(routing.New(config))
	router.handler.Splits, router.handler.Origins = new(split.Tracker), new(split.Origins)
	router.handler.Splits.MarkRead()
	for n := range 12 {
		first := fmt.Sprint("first-", n)
		router.send(t, first, "POST", "/resume/", "").check(t, http.StatusOK, "")
		began := map[ident.ServiceName]int{}
		for service, upstream := range upstreams {
			began[service] = len(upstream.requestsSoFar())
		}
		router.takeUp(t, fmt.Sprint("then-", n), first).check(t, http.StatusOK, "")
		for service, upstream := range upstreams {
			requests := upstream.requestsSoFar()
			ranFirst := slices.ContainsFunc(requests[:began[service]], func(request receivedRequest) bool {
				return request.header.Get("Hickoryhead-Attempt-Id") == first
			})
			if len(requests) > began[service] && !ranFirst {
				t.Errorf("got stream %s taken up at service %s, which did not begin it", first, service)
			}
		}
	}
}
