package result_test

import (
	"testing"
	"time"

	"github.com/hickoryhead/hickoryhead/result"
)

func TestRegistryIsComplete(t *testing.T) {
	seen := make(map[result.Code]bool)
	for _, entry := range result.Entries() {
		if seen[entry.Code] {
			t.Errorf("code %s is registered twice", entry.Code)
		}
		seen[entry.Code] = true
		if entry.Name == "" || entry.Title == "" || entry.Text == "" || entry.Status < 400 || entry.Outcome == "" {
			t.Errorf("got incomplete entry %+v, want every field set", entry)
		}
		if entry.RetryOnAnother && entry.Outcome != result.NotRun {
			t.Errorf("got RetryOnAnother for %s with outcome %s, want it only with NotRun", entry.Name, entry.Outcome)
		}
	}
}

func TestUnregisteredCodeConcludesNothing(t *testing.T) {
	got := result.Code(9999).Outcome()
	if want := result.Unknown; got != want {
		t.Errorf("got %s, want %s", got, want)
	}
}

func TestProblemKeepsTheRemainingTime(t *testing.T) {
	sent := time.Unix(1000, 0)
	received := time.Unix(5000, 0)
	problem := (&result.Error{Code: result.OverBound, RetryAt: sent.Add(2 * time.Second)}).Problem(sent)
	got := problem.Err(received).RetryAt
	if want := received.Add(2 * time.Second); !got.Equal(want) {
		t.Errorf("got %v, want %v", got, want)
	}
}
