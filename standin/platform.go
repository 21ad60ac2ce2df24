package standin

import (
	"maps"
	"net/http"
	"slices"
	"strings"
	"sync"

	"github.com/hickoryhead/hickoryhead/ident"
	platformapi "github.com/hickoryhead/hickoryhead/platform"
)

// Platform is a stand-in for the platform: a table with conditional transactions,
// an object store and a VM list that shows changes with a delay, all in memory.
// The zero value is empty and ready to use. It is safe for concurrent use.
type Platform struct {
	Clock

	once sync.Once
	mux  *http.ServeMux

	mu          sync.Mutex
	table       table
	list        vmList
	objects     map[string][]byte
	switches    PlatformSwitches
	writeLimit  rateLimit
	readLimit   rateLimit
	pendingLoss float64
	counters    PlatformCounters
	era         ident.Era
}

// PlatformCopy is a copy of what a Platform holds at one moment.
type PlatformCopy struct {
	table   table
	objects map[string][]byte
}

// Copy returns a copy of the rows and objects.
func (platform *Platform) Copy() PlatformCopy {
	platform.mu.Lock()
	defer platform.mu.Unlock()
	return PlatformCopy{table: platform.table.clone(), objects: maps.Clone(platform.objects)}
}

// Restore replaces the rows and objects by those of an earlier copy and begins a new
// era. Versions continue from that of the copy. The operator and the runners have to write
// their rows again.
func (platform *Platform) Restore(earlier PlatformCopy) {
	platform.mu.Lock()
	defer platform.mu.Unlock()
	platform.table = earlier.table.clone()
	platform.objects = maps.Clone(earlier.objects)
	platform.era++
}

// Era returns how often the platform was restored.
func (platform *Platform) Era() ident.Era {
	platform.mu.Lock()
	defer platform.mu.Unlock()
	return platform.era
}

// Commit applies transaction regardless of the switches. If a check fails, it
// changes nothing and returns the current rows of the failed checks and false.
func (platform *Platform) Commit(transaction platformapi.Transaction) (ident.Revision, platformapi.Conflict, bool) {
	platform.mu.Lock()
	defer platform.mu.Unlock()
	return platform.apply(transaction.Batch())
}

// Write writes one row of any table, regardless of the switches, and returns its
// version.
func (platform *Platform) Write(record platformapi.Record) ident.Revision {
	platform.mu.Lock()
	defer platform.mu.Unlock()
	version, _, _ := platform.apply(platformapi.Batch{Writes: []platformapi.Record{record}})
	return version
}

// Remove removes one row of any table, regardless of the switches.
func (platform *Platform) Remove(name platformapi.RowName) {
	platform.mu.Lock()
	defer platform.mu.Unlock()
	platform.apply(platformapi.Batch{Removes: []platformapi.RowName{name}})
}

// Has reports whether a row of any table is there, regardless of the switches.
func (platform *Platform) Has(name platformapi.RowName) bool {
	platform.mu.Lock()
	defer platform.mu.Unlock()
	_, found := platform.table.rows[name]
	return found
}

// Forget drops the history of changes up to now. Readers of changes that are
// behind then get platform.ErrHistoryLost.
func (platform *Platform) Forget() {
	platform.mu.Lock()
	defer platform.mu.Unlock()
	platform.table.historyStart = platform.table.version
}

// apply applies batch to the table and counts the outcome. The caller holds mu.
func (platform *Platform) apply(batch platformapi.Batch) (ident.Revision, platformapi.Conflict, bool) {
	version, conflict, applied := platform.table.apply(batch)
	if !applied {
		platform.counters.Conflicts++
		return version, conflict, false
	}
	platform.counters.Commits++
	platform.counters.RowsWritten += int64(len(batch.Writes) + len(batch.Removes))
	return version, conflict, true
}

// Rows returns those rows of keys that exist, in key order, regardless of the
// switches.
func (platform *Platform) Rows(keys ...platformapi.Key) []platformapi.Row {
	platform.mu.Lock()
	defer platform.mu.Unlock()
	var rows []platformapi.Row
	for _, key := range slices.Compact(slices.Sorted(slices.Values(keys))) {
		if record, present := platform.table.rows[platformapi.RowName{Table: platformapi.DataTable, Key: key}]; present {
			rows = append(rows, rowOf(record))
		}
	}
	return rows
}

// Scan returns every row whose key begins with prefix, in key order, regardless
// of the switches.
func (platform *Platform) Scan(prefix platformapi.Key) []platformapi.Row {
	platform.mu.Lock()
	defer platform.mu.Unlock()
	var rows []platformapi.Row
	for _, record := range platform.table.sorted(platformapi.Range{Table: platformapi.DataTable, From: prefix}) {
		if strings.HasPrefix(string(record.Key), string(prefix)) {
			rows = append(rows, rowOf(record))
		}
	}
	return rows
}

// PutVM adds a VM to the VM list, or replaces it.
func (platform *Platform) PutVM(vm platformapi.VM) {
	platform.mu.Lock()
	defer platform.mu.Unlock()
	platform.list.put(platform.now(), vm)
}

// DeleteVM removes a VM from the VM list.
func (platform *Platform) DeleteVM(id ident.VMID) {
	platform.mu.Lock()
	defer platform.mu.Unlock()
	platform.list.remove(platform.now(), id)
}
