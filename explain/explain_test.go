package explain_test

import (
	"strings"
	"testing"
	"time"

	"github.com/hickoryhead/hickoryhead/explain"
)

const logs = `plain text that is no log
  24.93 edge-1 {"time":"2026-10-21T04:12:56.900Z","level":"WARN","msg":"forward: Upstream set aside.","Upstream":"i-1","Service":"pool","Outcome":"unreachable"}
{"time":"2026-10-21T04:12:56.910Z","level":"WARN","msg":"forward: Attempt failed.","VM":"edge-1","Attempt":"a1","Upstream":"i-1","Reason":"spill","Load":3,"Code":"UpstreamUnreachable","Cause":"i/o timeout"}
{"time":"2026-10-21T04:12:57.500Z","level":"WARN","msg":"forward: Request finished.","VM":"edge-1","Attempt":"a1","Status":502,"Code":"OutcomeUnknown","Ms":700,"ConfigVersion":9,"Route":"r-1","Upstream":"i-1","Reason":"holder","Load":2,"MeanLoad":1.5,"Tried":2,"Cause":"unexpected EOF"}
{"time":"2026-10-21T04:12:58.500Z","level":"WARN","msg":"forward: Request finished.","VM":"edge-2","Attempt":"a2","Status":502,"Code":"OutcomeUnknown","Ms":7,"Cause":"unexpected EOF"}
{"time":"2026-10-21T04:12:59.500Z","level":"WARN","msg":"forward: Request finished.","VM":"edge-2","Attempt":"a3","Status":401,"Code":"UnknownKey","Ms":0}
{"time":"2026-10-21T04:13:59.500Z","level":"INFO","msg":"forward: Request finished.","VM":"edge-2","Attempt":"a4","Status":200,"Code":"OK","Ms":5}
{broken`

func parsedLog() *explain.Log {
	log := new(explain.Log)
	for text := range strings.SplitSeq(logs, "\n") {
		log.Add([]byte(text))
	}
	return log
}

func TestRequest(t *testing.T) {
	var out strings.Builder
	if !parsedLog().WriteRequest(&out, "a1") {
		t.Fatal("got no line about a1, want its log lines")
	}
	fragments := []string{"offered to i-1", "upstream i-1 set aside: unreachable", "finished with status 502", "cause: the connection to the upstream ended without a whole answer: unexpected EOF"}
	rest := out.String()
	for _, want := range fragments {
		_, after, found := strings.Cut(rest, want)
		if !found {
			t.Errorf("got %q, want %q in this order", out.String(), want)
			continue
		}
		rest = after
	}
	if parsedLog().WriteRequest(&out, "a9") {
		t.Error("got lines for a request that no line mentions, want none")
	}
}

// TestCrashingRequest explains a refused request by the attempts that ran before
// it, at other routers, and leaves out the strikes of other requests.
func TestCrashingRequest(t *testing.T) {
	const lines = `{"time":"2026-10-21T04:00:01Z","msg":"strike: Strike counted, the upstream broke off while it ran the request.","VM":"edge-1","Fingerprint":"0f","Attempt":"a1","Upstream":"i-1","Strikes":1,"Source":"own"}
{"time":"2026-10-21T04:00:01.1Z","msg":"strike: Strike counted, the upstream broke off while it ran the request.","VM":"edge-2","Fingerprint":"0f","Upstream":"i-1","Strikes":1,"Source":"router"}
{"time":"2026-10-21T04:00:01.2Z","msg":"strike: Strike counted, the upstream broke off while it ran the request.","VM":"edge-1","Fingerprint":"0e","Attempt":"b1","Upstream":"i-1","Strikes":1,"Source":"own"}
{"time":"2026-10-21T04:00:02Z","msg":"strike: Strike counted, the upstream broke off while it ran the request.","VM":"edge-2","Fingerprint":"0f","Attempt":"a2","Upstream":"i-2","Strikes":2,"Source":"own"}
{"time":"2026-10-21T04:00:03Z","msg":"strike: Strike counted, the upstream broke off while it ran the request.","VM":"edge-1","Fingerprint":"0f","Attempt":"a3","Upstream":"i-3","Strikes":3,"Source":"own"}
{"time":"2026-10-21T04:00:04Z","msg":"forward: Request finished.","VM":"edge-2","Attempt":"a4","Status":429,"Code":"CrashingRequest","Fingerprint":"0f"}
{"time":"2026-10-21T04:00:05Z","msg":"strike: Strike withdrawn, the upstream ran on.","VM":"edge-2","Fingerprint":"0f","Upstream":"i-3","Strikes":2}`
	log := new(explain.Log)
	for text := range strings.SplitSeq(lines, "\n") {
		log.Add([]byte(text))
	}
	var out strings.Builder
	log.WriteRequest(&out, "a4")
	want := `2026-10-21T04:00:01Z edge-1 strike 1 of request 0f: upstream i-1 broke off while it ran attempt a1
2026-10-21T04:00:02Z edge-2 strike 2 of request 0f: upstream i-2 broke off while it ran attempt a2
2026-10-21T04:00:03Z edge-1 strike 3 of request 0f: upstream i-3 broke off while it ran attempt a3
`
	if got, _, _ := strings.Cut(out.String(), "2026-10-21T04:00:04Z"); got != want {
		t.Errorf("got %s, want %s", got, want)
	}
	if end := "finished with status 429 (CrashingRequest) after 0 ms: route , configuration 0, offered to no upstream"; !strings.Contains(out.String(), end) {
		t.Errorf("got %s, want %q", out.String(), end)
	}
	if cause := "cause: three upstreams or more broke off while they ran this request"; !strings.Contains(out.String(), cause) {
		t.Errorf("got %s, want %q", out.String(), cause)
	}
}

// TestRefusalNamesItsReason explains a request that was refused for a part of its prompt
// by the strikes of that part, one for which all upstreams were at their limits by the limits
// in force, and one for which there was no memory by what was held.
func TestRefusalNamesItsReason(t *testing.T) {
	const lines = `{"time":"2026-10-21T04:00:01Z","msg":"strike: Strike counted, the upstream broke off while it ran the request.","VM":"edge-1","Fingerprint":"0a","Kind":"part","Attempt":"a1","Upstream":"i-1","Strikes":3,"Source":"own"}
{"time":"2026-10-21T04:00:01Z","msg":"strike: Strike counted, the upstream broke off while it ran the request.","VM":"edge-1","Fingerprint":"0f","Kind":"request","Attempt":"a1","Upstream":"i-1","Strikes":1,"Source":"own"}
{"time":"2026-10-21T04:00:04Z","msg":"forward: Request finished.","VM":"edge-2","Attempt":"a4","Status":429,"Code":"CrashingRequest","Fingerprint":"0f","Part":"5c1e","PartFingerprint":"0a"}
{"time":"2026-10-21T04:00:05Z","msg":"forward: Upstream named a limit.","VM":"edge-1","Upstream":"i-2","PerSecond":1.5}
{"time":"2026-10-21T04:00:05Z","msg":"forward: Upstream named a limit.","VM":"edge-1","Upstream":"i-3","PerSecond":2}
{"time":"2026-10-21T04:00:06Z","msg":"forward: Upstream names no limit any more.","VM":"edge-3","Upstream":"i-3"}
{"time":"2026-10-21T04:00:20Z","msg":"forward: Request finished.","VM":"edge-2","Attempt":"a5","Status":503,"Code":"UpstreamsAtLimit"}
{"time":"2026-10-21T04:00:30Z","msg":"forward: Upstream asks for rest.","VM":"edge-1","Upstream":"i-2","Attempt":"a6","RestMs":3000}
{"time":"2026-10-21T04:00:30Z","msg":"forward: Upstream asks for rest.","VM":"edge-2","Upstream":"i-3","Attempt":"a7","RestMs":3000}
{"time":"2026-10-21T04:00:31Z","msg":"forward: Request finished.","VM":"edge-1","Attempt":"a8","Status":503,"Code":"UpstreamsResting"}
{"time":"2026-10-21T04:00:40Z","msg":"forward: Requests are refused for lack of room.","VM":"edge-3","Service":"chat","Usage":0.93}
{"time":"2026-10-21T04:00:41Z","msg":"forward: Request finished.","VM":"edge-3","Attempt":"a10","Status":503,"Code":"PoolFull","Usage":0.95,"Room":2,"RoomPart":0.05,"MayUse":0.96,"WaitMs":40,"RetryAfterMs":2800}
{"time":"2026-10-21T04:00:40Z","msg":"forward: Memory for bodies and answers is full.","VM":"edge-1","HeldBytes":35000000,"HeldLimit":35651584,"Unfinished":7,"RefusedCount":3}
{"time":"2026-10-21T04:00:40Z","msg":"Connections are at their bound.","VM":"edge-1","Listener":"callers","ConnLimit":384,"LastReason":"idle","ClosedCount":2}
{"time":"2026-10-21T04:00:41Z","msg":"forward: Request finished.","VM":"edge-1","Attempt":"a9","Status":503,"Code":"MemoryFull"}`
	log := new(explain.Log)
	for text := range strings.SplitSeq(lines, "\n") {
		log.Add([]byte(text))
	}
	tests := map[string]string{
		"a4": `2026-10-21T04:00:01Z edge-1 strike 3 of part 0a: upstream i-1 broke off while it ran attempt a1
2026-10-21T04:00:04Z edge-2 finished with status 429 (CrashingRequest) after 0 ms: route , configuration 0, offered to no upstream
cause: upstreams broke off while they ran requests with part 5c1e in their prompts, so it is refused and did not run
`,
		"a8": `2026-10-21T04:00:30Z edge-1 upstream i-2 asked this router for 3000 ms of rest
2026-10-21T04:00:31Z edge-1 finished with status 503 (UpstreamsResting) after 0 ms: route , configuration 0, offered to no upstream
cause: every upstream of the service had asked this router for rest
`,
		"a9": `2026-10-21T04:00:40Z edge-1 memory full: 35000000 bytes of bodies and answers held of at most 35651584, 3 requests refused since the last such line
2026-10-21T04:00:40Z edge-1 connections of callers at the bound of 384: 2 closed since the last such line, the last as idle
2026-10-21T04:00:41Z edge-1 finished with status 503 (MemoryFull) after 0 ms: route , configuration 0, offered to no upstream
cause: the router had no memory left for the body: others hold it, or the body was the largest and slowest; it did not run
`,
		"a5": `2026-10-21T04:00:05Z edge-1 upstream i-2 named a limit of 1.50 requests a second
2026-10-21T04:00:20Z edge-2 finished with status 503 (UpstreamsAtLimit) after 0 ms: route , configuration 0, offered to no upstream
cause: every upstream of the service is at the limit that it names
`,
	}
	tests["a10"] = `2026-10-21T04:00:40Z edge-3 requests to service chat are refused for lack of room: 0.93 of the pool used
2026-10-21T04:00:41Z edge-3 finished with status 503 (PoolFull) after 0 ms: route , configuration 0, offered to no upstream, 0.95 of the pool used and 0.96 open to the request, room for 2 such requests, of which 0.05 is this router's, answer to begin after 40 ms, told to return after 2800 ms
cause: the upstreams had no room for the request, or left it to more urgent ones and to other routers; it did not run
`
	for attempt, want := range tests {
		var out strings.Builder
		log.WriteRequest(&out, attempt)
		if got := out.String(); got != want {
			t.Errorf("got %s, want %s", got, want)
		}
	}
}

func TestFailures(t *testing.T) {
	groups := parsedLog().Failures(time.Time{}, time.Time{})
	if len(groups) != 2 || groups[0].Count != 2 || groups[0].Examples[0] != "a1" || groups[1].Examples[0] != "a3" {
		t.Errorf("got %+v, want the two unknown outcomes and then the unknown key", groups)
	}
	late := time.Date(2026, 10, 21, 4, 12, 59, 0, time.UTC)
	if groups := parsedLog().Failures(late, time.Time{}); len(groups) != 1 {
		t.Errorf("got %+v from %v on, want only the unknown key", groups, late)
	}
}

func TestUnplannedEnds(t *testing.T) {
	const runs = `{"time":"2026-10-21T04:00:00Z","msg":"Started.","VM":"edge-1"}
{"time":"2026-10-21T04:00:00Z","msg":"Started.","VM":"edge-2"}
{"time":"2026-10-21T04:00:05Z","msg":"Stopped.","VM":"edge-2"}
{"time":"2026-10-21T04:00:06Z","msg":"Started.","VM":"edge-2"}
{"time":"2026-10-21T04:00:07Z","msg":"forward: Request finished.","VM":"edge-1","Attempt":"a1"}
{"time":"2026-10-21T04:00:09Z","msg":"Started.","VM":"edge-1"}`
	log := new(explain.Log)
	for text := range strings.SplitSeq(runs, "\n") {
		log.Add([]byte(text))
	}
	ends := log.UnplannedEnds()
	if len(ends) != 1 || ends[0].VM != "edge-1" || ends[0].Started.Sub(ends[0].LastLine) != 2*time.Second {
		t.Errorf("got %+v, want only the first run of edge-1, with two seconds between its last line and the next start", ends)
	}
	var out strings.Builder
	if err := log.WriteUnplannedEnds(&out, ends[0].Started.Add(time.Second), time.Time{}); err != nil || out.Len() > 0 {
		t.Errorf("got %q, %v for a later period, want no output", out.String(), err)
	}
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(logs))
	f.Fuzz(func(t *testing.T, text []byte) {
		if line, ok := explain.Parse(text); ok && line.Message == "" {
			t.Errorf("got a line without a message from %q", text)
		}
	})
}

// TestRefusedTakeUpNamesWhatIsKnown explains take-ups that were refused: one whose version
// is unknown, by the splits of its router, and one whose version has left.
func TestRefusedTakeUpNamesWhatIsKnown(t *testing.T) {
	const lines = `{"time":"2026-10-21T04:00:01Z","msg":"forward: Request finished.","VM":"edge-1","Attempt":"b1","Status":200,"Code":"AnswerCut","Version":"v1","VersionSource":"answer","VersionAgeMs":40}
{"time":"2026-10-21T04:00:02Z","msg":"versions: Split adopted.","VM":"edge-2","Service":"pool","Revision":2,"Settled":false,"Cells":{"v1":39,"v2":25},"Source":"store"}
{"time":"2026-10-21T04:00:03Z","msg":"forward: Request finished.","VM":"edge-2","Attempt":"a4","TakesUp":"b1","Status":503,"Code":"OriginUnknown","Cell":7,"Versions":{"v1":2,"v2":1}}
{"time":"2026-10-21T04:00:04Z","msg":"forward: Request finished.","VM":"edge-1","Attempt":"a5","TakesUp":"b1","Status":503,"Code":"VersionGone","Version":"v1","VersionSource":"router","VersionAgeMs":3000,"Cell":7,"Versions":{"v2":3}}`
	log := new(explain.Log)
	for text := range strings.SplitSeq(lines, "\n") {
		log.Add([]byte(text))
	}
	tests := map[string]string{
		"a4": `2026-10-21T04:00:01Z edge-1 finished with status 200 (AnswerCut) after 0 ms: route , configuration 0, offered to no upstream, bound to version v1 by the answer, begun 40 ms before
2026-10-21T04:00:02Z edge-2 split 2 of service pool adopted: cells map[v1:39 v2:25], settled false, from store
2026-10-21T04:00:03Z edge-2 finished with status 503 (OriginUnknown) after 0 ms: route , configuration 0, offered to no upstream, takes up b1, cell 7, upstreams by version map[v1:2 v2:1]
cause: the router could not tell which software version began the stream, and did not guess; it did not run
`,
		"a5": `2026-10-21T04:00:01Z edge-1 finished with status 200 (AnswerCut) after 0 ms: route , configuration 0, offered to no upstream, bound to version v1 by the answer, begun 40 ms before
2026-10-21T04:00:04Z edge-1 finished with status 503 (VersionGone) after 0 ms: route , configuration 0, offered to no upstream, takes up b1, bound to version v1 by the router, begun 3000 ms before, cell 7, upstreams by version map[v2:3]
cause: no upstream of the software version that began the stream takes requests; it did not run
`,
	}
	for attempt, want := range tests {
		var out strings.Builder
		log.WriteRequest(&out, attempt)
		if got := out.String(); got != want {
			t.Errorf("got %s, want %s", got, want)
		}
	}
}

// TestRequestAfterSilentConnection explains a request to an upstream that had left by the
// log lines about a silent connection and an upstream that was kept.
func TestRequestAfterSilentConnection(t *testing.T) {
	const lines = `{"time":"2026-10-21T04:12:56.100Z","level":"WARN","msg":"Connection to the store is silent, a new one is used.","VM":"edge-1","OpenedAt":"2026-10-21T04:10:00Z"}
{"time":"2026-10-21T04:12:56.200Z","level":"INFO","msg":"follow: Upstream kept, its row may have expired in an outage of the store.","VM":"edge-1","Upstream":"i-1","OutageBegin":"2026-10-21T04:12:55Z"}
{"time":"2026-10-21T04:12:56.300Z","level":"INFO","msg":"follow: Row of an upstream not used, it was written late.","VM":"edge-1","Upstream":"i-1","Incarnation":7,"Sequence":5,"KnownIncarnation":7,"KnownSequence":8,"KnownGone":false}
{"time":"2026-10-21T04:12:57.500Z","level":"WARN","msg":"forward: Request finished.","VM":"edge-1","Attempt":"a1","Status":502,"Code":"OutcomeUnknown","Ms":700,"Upstream":"i-1","Cause":"unexpected EOF"}`
	log := new(explain.Log)
	for text := range strings.SplitSeq(lines, "\n") {
		log.Add([]byte(text))
	}
	var out strings.Builder
	if !log.WriteRequest(&out, "a1") {
		t.Fatal("got no line about a1, want its log lines")
	}
	for _, want := range []string{"connection to the store silent, opened at 04:10:00", "upstream i-1 kept", "since 04:12:55", "row of upstream i-1 not used: write 5 of incarnation 7, written late; known is write 8"} {
		if !strings.Contains(out.String(), want) {
			t.Errorf("got %q, want %q in it", out.String(), want)
		}
	}
}

// TestRefusedBecauseOfEvacuations guards against a refusal for which the report doesn't name
// the zones that the router took to be evacuated, or names others.
func TestRefusedBecauseOfEvacuations(t *testing.T) {
	const lines = `{"time":"2026-10-21T04:00:00Z","msg":"follow: Zone evacuated.","VM":"edge-1","Zone":"old","Revision":3,"Upstreams":9,"Source":"store"}
{"time":"2026-10-21T04:00:01Z","msg":"Started.","VM":"edge-1"}
{"time":"2026-10-21T04:00:02Z","msg":"follow: Zone evacuated.","VM":"edge-1","Zone":"a","Revision":7,"Upstreams":4,"Source":"store"}
{"time":"2026-10-21T04:00:03Z","msg":"follow: Zone evacuated.","VM":"edge-1","Zone":"b","Revision":8,"Upstreams":5,"Source":"10.0.0.2:7340"}
{"time":"2026-10-21T04:00:04Z","msg":"follow: Evacuation of a zone ended.","VM":"edge-1","Zone":"a","Revision":9,"Upstreams":4,"Source":"store"}
{"time":"2026-10-21T04:00:04Z","msg":"follow: Zone evacuated.","VM":"edge-2","Zone":"c","Revision":10,"Upstreams":5,"Source":"store"}
{"time":"2026-10-21T04:01:05Z","msg":"forward: Request finished.","VM":"edge-1","Attempt":"a1","Status":503,"Code":"ZonesEvacuated"}`
	log := new(explain.Log)
	for text := range strings.SplitSeq(lines, "\n") {
		log.Add([]byte(text))
	}
	var out strings.Builder
	log.WriteRequest(&out, "a1")
	for _, want := range []string{"zone b evacuated at revision 8, with 5 upstreams, reported by 10.0.0.2:7340", "cause: operators have evacuated"} {
		if !strings.Contains(out.String(), want) {
			t.Errorf("got %q, want %q in it", out.String(), want)
		}
	}
	for _, other := range []string{"zone a", "zone c", "zone old"} {
		if strings.Contains(out.String(), other) {
			t.Errorf("got %q, want nothing of %s", out.String(), other)
		}
	}
}

// TestRefusedBecauseOfRegions guards against a refusal whose cause doesn't say to which
// regions the request was restricted.
func TestRefusedBecauseOfRegions(t *testing.T) {
	log := new(explain.Log)
	log.Add([]byte(`{"time":"2026-10-21T04:01:05Z","msg":"forward: Request finished.","VM":"edge-1","Attempt":"a1","Status":503,"Code":"RegionNotAllowed","AllowedRegions":["east"]}`))
	var out strings.Builder
	log.WriteRequest(&out, "a1")
	if want := `both the route and the workspace allow; it did not run, allowed are ["east"]`; !strings.Contains(out.String(), want) {
		t.Errorf("got %q, want %q in it", out.String(), want)
	}
}

// TestUpstreamsCold explains a refusal by the upstreams that were cold as far as its router
// knew, and leaves out those of other routers.
func TestUpstreamsCold(t *testing.T) {
	const lines = `{"time":"2026-10-21T04:00:01Z","msg":"quota: Upstream failed, it is cold once it answers.","VM":"edge-1","Upstream":"i-1","Source":"failure"}
{"time":"2026-10-21T04:00:02Z","msg":"quota: Upstream is cold.","VM":"edge-1","Upstream":"i-1","Source":"return","RemainingMs":3000}
{"time":"2026-10-21T04:00:02Z","msg":"quota: Upstream is cold.","VM":"edge-2","Upstream":"i-3","Source":"start","RemainingMs":3000}
{"time":"2026-10-21T04:00:02.1Z","msg":"quota: Upstream is not cold any more.","VM":"edge-1","Upstream":"i-2","Source":"row"}
{"time":"2026-10-21T04:00:03Z","msg":"forward: Request finished.","VM":"edge-1","Attempt":"a1","Status":503,"Code":"UpstreamsCold"}`
	log := new(explain.Log)
	for text := range strings.SplitSeq(lines, "\n") {
		log.Add([]byte(text))
	}
	var out strings.Builder
	log.WriteRequest(&out, "a1")
	const want = `2026-10-21T04:00:01Z edge-1 upstream i-1 failed, it is cold once it answers
2026-10-21T04:00:02Z edge-1 upstream i-1 is cold for 3000 ms, by the return
2026-10-21T04:00:02.1Z edge-1 upstream i-2 is not cold any more, by the row
2026-10-21T04:00:03Z edge-1 finished with status 503 (UpstreamsCold) after 0 ms: route , configuration 0, offered to no upstream
cause: every upstream of the service has just started, or came back, and takes few requests a second for a while
`
	if got := out.String(); got != want {
		t.Errorf("got %q, want %q", got, want)
	}
}
