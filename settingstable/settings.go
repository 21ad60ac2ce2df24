package settingstable

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/cockroachdb/errors"

	"github.com/hickoryhead/hickoryhead/ident"
	"github.com/hickoryhead/hickoryhead/platform"
	"github.com/hickoryhead/hickoryhead/result"
	"github.com/hickoryhead/hickoryhead/settings"
)

// The rows of the settings. A subtree is one row; its head is a small row with
// its revision alone, so that a poll reads little.
const (
	subtreePrefix platform.Key = "settings/subtrees/"
	headPrefix    platform.Key = "settings/heads/"
	historyPrefix platform.Key = "settings/history/"
	changePrefix  platform.Key = "settings/changes/"
	teamPrefix    platform.Key = "teams/"
)

const (
	// scanLimit is the most rows of one scan.
	scanLimit = 500
	// firstCommitRetry and lastCommitRetry bound the wait between two tries.
	firstCommitRetry = 20 * time.Millisecond
	lastCommitRetry  = time.Second
)

// Store keeps the settings of all teams in the platform's table. Its errors
// are result.Errors with code PlatformUnavailable where the platform failed.
type Store struct {
	Client *platform.Client
	// Now tells the time for the history; nil means time.Now.
	Now func() time.Time
}

// Accepted is the fate of an accepted change.
type Accepted struct {
	// Subtree is the team's settings after the change. It is nil where the
	// change had been accepted by an earlier call and others followed it.
	Subtree  *settings.Subtree
	Revision ident.Revision
	// Repeated says that an earlier call had accepted the change.
	Repeated bool
}

// head is the row of a team's revision.
type head struct {
	Revision ident.Revision
}

// changeRecord is the row of an accepted change ID.
type changeRecord struct {
	Revision ident.Revision
	Digest   uint64
}

// Accept commits change unless another one was accepted on its base. One
// transaction writes the subtree, its head, the history and the change ID, so a
// lost answer is resolved by committing again: the change ID is there, or the
// change is not accepted yet. It tries until ctx ends; its error is then a
// result.Error with code CommitUnknown if an answer was lost and
// PlatformUnavailable if nothing can have been accepted. Other codes are those
// of settings.Apply, and KeyReused for an ID that belongs to another change.
func (store *Store) Accept(ctx context.Context, change settings.Change) (Accepted, error) {
	commit := &settingsCommit{store: store, change: change}
	waits := backoff.NewExponentialBackOff()
	waits.InitialInterval = firstCommitRetry
	waits.MaxInterval = lastCommitRetry
	for {
		accepted, err := commit.try(ctx)
		if err == nil || !retryable(err) {
			return accepted, err
		}
		select {
		case <-ctx.Done():
			return Accepted{}, commit.unresolved(err)
		case <-time.After(waits.NextBackOff()):
		}
	}
}

// settingsCommit is one change on its way into the table.
type settingsCommit struct {
	store  *Store
	change settings.Change
	// lost says that an answer to a commit was lost.
	lost bool
}

// errMoved means that a row changed between the read and the commit.
var errMoved = errors.New("settings moved during the commit")

func retryable(err error) bool {
	var refused *result.Error
	return !errors.As(err, &refused)
}

func (commit *settingsCommit) unresolved(err error) error {
	if commit.lost {
		return result.Errorf(result.CommitUnknown, "change %s of team %s: %v", commit.change.ID, commit.change.Team, err)
	}
	return result.Errorf(result.PlatformUnavailable, "%v", err)
}

func (commit *settingsCommit) try(ctx context.Context) (Accepted, error) {
	rows, err := commit.store.Client.Read(ctx, subtreeKey(commit.change.Team), commit.changeKey())
	if err != nil {
		return Accepted{}, err
	}
	present, revision, err := findSubtree(rows, commit.change.Team)
	if err != nil {
		return Accepted{}, err
	}
	if recorded, found := findRow(rows, commit.changeKey()); found {
		return commit.repeated(recorded, present)
	}
	next, err := settings.Apply(present, commit.change)
	if err != nil {
		return commit.refused(ctx, err, present)
	}
	transaction, err := commit.transaction(present, next, revision)
	if err != nil {
		return Accepted{}, err
	}
	return commit.send(ctx, transaction, next)
}

func (commit *settingsCommit) send(ctx context.Context, transaction platform.Transaction, next *settings.Subtree) (Accepted, error) {
	_, err := commit.store.Client.Commit(ctx, transaction)
	var conflict *platform.ConflictError
	switch {
	case err == nil:
		return Accepted{Subtree: next, Revision: next.Revision}, nil
	case errors.As(err, &conflict):
		return Accepted{}, errMoved
	case !errors.Is(err, platform.ErrUnavailable):
		commit.lost = true
	}
	return Accepted{}, err
}

// refused looks once more for the change ID: the change itself may have moved
// the revision between the reads of the two rows. Once the revision has moved
// without it, its transaction can no longer apply.
func (commit *settingsCommit) refused(ctx context.Context, refusal error, present *settings.Subtree) (Accepted, error) {
	rows, err := commit.store.Client.Read(ctx, commit.changeKey())
	if err != nil {
		return Accepted{}, err
	}
	if recorded, found := findRow(rows, commit.changeKey()); found {
		return commit.repeated(recorded, present)
	}
	return Accepted{}, refusal
}

func (commit *settingsCommit) repeated(row platform.Row, present *settings.Subtree) (Accepted, error) {
	var record changeRecord
	if err := json.Unmarshal(row.Value, &record); err != nil {
		return Accepted{}, result.Errorf(result.PlatformUnavailable, "row %s: %v", row.Key, err)
	}
	if record.Digest != commit.change.Digest() {
		return Accepted{}, result.Errorf(result.KeyReused, "change ID %s was accepted with other values, as revision %d", commit.change.ID, record.Revision)
	}
	accepted := Accepted{Revision: record.Revision, Repeated: true}
	if present != nil && present.Revision == record.Revision {
		accepted.Subtree = present
	}
	return accepted, nil
}

func (commit *settingsCommit) transaction(present, next *settings.Subtree, revision ident.Revision) (platform.Transaction, error) {
	entry := settings.Entry{
		Team:        next.Team,
		Revision:    next.Revision,
		ChangeID:    commit.change.ID,
		At:          commit.store.now().UTC(),
		Author:      commit.change.Author,
		Reason:      commit.change.Reason,
		Differences: settings.Diff(present, next),
	}
	var writes writeList
	writes.add(subtreeKey(next.Team), next)
	writes.add(headPrefix+platform.Key(next.Team), head{Revision: next.Revision})
	writes.add(historyKey(next.Team, next.Revision), entry)
	writes.add(commit.changeKey(), changeRecord{Revision: next.Revision, Digest: commit.change.Digest()})
	checks := []platform.Check{{Key: subtreeKey(next.Team), Revision: revision}, {Key: commit.changeKey()}}
	return platform.Transaction{Checks: checks, Writes: writes.writes}, writes.err
}

func (commit *settingsCommit) changeKey() platform.Key {
	return changePrefix + platform.Key(commit.change.Team) + "/" + platform.Key(commit.change.ID)
}

// Find returns the fate of a change that may have been accepted, and whether it
// was. Its error is that of Accept.
func (store *Store) Find(ctx context.Context, change settings.Change) (Accepted, bool, error) {
	commit := &settingsCommit{store: store, change: change}
	rows, err := store.Client.Read(ctx, subtreeKey(change.Team), commit.changeKey())
	if err != nil {
		return Accepted{}, false, storeError(err)
	}
	recorded, found := findRow(rows, commit.changeKey())
	if !found {
		return Accepted{}, false, nil
	}
	present, _, err := findSubtree(rows, change.Team)
	if err != nil {
		return Accepted{}, false, err
	}
	accepted, err := commit.repeated(recorded, present)
	return accepted, err == nil, err
}

// Heads returns the revision of each team.
func (store *Store) Heads(ctx context.Context) (map[ident.TeamID]ident.Revision, error) {
	rows, err := store.scanAll(ctx, headPrefix)
	if err != nil {
		return nil, err
	}
	heads := make(map[ident.TeamID]ident.Revision, len(rows))
	for _, row := range rows {
		found, err := decodeRow[head](row)
		if err != nil {
			return nil, err
		}
		heads[ident.TeamID(strings.TrimPrefix(string(row.Key), string(headPrefix)))] = found.Revision
	}
	return heads, nil
}

// Load returns the settings of teams, or of every team where none is named.
func (store *Store) Load(ctx context.Context, teams ...ident.TeamID) ([]*settings.Subtree, error) {
	rows, err := store.subtreeRows(ctx, teams)
	if err != nil {
		return nil, err
	}
	subtrees := make([]*settings.Subtree, 0, len(rows))
	for _, row := range rows {
		subtree, err := decodeRow[settings.Subtree](row)
		if err != nil {
			return nil, err
		}
		subtrees = append(subtrees, &subtree)
	}
	return subtrees, nil
}

func (store *Store) subtreeRows(ctx context.Context, teams []ident.TeamID) ([]platform.Row, error) {
	if len(teams) == 0 {
		return store.scanAll(ctx, subtreePrefix)
	}
	keys := make([]platform.Key, 0, len(teams))
	for _, team := range teams {
		keys = append(keys, subtreeKey(team))
	}
	rows, err := store.Client.Read(ctx, keys...)
	return rows, storeError(err)
}

func (store *Store) now() time.Time {
	if store.Now == nil {
		return time.Now()
	}
	return store.Now()
}

func (store *Store) scanAll(ctx context.Context, prefix platform.Key) ([]platform.Row, error) {
	var all []platform.Row
	after := platform.Key("")
	for {
		rows, err := store.Client.Scan(ctx, prefix, after, scanLimit)
		if err != nil {
			return nil, storeError(err)
		}
		all = append(all, rows...)
		if len(rows) < scanLimit {
			return all, nil
		}
		after = rows[len(rows)-1].Key
	}
}

// writeList collects writes, and the first error of their encoding.
type writeList struct {
	writes []platform.Write
	err    error
}

func (list *writeList) add(key platform.Key, value any) {
	raw, err := json.Marshal(value)
	if err != nil && list.err == nil {
		list.err = result.Errorf(result.InvalidSettings, "%s: %v", key, err)
	}
	list.writes = append(list.writes, platform.Write{Key: key, Value: raw})
}

func subtreeKey(team ident.TeamID) platform.Key { return subtreePrefix + platform.Key(team) }

// historyKey orders by revision.
func historyKey(team ident.TeamID, revision ident.Revision) platform.Key {
	return historyPrefix + platform.Key(team) + platform.Key(fmt.Sprintf("/%020d", revision))
}

func findRow(rows []platform.Row, key platform.Key) (platform.Row, bool) {
	for _, row := range rows {
		if row.Key == key {
			return row, true
		}
	}
	return platform.Row{}, false
}

func findSubtree(rows []platform.Row, team ident.TeamID) (*settings.Subtree, ident.Revision, error) {
	row, found := findRow(rows, subtreeKey(team))
	if !found {
		return nil, 0, nil
	}
	subtree, err := decodeRow[settings.Subtree](row)
	return &subtree, row.Revision, err
}

func decodeRow[V any](row platform.Row) (V, error) {
	var value V
	if err := json.Unmarshal(row.Value, &value); err != nil {
		return value, result.Errorf(result.PlatformUnavailable, "row %s: %v", row.Key, err)
	}
	return value, nil
}

func storeError(err error) error {
	if err == nil {
		return nil
	}
	return result.Errorf(result.PlatformUnavailable, "%v", err)
}
