package operator_test

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/hickoryhead/hickoryhead/ident"
	"github.com/hickoryhead/hickoryhead/operator"
	"github.com/hickoryhead/hickoryhead/result"
	"github.com/hickoryhead/hickoryhead/settings"
	"github.com/hickoryhead/hickoryhead/standin"
)

var weightChange = map[settings.Path]json.RawMessage{"/Teams/beaudoin/Workspaces/laval": json.RawMessage(`{"Weight":2}`)}

func newClient(t *testing.T, fixture *fixture) *operator.Client {
	t.Helper()
	server := httptest.NewServer(fixture.handler)
	t.Cleanup(server.Close)
	return &operator.Client{Server: strings.TrimPrefix(server.URL, "http://"), Team: "beaudoin", Token: "secret of beaudoin", Author: "shelf desk"}
}

func TestClientAppliesReadsAndUndoes(t *testing.T) {
	ctx := context.Background()
	client := newClient(t, newFixture(t))
	accepted, err := client.Apply(ctx, 0, weightChange)
	if err != nil {
		t.Fatal(err)
	}
	if got, want := accepted.Revision, ident.Revision(1); got != want {
		t.Errorf("got revision %d, want %d", got, want)
	}
	value, err := client.Get(ctx, settings.KindWorkspace, "laval")
	if got, want := string(value), `{"Weight":2}`; got != want || err != nil {
		t.Errorf("got value %s and error %v, want %s and no error", got, err, want)
	}
	preview, err := client.PreviewUndo(ctx, 1)
	if got, want := len(preview.Differences), 1; got != want || err != nil {
		t.Errorf("got %d differences and error %v, want %d and no error", got, err, want)
	}
	if _, err := client.Undo(ctx, 1, 1); err != nil {
		t.Fatal(err)
	}
	list, err := client.List(ctx, settings.KindWorkspace)
	if got, want := len(list.Values), 0; got != want || err != nil {
		t.Errorf("got %d values and error %v after the undo, want %d and no error", got, err, want)
	}
	entries, err := client.History(ctx, -1, 10)
	if got, want := len(entries), 2; got != want || err != nil {
		t.Errorf("got %d entries and error %v, want %d and no error", got, err, want)
	}
}

// After a revision conflict the client gets the current values.
func TestClientReturnsCurrentSettingsOnConflict(t *testing.T) {
	client := newClient(t, newFixture(t))
	if _, err := client.Apply(context.Background(), 0, weightChange); err != nil {
		t.Fatal(err)
	}
	_, err := client.Apply(context.Background(), 0, weightChange)
	var raced *operator.ConflictError
	if !errors.As(err, &raced) {
		t.Fatalf("got %v, want a ConflictError", err)
	}
	if got, want := raced.Present.Revision, ident.Revision(1); got != want {
		t.Errorf("got revision %d, want %d", got, want)
	}
	if got, want := result.CodeOf(err), result.RevisionConflict; got != want {
		t.Errorf("got %s, want %s", got.Name(), want.Name())
	}
}

// If the outcome of one attempt is unknown, a later attempt that finds the
// platform unavailable must not report that the change was not accepted.
func TestClientKeepsAnUnknownOutcome(t *testing.T) {
	tests := []struct {
		name  string
		codes []result.Code
		want  result.Code
	}{
		{"unknown, then unavailable", []result.Code{result.CommitUnknown, result.PlatformUnavailable}, result.CommitUnknown},
		{"unavailable throughout", []result.Code{result.PlatformUnavailable}, result.PlatformUnavailable},
		{"unknown, then refused for good", []result.Code{result.CommitUnknown, result.RevisionConflict}, result.RevisionConflict},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			attempts := 0
			server := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
				code := test.codes[min(attempts, len(test.codes)-1)]
				attempts++
				writer.WriteHeader(code.Status())
				_ = json.NewEncoder(writer).Encode(operator.Refusal{Problem: result.Errorf(code, "").Problem(time.Now())})
			}))
			defer server.Close()
			noPause := func(context.Context) error { return nil }
			client := &operator.Client{Server: strings.TrimPrefix(server.URL, "http://"), Team: "beaudoin", Pause: noPause}
			_, err := client.Apply(context.Background(), 0, weightChange)
			if got := result.CodeOf(err); got != test.want {
				t.Errorf("got %v, want %s", err, test.want.Name())
			}
		})
	}
}

// A change is sent again under the same ID until the platform is available, and
// is accepted once even if the store's answer to the commit was lost.
func TestClientRepeatsAChangeUnderItsID(t *testing.T) {
	fixture := newFixture(t)
	client := newClient(t, fixture)
	fixture.platform.Switch(standin.PlatformSwitches{Outage: true})
	pauses := 0
	client.Pause = func(context.Context) error {
		pauses++
		fixture.platform.Switch(standin.PlatformSwitches{LoseAnswers: 1})
		return nil
	}
	accepted, err := client.Apply(context.Background(), 0, weightChange)
	if got, want := accepted.Revision, ident.Revision(1); got != want || err != nil {
		t.Errorf("got revision %d and error %v, want %d and no error", got, err, want)
	}
	if got, want := pauses, 1; got != want {
		t.Errorf("got %d pauses, want %d", got, want)
	}
}
