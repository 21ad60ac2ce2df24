package caller

import (
	"testing"

	"github.com/hickoryhead/hickoryhead/result"
	"github.com/hickoryhead/hickoryhead/settings"
)

// A repeat of a request that may have run must not end with outcome NotRun, even
// if the repeat itself was refused: its caller would take the action for not
// done.
func TestRepeatDoesNotEndAsNotRun(t *testing.T) {
	server := &Server{}
	relayOf := func(repeat bool) *relay {
		relay := newRelay()
		relay.server = server
		relay.incoming.route = settings.Route{Service: "orders"}
		relay.incoming.key = "print-run-1"
		relay.incoming.repeat = repeat
		relay.incoming.deadline = server.now().Add(defaultTimeout)
		relay.checkRepeat()
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
		{"the first request is refused", false, true, refused, result.ClaimUnavailable},
		{"the next request counts as the first again", false, false, refused, result.ClaimUnavailable},
		{"the caller marks the request as a repeat", true, true, refused, result.OutcomeUnknown},
		{"a request may have run", false, true, &result.Error{Code: result.OutcomeUnknown}, result.OutcomeUnknown},
		{"the repeat of that request is refused", false, true, refused, result.OutcomeUnknown},
	}
	for _, step := range steps {
		relay := relayOf(step.repeat)
		if step.sent {
			relay.rememberKey()
		}
		if got := result.CodeOf(relay.finalError(step.err)); got != step.want {
			t.Errorf("%s: got %s, want %s", step.name, got.Name(), step.want.Name())
		}
	}
}
