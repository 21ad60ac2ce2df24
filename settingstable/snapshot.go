package settingstable

import (
	"context"
	"encoding/json"

	"github.com/hickoryhead/hickoryhead/result"
	"github.com/hickoryhead/hickoryhead/settings"
)

// SnapshotEvery is the number of revisions of a team between two snapshots.
const SnapshotEvery = 64

// snapshotName is the name of the object that holds the snapshot.
const snapshotName = "settings/snapshot.json"

// Snapshot holds the settings of all teams as one daemon had them. A snapshot may
// be overwritten with an older one, so a reader must compare it with the heads.
type Snapshot struct {
	Subtrees []*settings.Subtree
}

// WriteSnapshot replaces the snapshot in the object store with the settings of
// view.
func (store *Store) WriteSnapshot(ctx context.Context, view *settings.View) error {
	var snapshot Snapshot
	for _, team := range view.TeamIDs() {
		snapshot.Subtrees = append(snapshot.Subtrees, view.Team(team))
	}
	body, err := json.Marshal(snapshot)
	if err != nil {
		return result.Errorf(result.InvalidSettings, "encode snapshot: %v", err)
	}
	return storeError(store.Client.PutObject(ctx, snapshotName, body))
}

// ReadSnapshot returns the settings of the stored snapshot, which may be outdated.
func (store *Store) ReadSnapshot(ctx context.Context) ([]*settings.Subtree, error) {
	body, err := store.Client.GetObject(ctx, snapshotName)
	if err != nil {
		return nil, storeError(err)
	}
	var snapshot Snapshot
	if err := json.Unmarshal(body, &snapshot); err != nil {
		return nil, result.Errorf(result.PlatformUnavailable, "decode snapshot: %v", err)
	}
	return snapshot.Subtrees, nil
}
