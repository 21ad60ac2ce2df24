package settingstable

import (
	"context"
	"encoding/json"

	"github.com/hickoryhead/hickoryhead/result"
	"github.com/hickoryhead/hickoryhead/settings"
)

// SnapshotEvery is the number of revisions of a team between two snapshots.
const SnapshotEvery = 64

// snapshotName is the object that holds every team's settings.
const snapshotName = "settings/snapshot.json"

// Snapshot is every team's settings at one moment. An older one may replace a
// newer one, so a reader checks it against the heads.
type Snapshot struct {
	Subtrees []*settings.Subtree
}

// WriteSnapshot stores the settings of view in the object store.
func (store *Store) WriteSnapshot(ctx context.Context, view *settings.View) error {
	var snapshot Snapshot
	for _, team := range view.TeamIDs() {
		snapshot.Subtrees = append(snapshot.Subtrees, view.Team(team))
	}
	body, err := json.Marshal(snapshot)
	if err != nil {
		return result.Errorf(result.InvalidSettings, "snapshot: %v", err)
	}
	return storeError(store.Client.PutObject(ctx, snapshotName, body))
}

// ReadSnapshot returns the stored settings; their revisions may be old.
func (store *Store) ReadSnapshot(ctx context.Context) ([]*settings.Subtree, error) {
	body, err := store.Client.GetObject(ctx, snapshotName)
	if err != nil {
		return nil, storeError(err)
	}
	var snapshot Snapshot
	if err := json.Unmarshal(body, &snapshot); err != nil {
		return nil, result.Errorf(result.PlatformUnavailable, "snapshot: %v", err)
	}
	return snapshot.Subtrees, nil
}
