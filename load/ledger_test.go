package load

import (
	"bufio"
	"errors"
	"io"
	"strings"
	"testing"

	"github.com/hickoryhead/hickoryhead/result"
)

func TestLedgerFindsViolations(t *testing.T) {
	done := reply{ending: endedComplete, status: 200, text: "1"}
	other := reply{ending: endedComplete, status: 200, text: "2"}
	notRun := reply{ending: endedProblem, code: result.ClaimUnavailable}
	unsent := reply{ending: endedUnsent}
	unknown := reply{ending: endedProblem, code: result.OutcomeUnknown}
	truncated := reply{ending: endedTruncated}
	tests := []struct {
		name    string
		replies []reply
		runs    int
		want    Confirmations
	}{
		{"done once", []reply{done, done}, 1, Confirmations{Done: 1}},
		{"done after not run", []reply{notRun, done}, 1, Confirmations{Done: 1}},
		{"not run", []reply{notRun, unsent}, 0, Confirmations{}},
		{"truncated and ran", []reply{truncated}, 1, Confirmations{Open: 1}},
		{"unknown and did not run", []reply{unknown}, 0, Confirmations{Open: 1}},
		{"ran twice", []reply{done}, 2, Confirmations{Done: 1, RanTwice: 1}},
		{"ran after not run", []reply{notRun}, 1, Confirmations{RanAfterNotRun: 1}},
		{"done without a run", []reply{done}, 0, Confirmations{Done: 1, DoneWithoutRun: 1}},
		{"two answers", []reply{done, other}, 1, Confirmations{Done: 1, Differing: 1}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			var ledger ledger
			arrival := Arrival{Kind: Confirm, Workspace: "grocer-1", Key: "k"}
			for _, reply := range test.replies {
				ledger.add(arrival, reply)
			}
			test.want.Keys = 1
			test.want.Checked = true
			got := ledger.report(map[string]int{"grocer-1/k": test.runs})
			if got != test.want {
				t.Errorf("got %+v, want %+v", got, test.want)
			}
			sound := test.want.RanTwice+test.want.RanAfterNotRun+test.want.DoneWithoutRun+test.want.Differing == 0
			report := &Report{Confirmations: got}
			if report.Sound() != sound {
				t.Errorf("got sound %t, want %t", report.Sound(), sound)
			}
		})
	}
}

func TestEventReader(t *testing.T) {
	const text = ": comment\n\nid: u~r/1\nevent: data\ndata: \"a\"\n\ndata: x\ndata: y\n\nid: 3\n"
	events := &eventReader{reader: bufio.NewReader(strings.NewReader(text))}
	for _, want := range []event{{id: "u~r/1", name: "data", data: `"a"`}, {data: "x\ny"}} {
		got, err := events.next()
		if err != nil || got != want {
			t.Errorf("got %+v, %v, want %+v", got, err, want)
		}
	}
	if _, err := events.next(); !errors.Is(err, io.ErrUnexpectedEOF) {
		t.Errorf("got %v within an event, want ErrUnexpectedEOF", err)
	}
}
