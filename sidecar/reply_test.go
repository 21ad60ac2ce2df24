package sidecar

import (
	"encoding/base64"
	"testing"

	"github.com/hickoryhead/hickoryhead/answer"
	"github.com/hickoryhead/hickoryhead/upstream"
)

// The body of a plain service's answer reaches the router unchanged, also if it is
// not valid UTF-8.
func TestReplyKeepsItsBytes(t *testing.T) {
	for _, body := range []string{`{"Confirmation":1}`, "\xff\xfe not UTF-8", ""} {
		work := &work{sidecar: &Sidecar{}, execution: newExecution(Call{}, 0, 1<<20, func() {})}
		work.appendReply(upstream.Reply{Status: 200, Body: body})
		frames, _ := work.execution.replay.From(1)
		end := frames[len(frames)-1].End
		line, err := frames[0].AppendJSON(nil)
		if err != nil {
			t.Fatal(err)
		}
		received, err := answer.DecodeFrame(line)
		if err != nil {
			t.Fatal(err)
		}
		got := received.Data
		if end.Base64 {
			decoded, err := base64.StdEncoding.DecodeString(got)
			if err != nil {
				t.Fatal(err)
			}
			got = string(decoded)
		}
		if got != body {
			t.Errorf("got %q, want %q", got, body)
		}
	}
}
