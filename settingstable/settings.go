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

// The prefixes of the row keys. A subtree is one row. Its head is a second, small
// row with only the revision, so that a poll reads little data.
const (
	subtreePrefix platform.Key = "settings/subtrees/"
	headPrefix    platform.Key = "settings/heads/"
	historyPrefix platform.Key = "settings/history/"
	changePrefix  platform.Key = "settings/changes/"
	teamPrefix    platform.Key = "teams/"
)

const (
	// maxScanRows is the maximum number of rows that one scan returns.
	maxScanRows = 500
	// initialCommitBackoff and maxCommitBackoff bound the wait between two
	// attempts to commit a change.
	initialCommitBackoff = 20 * time.Millisecond
	maxCommitBackoff     = time.Second
)

// Store reads and writes the settings of all teams in the platform's table and
// object store. If the platform fails, its errors are result.Errors with code
// PlatformUnavailable. Its methods may be called concurrently.
type Store struct {
	Client *platform.Client
	// Now returns the time for history entries; nil means time.Now.
	Now func() time.Time
}

// Accepted is the result of an accepted change.
type Accepted struct {
	// Subtree is the team's settings after the change. It is nil if the change
	// was accepted by an earlier call and later changes have followed.
	Subtree  *settings.Subtree
	Revision ident.Revision
	// Repeated reports that the change was accepted by an earlier call.
	Repeated bool
}

// head is the JSON form of a team's head row.
type head struct {
	Revision ident.Revision
}

// changeRecord is the JSON form of the row of an accepted change ID.
type changeRecord struct {
	Revision ident.Revision
	Digest   uint64
}

// Accept commits change unless the team's revision is no longer the base of the
// change. One transaction writes the subtree, its head, the history entry and the
// change ID. If the answer of a commit is lost, Accept therefore tries again: either
// the change ID is in the table, or the change has not been accepted yet.
//
// Accept retries until ctx ends. Its error then is a result.Error with code
// CommitUnknown if an answer was lost, or PlatformUnavailable if the change cannot
// have been accepted. Other codes are those of settings.Apply, and KeyReused if
// the change ID belongs to another change.
func (store *Store) Accept(ctx context.Context, change settings.Change) (Accepted, error) {
	commit := &settingsCommit{store: store, change: change}
	retryBackoff := backoff.NewExponentialBackOff()
	retryBackoff.InitialInterval = initialCommitBackoff
	retryBackoff.MaxInterval = maxCommitBackoff
	for {
		accepted, err := commit.attempt(ctx)
		if err == nil || !retryable(err) {
			return accepted, err
		}
		select {
		case <-ctx.Done():
			return Accepted{}, commit.finalError(err)
		case <-time.After(retryBackoff.NextBackOff()):
		}
	}
}

// settingsCommit is the state of committing one change.
type settingsCommit struct {
	store  *Store
	change settings.Change
	// answerLost reports that the answer to a commit was lost, so that the change
	// may have been accepted.
	answerLost bool
}

// errConcurrentCommit means that a row changed between the read and the commit.
var errConcurrentCommit = errors.New("settings were changed by a concurrent commit")

func retryable(err error) bool {
	var refused *result.Error
	return !errors.As(err, &refused)
}

func (commit *settingsCommit) finalError(err error) error {
	if commit.answerLost {
		return result.Errorf(result.CommitUnknown, "change %s of team %s: %v", commit.change.ID, commit.change.Team, err)
	}
	return result.Errorf(result.PlatformUnavailable, "%v", err)
}

func (commit *settingsCommit) attempt(ctx context.Context) (Accepted, error) {
	rows, err := commit.store.Client.Read(ctx, subtreeKey(commit.change.Team), commit.changeKey())
	if err != nil {
		return Accepted{}, err
	}
	present, revision, err := findSubtree(rows, commit.change.Team)
	if err != nil {
		return Accepted{}, err
	}
	if recorded, found := findRow(rows, commit.changeKey()); found {
		return commit.fromRecord(recorded, present)
	}
	next, err := settings.Apply(present, commit.change)
	if err != nil {
		return commit.resolveRefusal(ctx, err, present)
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
		return Accepted{}, errConcurrentCommit
	case !errors.Is(err, platform.ErrUnavailable):
		commit.answerLost = true
	}
	return Accepted{}, err
}

// resolveRefusal reads the change ID once more before it returns refusal. An
// earlier commit of the same change may have advanced the revision between the
// reads of the subtree and the change ID. If the revision advanced without the
// change ID, no transaction of the change can succeed any more.
func (commit *settingsCommit) resolveRefusal(ctx context.Context, refusal error, present *settings.Subtree) (Accepted, error) {
	rows, err := commit.store.Client.Read(ctx, commit.changeKey())
	if err != nil {
		return Accepted{}, err
	}
	if recorded, found := findRow(rows, commit.changeKey()); found {
		return commit.fromRecord(recorded, present)
	}
	return Accepted{}, refusal
}

func (commit *settingsCommit) fromRecord(row platform.Row, present *settings.Subtree) (Accepted, error) {
	var record changeRecord
	if err := json.Unmarshal(row.Value, &record); err != nil {
		return Accepted{}, result.Errorf(result.PlatformUnavailable, "decode row %s: %v", row.Key, err)
	}
	if record.Digest != commit.change.Digest() {
		return Accepted{}, result.Errorf(result.KeyReused, "change ID %s was already accepted with other values, as revision %d", commit.change.ID, record.Revision)
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

// Find reports whether a change was accepted, and returns its result if so. Its
// errors have the codes PlatformUnavailable and KeyReused, as those of Accept.
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
	accepted, err := commit.fromRecord(recorded, present)
	return accepted, err == nil, err
}

// WriteAgain writes settings that are in force if the table holds older ones of the
// team, as it does once the platform's store was restored from an older copy. The
// history entries and change IDs that the store has lost with them stay lost. Any number
// of daemons may do so for the same settings.
func (store *Store) WriteAgain(ctx context.Context, subtree *settings.Subtree) error {
	rows, err := store.Client.Read(ctx, subtreeKey(subtree.Team))
	if err != nil {
		return storeError(err)
	}
	present, revision, err := findSubtree(rows, subtree.Team)
	if err != nil || present != nil && present.Revision >= subtree.Revision {
		return err
	}
	var writes writeList
	writes.add(subtreeKey(subtree.Team), subtree)
	writes.add(headPrefix+platform.Key(subtree.Team), head{Revision: subtree.Revision})
	if writes.err != nil {
		return writes.err
	}
	checks := []platform.Check{{Key: subtreeKey(subtree.Team), Revision: revision}}
	_, err = store.Client.Commit(ctx, platform.Transaction{Checks: checks, Writes: writes.writes})
	var conflict *platform.ConflictError
	if errors.As(err, &conflict) {
		// Another daemon has written meanwhile; the next comparison shows whether it
		// wrote these settings.
		return nil
	}
	return storeError(err)
}

// Heads returns the latest revision of each team.
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

// Load returns the settings of the given teams, or of all teams if none is given.
// Teams without settings are left out.
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
		rows, err := store.Client.Scan(ctx, prefix, after, maxScanRows)
		if err != nil {
			return nil, storeError(err)
		}
		all = append(all, rows...)
		if len(rows) < maxScanRows {
			return all, nil
		}
		after = rows[len(rows)-1].Key
	}
}

// writeList collects the writes of a transaction and the first encoding error.
type writeList struct {
	writes []platform.Write
	err    error
}

func (list *writeList) add(key platform.Key, value any) {
	raw, err := json.Marshal(value)
	if err != nil && list.err == nil {
		list.err = result.Errorf(result.InvalidSettings, "encode row %s: %v", key, err)
	}
	list.writes = append(list.writes, platform.Write{Key: key, Value: raw})
}

func subtreeKey(team ident.TeamID) platform.Key { return subtreePrefix + platform.Key(team) }

// historyKey pads the revision with zeros, so that the keys of a team are in the
// order of the revisions.
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
		return value, result.Errorf(result.PlatformUnavailable, "decode row %s: %v", row.Key, err)
	}
	return value, nil
}

func storeError(err error) error {
	if err == nil {
		return nil
	}
	return result.Errorf(result.PlatformUnavailable, "%v", err)
}
