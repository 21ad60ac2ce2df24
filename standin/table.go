package standin

import (
	"cmp"
	"maps"
	"slices"
	"strings"

	"github.com/hickoryhead/hickoryhead/ident"
	"github.com/hickoryhead/hickoryhead/platform"
)

// maxReadRows bounds the number of rows that one read of a range returns.
const maxReadRows = 500

// table holds the rows of all tables of the platform and applies conditional
// transactions to them. The zero value is empty. It is not safe for concurrent
// use.
type table struct {
	rows map[platform.RowName]platform.Record
	// removed holds the tombstones of removed rows, for changes.
	removed map[platform.RowName]platform.Record
	version ident.Revision
	// historyStart is the oldest version from which changes can be read.
	historyStart ident.Revision
}

// clone returns a copy of the table.
func (original *table) clone() table {
	cloned := *original
	cloned.rows, cloned.removed = maps.Clone(original.rows), maps.Clone(original.removed)
	return cloned
}

// apply applies batch atomically and returns the new version. If expectations of
// the batch fail, it changes nothing and returns the current rows of these
// expectations and false.
func (table *table) apply(batch platform.Batch) (ident.Revision, platform.Conflict, bool) {
	conflict, ok := table.checkExpected(batch.Expected)
	if !ok {
		return 0, conflict, false
	}
	if len(batch.Writes)+len(batch.Removes) > 0 {
		table.version++
	}
	for _, record := range batch.Writes {
		table.write(record)
	}
	for _, name := range batch.Removes {
		table.remove(name)
	}
	return table.version, platform.Conflict{}, true
}

func (table *table) checkExpected(expected []platform.Expectation) (platform.Conflict, bool) {
	conflict := platform.Conflict{Rows: []platform.Row{}}
	ok := true
	for _, expectation := range expected {
		record, found := table.rows[expectation.Row]
		if record.Version == expectation.Version {
			continue
		}
		ok = false
		if found {
			conflict.Rows = append(conflict.Rows, rowOf(record))
		}
	}
	return conflict, ok
}

func rowOf(record platform.Record) platform.Row {
	return platform.Row{Key: record.Key, Value: record.Value, Revision: record.Version}
}

func (table *table) write(record platform.Record) {
	if table.rows == nil {
		table.rows = make(map[platform.RowName]platform.Record)
	}
	name := platform.RowName{Table: record.Table, Part: record.Part, Key: record.Key}
	record.Version = table.version
	table.rows[name] = record
	delete(table.removed, name)
}

func (table *table) remove(name platform.RowName) {
	if _, found := table.rows[name]; !found {
		return
	}
	if table.removed == nil {
		table.removed = make(map[platform.RowName]platform.Record)
	}
	delete(table.rows, name)
	table.removed[name] = platform.Record{Table: name.Table, Part: name.Part, Key: name.Key, Version: table.version, Deleted: true}
}

// read returns the rows of a range in key order, at most its limit or
// maxReadRows.
func (table *table) read(wanted platform.Range) platform.Records {
	limit := wanted.Limit
	if limit < 1 || limit > maxReadRows {
		limit = maxReadRows
	}
	records := platform.Records{Version: table.version}
	for _, record := range table.sorted(wanted) {
		if len(records.Records) == limit {
			records.Truncated = true
			break
		}
		records.Records = append(records.Records, record)
	}
	return records
}

// sorted returns all rows of a range in key order.
func (table *table) sorted(wanted platform.Range) []platform.Record {
	var found []platform.Record
	for name, record := range table.rows {
		inPart := name.Table == wanted.Table && name.Part == wanted.Part
		if inPart && name.Key >= wanted.From && (wanted.To == "" || name.Key < wanted.To) {
			found = append(found, record)
		}
	}
	slices.SortFunc(found, func(a, b platform.Record) int { return strings.Compare(string(a.Key), string(b.Key)) })
	return found
}

// changes returns the rows and tombstones of a table that changed after a
// version, in version order. It fails with platform.ErrHistoryLost if the
// history since that version has been dropped or the table has no such version.
func (table *table) changes(name platform.TableName, after ident.Revision) (platform.Records, error) {
	if after < table.historyStart || after > table.version {
		return platform.Records{}, platform.ErrHistoryLost
	}
	records := platform.Records{Version: table.version}
	for _, rows := range []map[platform.RowName]platform.Record{table.rows, table.removed} {
		for record := range maps.Values(rows) {
			if record.Table == name && record.Version > after {
				records.Records = append(records.Records, record)
			}
		}
	}
	slices.SortFunc(records.Records, func(a, b platform.Record) int {
		return cmp.Or(cmp.Compare(a.Version, b.Version), strings.Compare(string(a.Key), string(b.Key)))
	})
	return records, nil
}
