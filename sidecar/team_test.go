package sidecar

import (
	"context"
	"testing"

	"github.com/hickoryhead/hickoryhead/claim"
	"github.com/hickoryhead/hickoryhead/claimtable"
	"github.com/hickoryhead/hickoryhead/settings"
)

// Workspaces of the same name in different teams share neither claims nor chats
// nor request fingerprints.
func TestWorkspacesOfDifferentTeamsShareNothing(t *testing.T) {
	claims := make(map[claim.Key]bool)
	chats := make(map[string]bool)
	fingerprints := make(map[uint64]bool)
	runClaim := func(_ context.Context, request claimtable.Request, _ claimtable.Forward) (claimtable.Answer, error) {
		claims[request.Key] = true
		return claimtable.Answer{}, nil
	}
	calls := []Call{{Team: "beaudoin"}, {Team: "ndiaye"}}
	for _, call := range calls {
		call.Workspace, call.Chat, call.Key, call.Route = "office", "chat-1", "key-1", "confirm"
		fingerprint := fingerprintOf(&call, []byte("{}"))
		work := &work{sidecar: &Sidecar{Claims: runClaim}, execution: newExecution(call, fingerprint, 1<<20, func() {}), route: settings.Route{Service: "orders"}}
		if err := work.runClaimed(t.Context()); err != nil {
			t.Fatal(err)
		}
		chats[string(engineChatID(&call))] = true
		fingerprints[uint64(fingerprint)] = true
	}
	want := len(calls)
	if len(claims) != want || len(chats) != want || len(fingerprints) != want {
		t.Errorf("got %d claims, %d chats and %d fingerprints, want %d of each", len(claims), len(chats), len(fingerprints), want)
	}
}
