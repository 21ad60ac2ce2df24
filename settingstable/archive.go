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
	// historyKept is the number of latest revisions whose history stays in the
	// table.
	historyKept = 1000
	// deletesPerCommit is the most rows of one transaction of the archive.
	deletesPerCommit = 100
)

// archivedBlock is an object with the history of ArchiveEvery revisions.
type archivedBlock struct {
	Entries []settings.Entry
}

// Archive moves the history of a team that is older than the latest
// historyKept revisions from the table to the object store, block by block, with
// the change IDs of it. A change ID is resolved only as long as its revision
// stands in the table. It may run at several daemons at once.
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
		if end+historyKept > latest {
			return nil
		}
		if err := store.archiveBlock(ctx, team, end, rows); err != nil {
			return err
		}
	}
}

// archiveBlock stores the block that ends at end before it deletes its rows.
// What another daemon had stored of it is kept.
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
		return result.Errorf(result.InvalidSettings, "archive: %v", err)
	}
	if err := store.Client.PutObject(ctx, blockName(team, end), body); err != nil {
		return storeError(err)
	}
	return store.deleteRows(ctx, deletes)
}

// add adds entry unless the block holds its revision. Blocks are read and
// written in the order of revisions, so only a repeated run finds one.
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
		count := min(deletesPerCommit, len(deletes))
		// A lost answer needs no resolving: the next run deletes what is left.
		if _, err := store.Client.Commit(ctx, platform.Transaction{Writes: deletes[:count]}); err != nil {
			return storeError(err)
		}
		deletes = deletes[count:]
	}
	return nil
}

// archived returns at most limit archived entries with revisions after after
// and up to last, oldest first.
func (store *Store) archived(ctx context.Context, team ident.TeamID, after, last ident.Revision, limit int) ([]settings.Entry, error) {
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

// readBlock returns the archived block that ends at end, empty where there is
// none.
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
		return archivedBlock{}, result.Errorf(result.PlatformUnavailable, "archive: %v", err)
	}
	return block, nil
}

// blockEnd returns the last revision of the block that holds revision.
func blockEnd(revision ident.Revision) ident.Revision {
	return (revision + ArchiveEvery - 1) / ArchiveEvery * ArchiveEvery
}

func blockName(team ident.TeamID, end ident.Revision) string {
	return fmt.Sprintf("settings/history/%s/%020d.json", team, end)
}
