package explain_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/hickoryhead/hickoryhead/explain"
)

const endLogs = `{"time":"2026-10-21T04:00:00Z","msg":"Connections are at their bound.","VM":"edge-1","Listener":"callers","ConnLimit":384,"LastReason":"stalled","ClosedCount":1}
{"time":"2026-10-21T04:00:01Z","msg":"forward: Request finished.","VM":"edge-1","Attempt":"a1","Status":0,"Code":"CallerLeft","CallerLeft":true,"EndReason":"read-deadline","ReadError":"i/o timeout","VersionInForce":9,"InForceMs":120,"StallMs":700,"StallAgoMs":40}
{"time":"2026-10-21T04:00:02Z","msg":"forward: Request finished.","VM":"edge-1","Attempt":"a2","Status":200,"Code":"OK"}
{"time":"2026-10-21T04:00:02Z","msg":"forward: Request ended without an answer.","VM":"edge-1","Attempt":"a2","Status":200,"Code":"OK","EndReason":"write-deadline","WriteError":"i/o timeout","VersionInForce":9,"InForceMs":1120}
{"time":"2026-10-21T04:00:03Z","msg":"forward: Request finished.","VM":"edge-1","Attempt":"a3","Status":200,"Code":"OK","EndReason":"closed","CloseReason":"bound-stalled","WriteError":"use of closed network connection"}
{"time":"2026-10-21T04:00:04Z","msg":"forward: Request finished.","VM":"edge-2","Attempt":"a4","Status":200,"Code":"AnswerCut","Cause":"unexpected EOF","EndReason":"upstream-cut"}`

func endLog() *explain.Log {
	log := new(explain.Log)
	for text := range strings.SplitSeq(endLogs, "\n") {
		log.Add([]byte(text))
	}
	return log
}

// TestUnansweredRequest guards against a request without a complete answer that is explained by its
// caller, or as served, where its connection ended for another reason.
func TestUnansweredRequest(t *testing.T) {
	const bound = "2026-10-21T04:00:00Z edge-1 connections of callers at the bound of 384: 1 closed since the last such line, the last as stalled\n"
	tests := map[string]string{
		"a1": bound + `2026-10-21T04:00:01Z edge-1 finished with status 0 (CallerLeft) after 0 ms: route , configuration 0, offered to no upstream, no complete answer: read-deadline, last read failed with i/o timeout, configuration 9 in force for 120 ms, process last stood still for 700 ms until 40 ms before
cause: a read deadline of the router passed on the caller's connection, although the request was read whole
`,
		"a2": bound + `2026-10-21T04:00:02Z edge-1 finished with status 200 (OK) after 0 ms: route , configuration 0, offered to no upstream
2026-10-21T04:00:02Z edge-1 answer with status 200 (OK) could not be written, no complete answer: write-deadline, last write failed with i/o timeout, configuration 9 in force for 1120 ms
cause: the answer was not written before a write deadline: the caller did not read, or the router stood still
`,
		"a3": bound + `2026-10-21T04:00:03Z edge-1 finished with status 200 (OK) after 0 ms: route , configuration 0, offered to no upstream, no complete answer: closed as bound-stalled, last write failed with use of closed network connection
cause: the router closed the connection as bound-stalled
`,
		"a4": `2026-10-21T04:00:04Z edge-2 finished with status 200 (AnswerCut) after 0 ms: route , configuration 0, offered to no upstream, no complete answer: upstream-cut
cause: the upstream's stream ended early and could not be resumed: unexpected EOF
`,
	}
	for attempt, want := range tests {
		var out strings.Builder
		endLog().WriteRequest(&out, attempt)
		if got := out.String(); got != want {
			t.Errorf("got %s, want %s", got, want)
		}
	}
}

// TestUnansweredRequestsAreFailures guards against requests that got no complete answer and are in
// no group of failures, as their code is OK, or in two.
func TestUnansweredRequestsAreFailures(t *testing.T) {
	got := make(map[string]bool)
	for _, group := range endLog().Failures(time.Time{}, time.Time{}) {
		got[fmt.Sprint(group.Count, group.Examples)] = true
	}
	for _, want := range []string{"1 [a1]", "1 [a2]", "1 [a3]", "1 [a4]"} {
		if !got[want] {
			t.Errorf("got groups %v, want one of %s", got, want)
		}
	}
	if len(got) != 4 {
		t.Errorf("got groups %v, want four", got)
	}
}
