package load_test

import (
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/hickoryhead/hickoryhead/ident"
	"github.com/hickoryhead/hickoryhead/load"
)

var start = time.Unix(1000, 0)

func workload() load.Workload {
	return load.Workload{
		Seed:              3,
		Requests:          4000,
		RequestsPerSecond: 100,
		Chats:             300,
		Workspaces:        []load.Workspace{{ID: "grocer-1", Share: 1}, {ID: "grocer-2", Share: 3}},
		ConfirmShare:      0.1,
		StatusShare:       0.1,
		RepeatShare:       0.3,
		WholeShare:        0.5,
	}
}

func planned(t *testing.T, workload load.Workload) []load.Arrival {
	t.Helper()
	plan, err := workload.Plan(start)
	if err != nil {
		t.Fatal(err)
	}
	var arrivals []load.Arrival
	for {
		arrival, more := plan.Next()
		if !more {
			return arrivals
		}
		arrivals = append(arrivals, arrival)
	}
}

func TestPlanDependsOnTheSeedAlone(t *testing.T) {
	first := planned(t, workload())
	if !slices.Equal(first, planned(t, workload())) {
		t.Error("got different plans from the same seed, want equal ones")
	}
	other := workload()
	other.Seed++
	if slices.Equal(first, planned(t, other)) {
		t.Error("got equal plans from two seeds, want different ones")
	}
	if got := len(first); got != 4000 {
		t.Errorf("got %d requests, want 4000", got)
	}
}

func TestPlanKeepsItsShares(t *testing.T) {
	counts := make(map[load.Kind]int)
	keys := make(map[ident.IdempotencyKey]ident.WorkspaceID)
	repeated, ofGrocer1, returned := 0, 0, 0
	turns := make(map[ident.ChatID]int)
	arrivals := planned(t, workload())
	for _, arrival := range arrivals {
		counts[arrival.Kind]++
		if arrival.Workspace == "grocer-1" {
			ofGrocer1++
		}
		switch arrival.Kind {
		case load.Confirm:
			if owner, found := keys[arrival.Key]; found {
				repeated++
				if owner != arrival.Workspace {
					t.Fatalf("got key %s repeated by %s, want %s", arrival.Key, arrival.Workspace, owner)
				}
			}
			keys[arrival.Key] = arrival.Workspace
		case load.Generate:
			if arrival.Turn != turns[arrival.Chat]+1 {
				t.Fatalf("got turn %d of %s, want %d", arrival.Turn, arrival.Chat, turns[arrival.Chat]+1)
			}
			if arrival.Turn > 1 {
				returned++
			}
			turns[arrival.Chat] = arrival.Turn
		case load.Status:
		}
	}
	// The bounds are wide enough for any seed, since the counts are sums of
	// hundreds of independent draws.
	within(t, "confirmations", counts[load.Confirm], 300, 500)
	within(t, "status requests", counts[load.Status], 300, 500)
	within(t, "repeated confirmations", repeated, 60, 200)
	within(t, "requests of grocer-1", ofGrocer1, 500, 1700)
	within(t, "returning chats", returned, 2000, 3200)
	seconds := int(arrivals[len(arrivals)-1].At.Sub(start) / time.Second)
	within(t, "seconds", seconds, 36, 44)
}

func within(t *testing.T, name string, got, low, high int) {
	t.Helper()
	if got < low || got > high {
		t.Errorf("got %d %s, want %d to %d", got, name, low, high)
	}
}

func TestSurgeAddsRequestsOfItsWorkspace(t *testing.T) {
	surged := workload()
	surged.Surge = &load.Surge{Workspace: "grocer-1", Factor: 9, From: 5 * time.Second, Until: 15 * time.Second}
	before, during, other := 0, 0, 0
	for _, arrival := range planned(t, surged) {
		elapsed := arrival.At.Sub(start)
		switch {
		case elapsed >= 15*time.Second:
		case elapsed < 5*time.Second && arrival.Workspace == "grocer-1":
			before++
		case elapsed >= 5*time.Second && arrival.Workspace == "grocer-1":
			during++
		case elapsed >= 5*time.Second:
			other++
		}
	}
	// Without the surge, about 500 requests arrive in 5 s, a quarter of them
	// for grocer-1. The surge adds 8 times that quarter for 10 s.
	within(t, "requests before the surge", before, 60, 220)
	within(t, "requests of the surge", during, 1900, 2700)
	within(t, "requests of grocer-2 during the surge", other, 500, 950)
}

func TestTurnsShareTheirPrefix(t *testing.T) {
	made := load.Workload{PromptTokens: 50, TurnTokens: 20, AnswerTokens: 4}
	first := made.Prompt("chat-1.0", 1)
	second := made.Prompt("chat-1.0", 2)
	if !strings.HasPrefix(second.Text, first.Text) || len(second.Text) != 280 {
		t.Errorf("got a second turn of %d bytes after a first of %d, want 280 that begin with the first 200", len(second.Text), len(first.Text))
	}
	if made.Prompt("chat-2.0", 1).Text == first.Text {
		t.Error("got the same prompt for two chats, want different ones")
	}
}

func TestPlanRefusesAnInvalidWorkload(t *testing.T) {
	if _, err := (load.Workload{}).Plan(start); err == nil {
		t.Error("got no error without workspaces, want one")
	}
	wrong := workload()
	wrong.ConfirmShare = 1.5
	if _, err := wrong.Plan(start); err == nil {
		t.Error("got no error for a share above 1, want one")
	}
}
