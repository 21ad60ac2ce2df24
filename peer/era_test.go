package peer_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hickoryhead/hickoryhead/ident"
	"github.com/hickoryhead/hickoryhead/peer"
	"github.com/hickoryhead/hickoryhead/settings"
)

// TestSettingsThatTheStoreLostAreWrittenAgain guards against a store that was restored
// from an older copy and keeps the older settings of a team.
func TestSettingsThatTheStoreLostAreWrittenAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
		defer cancel()
		stored := ident.Revision(1)
		replicator := &peer.Replicator{
			Heads: func(context.Context) (map[ident.TeamID]ident.Revision, error) {
				return map[ident.TeamID]ident.Revision{"team": stored}, nil
			},
			WriteAgain: func(_ context.Context, subtree *settings.Subtree) error {
				stored = subtree.Revision
				return nil
			},
		}
		replicator.AdoptCommitted(&settings.Subtree{Team: "team", Revision: 3})
		replicator.Run(ctx)
		if stored != 3 {
			t.Errorf("got revision %d in the store, want 3, which is in force", stored)
		}
	})
}
