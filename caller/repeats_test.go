package caller

import (
	"testing"

	"github.com/hickoryhead/hickoryhead/result"
)

// A repeat of a request that may have run is not told "not run", even where the
// sending itself was refused.
func TestRepeatIsNotToldNotRun(t *testing.T) {
	server := &Server{}
	relayOf := func(repeat bool) *relay {
		relay := newRelay()
		relay.server = server
		relay.incoming.key = "print-run-1"
		relay.incoming.repeat = repeat
		relay.incoming.deadline = server.now().Add(defaultTimeout)
		relay.recall()
		return relay
	}
	refused := &result.Error{Code: result.ClaimUnavailable}
	steps := []struct {
		name   string
		repeat bool
		sent   bool
		err    *result.Error
		want   result.Code
	}{
		{"first sending is refused", false, true, refused, result.ClaimUnavailable},
		{"so the next one is a first sending too", false, false, refused, result.ClaimUnavailable},
		{"its caller knows of an earlier one", true, true, refused, result.OutcomeUnknown},
		{"a sending may have run", false, true, &result.Error{Code: result.OutcomeUnknown}, result.OutcomeUnknown},
		{"a repeat is refused", false, true, refused, result.OutcomeUnknown},
	}
	for _, step := range steps {
		relay := relayOf(step.repeat)
		if step.sent {
			relay.remember()
		}
		if got := result.CodeOf(relay.truthful(step.err)); got != step.want {
			t.Errorf("%s: got %s, want %s", step.name, got.Name(), step.want.Name())
		}
	}
}
