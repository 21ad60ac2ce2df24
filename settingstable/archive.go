package settingstable

import (
	"context"
	"encoding/json"
	"fmt"

	"github.com/cockroachdb/errors"

	"github.com/hickoryhead/hickoryhead/ident"
	"github.com/hickoryhead/hickoryhead/platform"
	"github.com/hickoryhead/hickoryhead/result"
	"github.com/hickoryhead/hickoryhead/settings"
)

const (
	// ArchiveEvery is the number of revisions of a team in one archived block.
	ArchiveEvery = 500
	// tableHistoryRevisions is the number of latest revisions of a team whose
	// history entries stay in the table.
	tableHistoryRevisions = 1000
	// maxDeletesPerCommit is the maximum number of rows that one transaction of
	// the archive deletes.
	maxDeletesPerCommit = 100
)

// archivedBlock is the JSON form of an archive object. It holds the history
// entries of up to ArchiveEvery revisions of a team.
type archivedBlock struct {
	Entries []settings.Entry
}

// Archive moves history entries of a team from the table to the object store in
// blocks of ArchiveEvery revisions, and deletes their change IDs. The latest
// tableHistoryRevisions revisions stay in the table. A repeated change is
// recognized only while its revision is in the table. Archive may run at several
// daemons at the same time.
func (store *Store) Archive(ctx context.Context, team ident.TeamID, latest ident.Revision) error {
	for {
		rows, err := store.Client.Scan(ctx, historyPrefix+platform.Key(team)+"/", "", ArchiveEvery)
		if err != nil {
			return storeError(err)
		}
		if len(rows) == 0 {
			return nil
		}
		oldest, err := decodeRow[settings.Entry](rows[0])
		if err != nil {
			return err
		}
		end := blockEnd(oldest.Revision)
		if end+tableHistoryRevisions > latest {
			return nil
		}
		if err := store.archiveBlock(ctx, team, end, rows); err != nil {
			return err
		}
	}
}

// archiveBlock stores the block that ends at revision end and then deletes its
// rows from the table. Entries of the block that are already stored, by an
// interrupted run or another daemon, are kept.
func (store *Store) archiveBlock(ctx context.Context, team ident.TeamID, end ident.Revision, rows []platform.Row) error {
	block, err := store.readBlock(ctx, team, end)
	if err != nil {
		return err
	}
	var deletes []platform.Write
	for _, row := range rows {
		entry, err := decodeRow[settings.Entry](row)
		if err != nil {
			return err
		}
		if entry.Revision > end {
			break
		}
		block.add(entry)
		change := changePrefix + platform.Key(team) + "/" + platform.Key(entry.ChangeID)
		deletes = append(deletes, platform.Write{Key: row.Key, Delete: true}, platform.Write{Key: change, Delete: true})
	}
	body, err := json.Marshal(block)
	if err != nil {
		return result.Errorf(result.InvalidSettings, "encode archive block %s: %v", blockName(team, end), err)
	}
	if err := store.Client.PutObject(ctx, blockName(team, end), body); err != nil {
		return storeError(err)
	}
	return store.deleteRows(ctx, deletes)
}

// add appends entry unless the block already has its revision. Entries are added
// in the order of their revisions, so that is the case only in a repeated run.
func (block *archivedBlock) add(entry settings.Entry) {
	for _, present := range block.Entries {
		if present.Revision == entry.Revision {
			return
		}
	}
	block.Entries = append(block.Entries, entry)
}

func (store *Store) deleteRows(ctx context.Context, deletes []platform.Write) error {
	for len(deletes) > 0 {
		count := min(maxDeletesPerCommit, len(deletes))
		// If the answer is lost, it does not matter whether the rows were
		// deleted: the next run deletes those that remain.
		if _, err := store.Client.Commit(ctx, platform.Transaction{Writes: deletes[:count]}); err != nil {
			return storeError(err)
		}
		deletes = deletes[count:]
	}
	return nil
}

// archivedEntries returns up to limit archived entries whose revisions are above
// after and at most last, oldest first.
func (store *Store) archivedEntries(ctx context.Context, team ident.TeamID, after, last ident.Revision, limit int) ([]settings.Entry, error) {
	var entries []settings.Entry
	for end := blockEnd(after + 1); end < last+ArchiveEvery && len(entries) < limit; end += ArchiveEvery {
		block, err := store.readBlock(ctx, team, end)
		if err != nil {
			return nil, err
		}
		for _, entry := range block.Entries {
			if entry.Revision > after && entry.Revision <= last {
				entries = append(entries, entry)
			}
		}
	}
	return entries[:min(limit, len(entries))], nil
}

// readBlock returns the archived block that ends at revision end, or an empty
// block if none is stored.
func (store *Store) readBlock(ctx context.Context, team ident.TeamID, end ident.Revision) (archivedBlock, error) {
	body, err := store.Client.GetObject(ctx, blockName(team, end))
	if errors.Is(err, platform.ErrNotFound) {
		return archivedBlock{}, nil
	}
	if err != nil {
		return archivedBlock{}, storeError(err)
	}
	var block archivedBlock
	if err := json.Unmarshal(body, &block); err != nil {
		return archivedBlock{}, result.Errorf(result.PlatformUnavailable, "decode archive block %s: %v", blockName(team, end), err)
	}
	return block, nil
}

// blockEnd returns the last revision of the block that contains revision.
func blockEnd(revision ident.Revision) ident.Revision {
	return (revision + ArchiveEvery - 1) / ArchiveEvery * ArchiveEvery
}

func blockName(team ident.TeamID, end ident.Revision) string {
	return fmt.Sprintf("settings/history/%s/%020d.json", team, end)
}
