package settingstable

import (
	"context"

	"github.com/hickoryhead/hickoryhead/ident"
	"github.com/hickoryhead/hickoryhead/platform"
	"github.com/hickoryhead/hickoryhead/result"
	"github.com/hickoryhead/hickoryhead/settings"
)

// History returns up to limit entries of a team whose revisions are above after,
// oldest first. Entries that are no longer in the table are read from the archive.
// The limit is capped at maxScanRows.
func (store *Store) History(ctx context.Context, team ident.TeamID, after ident.Revision, limit int) ([]settings.Entry, error) {
	limit = min(max(limit, 1), maxScanRows)
	recent, err := store.recentEntries(ctx, team, after, limit)
	if err != nil {
		return nil, err
	}
	if len(recent) > 0 && recent[0].Revision == after+1 {
		return recent, nil
	}
	last := after + ident.Revision(limit)
	if len(recent) > 0 {
		last = min(last, recent[0].Revision-1)
	}
	entries, err := store.archivedEntries(ctx, team, after, last, limit)
	if err != nil {
		return nil, err
	}
	entries = append(entries, recent...)
	return entries[:min(limit, len(entries))], nil
}

func (store *Store) recentEntries(ctx context.Context, team ident.TeamID, after ident.Revision, limit int) ([]settings.Entry, error) {
	rows, err := store.Client.Scan(ctx, historyPrefix+platform.Key(team)+"/", historyKey(team, after), limit)
	if err != nil {
		return nil, storeError(err)
	}
	entries := make([]settings.Entry, 0, len(rows))
	for _, row := range rows {
		entry, err := decodeRow[settings.Entry](row)
		if err != nil {
			return nil, err
		}
		entries = append(entries, entry)
	}
	return entries, nil
}

// Entry returns the history entry of one revision of a team. Its error has code
// PathNotFound if there is none.
func (store *Store) Entry(ctx context.Context, team ident.TeamID, revision ident.Revision) (settings.Entry, error) {
	if revision == 0 {
		return settings.Entry{}, entryNotFound(team, revision)
	}
	entries, err := store.History(ctx, team, revision-1, 1)
	if err != nil {
		return settings.Entry{}, err
	}
	if len(entries) == 0 || entries[0].Revision != revision {
		return settings.Entry{}, entryNotFound(team, revision)
	}
	return entries[0], nil
}

func entryNotFound(team ident.TeamID, revision ident.Revision) error {
	return result.Errorf(result.PathNotFound, "history of team %s has no revision %d", team, revision)
}
