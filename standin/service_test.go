package standin_test

import (
	"testing"

	"github.com/hickoryhead/hickoryhead/result"
	"github.com/hickoryhead/hickoryhead/standin"
	"github.com/hickoryhead/hickoryhead/upstream"
)

// TestCallWithLostAnswerRunsOnce loses the answer on a reused connection.
// net/http by itself retries such a call if it has an Idempotency-Key.
func TestCallWithLostAnswerRunsOnce(t *testing.T) {
	service := &standin.Service{Idempotent: []string{"status"}}
	client := upstream.New(serve(t, service), upstream.Options{})
	call := upstream.Call{Operation: "confirm", Key: "run-17", Workspace: "grocer-1", Body: []byte(`{}`)}
	status := upstream.Call{Operation: "status", Key: "run-18", Workspace: "grocer-1", Body: []byte(`{}`)}
	reply, err := client.Call(t.Context(), status)
	if want := `{"Operation":"status","Confirmation":1}` + "\n"; err != nil || reply.Body != want {
		t.Fatalf("got %+v, %v, want body %s", reply, err, want)
	}
	service.Switch(standin.ServiceSwitches{LoseAnswers: 1})
	_, err = client.Call(t.Context(), call)
	if got := result.CodeOf(err); got != result.OutcomeUnknown {
		t.Errorf("got %v, want OutcomeUnknown", got)
	}
	runs := service.Runs().Runs
	if got := runs["grocer-1/run-17"]; got != 1 || len(runs) != 1 {
		t.Errorf("got runs %v, want exactly one, of grocer-1/run-17", runs)
	}
}

func TestErrorStatusIsPassedOn(t *testing.T) {
	service := new(standin.Service)
	service.Switch(standin.ServiceSwitches{Outage: true})
	client := upstream.New(serve(t, service), upstream.Options{})
	reply, err := client.Call(t.Context(), upstream.Call{Operation: "confirm", Key: "k"})
	if err != nil || reply.Status != 503 {
		t.Errorf("got %+v, %v, want status 503", reply, err)
	}
	if got := service.Runs().Runs; len(got) != 0 {
		t.Errorf("got runs %v, want none", got)
	}
}
